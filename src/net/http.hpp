// SPDX-License-Identifier: Apache-2.0
// A strict, bounded reader of HTTP/1.1 messages (RFC 9112), and helpers to write them. No I/O.
#pragma once

#include "net/buffer_pool.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass {

// A header field; the value without the blanks around it.
struct http_field {
    std::string_view name, value;
};

// The head of a message; its views point into the reader's buffer.
struct http_head {
    std::string_view method, target; // of a request
    int status = 0;                  // of a response
    int minor = 1;                   // HTTP/1.minor
    std::vector<http_field> fields;

    // The value of the first field of this name, in any case; empty where there is none.
    std::string_view header(std::string_view name) const;
    // How many fields have this name, in any case.
    std::size_t header_count(std::string_view name) const;
    // Whether the connection may be used for another message.
    bool keeps_alive() const;
};

// Reads one message from a connection's bytes, in a buffer that the caller owns. The chunks of a chunked body
// are joined in place. A body that is streamed may be longer than the buffer, which is then a window on it:
// once it is full, the bytes there are to be used and released. Interim responses are skipped.
class http_reader {
public:
    // Which side's message is read.
    enum class message_kind : std::uint8_t { request, response };
    // How far the message is.
    enum class state : std::uint8_t {
        incomplete,
        complete,
        malformed,
        too_large,
        truncated,  // the connection ended before the message did
        window_full // of a streamed body
    };

    // The first `filled` bytes of the buffer were received already.
    http_reader(std::span<char> buffer, message_kind kind, std::size_t filled = 0);

    // Where the next bytes go; may be empty.
    std::span<char> free_space() const { return buffer_.subspan(filled_); }
    // So many bytes were put there.
    state received(std::size_t count);
    // Goes on with the bytes that are there.
    state parse_buffered() { return received(0); }
    // Streams the body, of up to so many bytes.
    void stream_body(std::size_t limit) { stream_limit_ = limit; }
    // The response is one to HEAD, which has no body whatever its head says.
    void expect_no_body() { expects_no_body_ = true; }
    // The body's bytes that are there have been used; their space is free.
    void release();
    // How many of the body's bytes were released.
    std::size_t released_bytes() const { return released_size_; }
    // The body's size in bytes, where the head tells.
    std::optional<std::size_t> content_length() const;
    // The other side closed the connection; complete only where that marks the message's end.
    state on_peer_closed();

    // Valid once has_head().
    const http_head &head() const { return head_; }
    // Whether any byte of the message was received.
    bool has_begun() const { return step_ != parse_step::head || filled_ > consumed_; }
    // Whether the head is complete.
    bool has_head() const { return step_ != parse_step::head; }
    // The body's bytes that are there.
    std::string_view body() const { return {buffer_.data() + body_start_, body_size_}; }
    // The bytes after the message.
    std::string_view pipelined_bytes() const { return {buffer_.data() + consumed_, filled_ - consumed_}; }

private:
    // What comes next in the connection's bytes.
    enum class parse_step : std::uint8_t {
        head,
        sized_body, // by Content-Length
        chunk_size,
        chunk,
        chunk_end,
        trailer,
        body_to_close, // ends with the connection
        done
    };
    // Reads heads up to the one that counts, skipping interim responses.
    state read_head();
    // Whether a message of this kind may start with these bytes.
    bool can_start_message(std::string_view text) const;
    // Parses lines that each end with CRLF; false where they are malformed.
    bool parse_head(std::string_view text);
    // Each parses a line without its CRLF, or a version, into head_; false where it is malformed.
    bool parse_field(std::string_view line);
    bool parse_version(std::string_view text);
    bool parse_status_line(std::string_view line);
    bool parse_request_line(std::string_view line);
    // Decides by the head how the body's end is found (RFC 9112, section 6).
    state begin_body();
    // Takes what there is of a body or a chunk, up to `remaining_`; returns its size.
    std::size_t take_remaining();
    // Each reads what is there of a body of its framing, and returns how far the message is then.
    state read_sized_body();
    state read_body_to_close();
    state read_chunks();
    // Parses a chunk's size line; complete stands for a valid one.
    state begin_chunk(std::string_view line);
    // Moves the unread bytes up to the body's end, so that the space after them is the body's.
    void compact_body();
    // The state where bytes are missing: incomplete, or what a full buffer means.
    state wait_for_more() const;
    // Whether `size` more bytes of the body are too many.
    bool exceeds_limit(std::size_t size) const;
    // Takes the next line of a chunked body, without its CRLF; false where it is not there yet.
    bool take_line(std::string_view &line);

    std::span<char> buffer_;
    message_kind kind_;
    parse_step step_ = parse_step::head;
    http_head head_;
    std::size_t filled_;             // bytes received, less those moved away
    std::size_t consumed_ = 0;       // of them, bytes parsed as this message's
    std::size_t body_start_ = 0;     // of the body's bytes that are there
    std::size_t body_size_ = 0;      // of the body's bytes that are there
    std::size_t released_size_ = 0;  // bytes of the body, released
    std::size_t content_length_ = 0; // as the head tells
    std::size_t stream_limit_ = 0;   // bytes of a streamed body; 0: the body has to fit into the buffer
    bool expects_no_body_ = false;
    std::size_t remaining_ = 0;    // bytes of a sized body or of the current chunk
    std::size_t trailer_size_ = 0; // bytes of trailers read
};

// Whether two ASCII texts are equal but for the case.
bool equals_ignoring_case(std::string_view one, std::string_view two);

// Whether a field belongs to one connection only, or is written anew by each hop.
bool is_hop_by_hop(const http_head &head, std::string_view name);

// The seconds in a text such as "480m" or "480000u"; negative where it is none.
double parse_timeout(std::string_view text);

// Appends a header field's line.
void append_header(std::string &to, std::string_view name, std::string_view value);

} // namespace harrierpass
