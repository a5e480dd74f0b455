// SPDX-License-Identifier: Apache-2.0
// A strict parser of HTTP/1.1 messages (RFC 9112) with bounded memory, and helpers to write messages. Does no
// I/O.
#pragma once

#include "net/buffer_pool.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass {

// A header field; the value has no surrounding whitespace.
struct http_field {
    std::string_view name, value;
};

// The head of a message; the views refer to the buffer of the reader.
struct http_head {
    std::string_view method, target; // of a request
    int status = 0;                  // of a response
    int minor_version = 1;           // 0 for HTTP/1.0, 1 for HTTP/1.1
    std::vector<http_field> fields;

    // Returns the value of the first field with this name, or an empty text. Names are case-insensitive.
    std::string_view header(std::string_view name) const;
    // Number of fields with this name, case-insensitive.
    std::size_t header_count(std::string_view name) const;
    // Whether the connection stays open after this message.
    bool keeps_alive() const;
};

// Parses one message incrementally in a buffer that the caller owns. The chunks of a chunked body are joined
// in place. A streamed body may be longer than the buffer: once the buffer is full, the caller processes the
// body bytes in it and calls release(). Interim responses are skipped.
class http_reader {
public:
    enum class message_kind : std::uint8_t { request, response };
    // The progress of parsing.
    enum class state : std::uint8_t {
        incomplete,
        complete,
        malformed,
        too_large,
        truncated,  // the connection ended before the message did
        window_full // a streamed body fills the buffer; call release()
    };

    // The first `filled` bytes of the buffer have already been received.
    http_reader(std::span<char> buffer, message_kind kind, std::size_t filled = 0);

    // Where to store the next bytes; may be empty.
    std::span<char> free_space() const { return buffer_.subspan(filled_); }
    // Parses `count` bytes that were stored in free_space().
    state received(std::size_t count);
    // Continues with the bytes in the buffer.
    state parse_buffered() { return received(0); }
    // Streams a body of up to `limit` bytes.
    void stream_body(std::size_t limit) { stream_limit_ = limit; }
    // For a response to HEAD, which has no body even if its head announces one.
    void expect_no_body() { expects_no_body_ = true; }
    // Frees the space of the body bytes in the buffer.
    void release();
    // Number of body bytes released so far.
    std::size_t released_bytes() const { return released_size_; }
    // Number of body bytes received so far, released or not.
    std::size_t received_body_bytes() const { return released_size_ + body_size_; }
    // Number of body bytes that the peer has sent or announced, by Content-Length or by a chunk's size line.
    std::size_t announced_body_bytes() const;
    // The size of the body in bytes if the head announces it.
    std::optional<std::size_t> content_length() const;
    // The peer closed the connection. Returns `complete` only if that ends the message.
    state on_peer_closed();

    // Valid if has_head().
    const http_head &head() const { return head_; }
    // Whether at least one byte of the message was received.
    bool has_begun() const { return step_ != parse_step::head || filled_ > consumed_; }
    // Whether the head is complete.
    bool has_head() const { return step_ != parse_step::head; }
    // The body bytes in the buffer.
    std::string_view body() const { return {buffer_.data() + body_start_, body_size_}; }
    // Whether the end of the message was received.
    bool is_complete() const { return step_ == parse_step::done; }
    // The bytes in the buffer after the message.
    std::string_view pipelined_bytes() const { return {buffer_.data() + consumed_, filled_ - consumed_}; }

private:
    // The part of the message that is parsed next.
    enum class parse_step : std::uint8_t {
        head,
        sized_body, // framed by Content-Length
        chunk_size,
        chunk,
        chunk_end,
        trailer,
        body_to_close, // ends when the peer closes the connection
        done
    };
    // Parses heads up to that of the final response, skipping interim responses.
    state read_head();
    // Whether a message of this kind can start with these bytes.
    bool can_start_message(std::string_view text) const;
    // Parses the lines of a head, each ending with CRLF; returns false if they are malformed.
    bool parse_head(std::string_view text);
    // Each function parses a line without its CRLF, or a version, into head_; returns false if it is
    // malformed.
    bool parse_field(std::string_view line);
    bool parse_version(std::string_view text);
    bool parse_status_line(std::string_view line);
    bool parse_request_line(std::string_view line);
    // Determines the framing of the body from the head (RFC 9112, section 6).
    state begin_body();
    // Consumes up to remaining_ bytes of the body or the current chunk; returns how many.
    std::size_t take_remaining();
    // Each function parses the buffered part of a body with its framing and returns the progress.
    state read_sized_body();
    state read_body_to_close();
    state read_chunks();
    // Parses the size line of a chunk; returns `complete` if it is valid.
    state begin_chunk(std::string_view line);
    // Moves the unread bytes to the end of the joined body, so that the free space follows them.
    void compact_body();
    // The state if bytes are missing: `incomplete`, or with a full buffer `window_full` or `too_large`.
    state wait_for_more() const;
    // Whether `size` more body bytes exceed the limit.
    bool exceeds_limit(std::size_t size) const;
    // Consumes the next line of a chunked body without its CRLF; returns false if it is not complete yet.
    bool take_line(std::string_view &line);

    std::span<char> buffer_;
    message_kind kind_;
    parse_step step_ = parse_step::head;
    http_head head_;
    std::size_t filled_;             // bytes in the buffer
    std::size_t consumed_ = 0;       // bytes in the buffer that were parsed as part of this message
    std::size_t body_start_ = 0;     // offset of the body bytes in the buffer
    std::size_t body_size_ = 0;      // number of body bytes in the buffer
    std::size_t released_size_ = 0;  // number of body bytes released
    std::size_t content_length_ = 0; // as announced by the head
    std::size_t stream_limit_ = 0;   // bytes of a streamed body; 0: the body has to fit into the buffer
    bool expects_no_body_ = false;
    std::size_t remaining_ = 0;    // bytes left of a sized body or of the current chunk
    std::size_t trailer_size_ = 0; // bytes of trailers parsed
};

// Compares ASCII texts.
bool equals_ignoring_case(std::string_view left, std::string_view right);

// Whether a field applies to one connection only or is rewritten by each hop.
bool is_hop_by_hop(const http_head &head, std::string_view name);

// Parses a duration such as "480m" (milliseconds) or "480000u" (microseconds). Returns seconds, or a negative
// value if the text is malformed.
double parse_timeout(std::string_view text);

// Appends the line of a header field.
void append_header(std::string &output, std::string_view name, std::string_view value);

} // namespace harrierpass
