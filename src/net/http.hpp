// SPDX-License-Identifier: Apache-2.0
// A strict, bounded reader of HTTP/1.1 messages (RFC 9112), and what is needed to write them.
#pragma once

#include "net/buffer_pool.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass {

struct http_field {
    std::string_view name, value;
};

// The head of a message; its views point into the reader's buffer.
struct http_head {
    std::string_view method, target; // of a request
    int status = 0;                  // of an answer
    int minor = 1;                   // HTTP/1.minor
    std::vector<http_field> fields;

    std::string_view header(std::string_view name) const; // empty where absent
    std::size_t header_count(std::string_view name) const;
    bool keeps_alive() const;
};

// Takes one message out of a connection's bytes, in a buffer that it is given. A chunked body is laid
// together in place. A message that is let through may be longer than the buffer, which is a window on it
// then: once it is full, what is there is to be used and released.
class http_reader {
public:
    enum class message_kind : std::uint8_t { request, response };
    enum class state : std::uint8_t {
        incomplete,
        complete,
        malformed,
        too_large,
        truncated,
        window_full
    }; // cut: it ended before

    // `filled` bytes of the buffer are there already.
    http_reader(std::span<char> buffer, message_kind which, std::size_t filled = 0);

    std::span<char> free_space() const {
        return buffer_.subspan(filled_);
    }                                  // where the next bytes go; may be empty
    state received(std::size_t count); // so many were put there
    state parse_buffered() { return received(0); }
    void stream_body(std::size_t most) { most_ = most; } // a body of up to so many bytes
    void expect_no_body() { bodiless_ = true; }          // an answer to HEAD
    void release(); // the body's bytes that are there have been used; their room is free
    std::size_t released_bytes() const { return released_; }
    std::optional<std::size_t> content_length() const; // of the body, where the head tells
    state on_peer_closed(); // the other side closes: whole only if the close marks the end

    const http_head &head() const { return head_; }
    bool has_begun() const { return at_ != stage::head || filled_ > taken_; } // some of it is there
    bool has_head() const { return at_ != stage::head; }
    std::string_view body() const { return {buffer_.data() + body_from_, body_size_}; }
    std::string_view pipelined_bytes() const {
        return {buffer_.data() + taken_, filled_ - taken_};
    } // after the message

private:
    enum class stage : std::uint8_t { head, counted, chunk_size, chunk, chunk_end, trailer, to_end, done };
    state read_head();
    bool may_begin(std::string_view text) const;
    bool parse_head(std::string_view text);
    bool parse_first(std::string_view line);
    state frame();
    state read_chunks();
    state wait_for_more() const;         // more, or what a full buffer means
    bool beyond(std::size_t size) const; // more of the body than may be
    bool next_line(std::string_view &line);

    std::span<char> buffer_;
    message_kind side_;
    stage at_ = stage::head;
    http_head head_;
    std::size_t filled_;
    std::size_t taken_ = 0;                     // bytes that belong to what has been read of the message
    std::size_t body_from_ = 0, body_size_ = 0; // what is there of it
    std::size_t released_ = 0, total_ = 0;      // bytes of the body: released, told by the head
    std::size_t most_ = 0;                      // bytes of a body that is let through; 0: it is held whole
    bool bodiless_ = false;
    std::size_t left_ = 0;    // of a counted body or the present chunk
    std::size_t trailer_ = 0; // bytes of chunk lines and trailers read
};

bool equals_ignoring_case(std::string_view one, std::string_view two); // ASCII, whatever the case

// Whether a field belongs to one connection only, or is written anew by each hop.
bool is_hop_by_hop(const http_head &of, std::string_view name);

// "480m" or "480000u" in seconds; negative: no such text.
double parse_timeout(std::string_view text);

void append_header(std::string &to, std::string_view name, std::string_view value);

} // namespace harrierpass
