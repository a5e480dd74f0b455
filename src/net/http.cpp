// SPDX-License-Identifier: Apache-2.0
#include "net/http.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace harrierpass {
namespace {

using std::string_view;

constexpr std::size_t max_fields = 64;          // heads of the protocol have about 10
constexpr std::size_t max_chunk_line = 1024;    // bytes, including chunk extensions
constexpr std::size_t max_trailer_size = 65536; // bytes
constexpr std::size_t max_length_digits = 15;   // of a body or chunk size, which then fits into 64 bits

bool is_token(string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c != '\0' && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
    });
}

bool is_field_value(string_view text) {
    return std::none_of(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7F;
    });
}

string_view trim(string_view text) {
    const auto first = text.find_first_not_of(" \t");
    return first == string_view::npos ? string_view{}
                                      : text.substr(first, text.find_last_not_of(" \t") + 1 - first);
}

char to_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

// Calls `visit` with each item of a comma-separated list.
template <typename Visit> void for_each_item(string_view text, Visit visit) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        visit(trim(text.substr(0, comma)));
        text = comma == string_view::npos ? string_view{} : text.substr(comma + 1);
    }
}

bool list_contains(string_view list, string_view name) {
    bool found = false;
    for_each_item(list, [&](string_view item) { found = found || equals_ignoring_case(item, name); });
    return found;
}

template <typename Number, typename... Base> bool read_number(string_view text, Number &value, Base... base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

} // namespace

bool equals_ignoring_case(string_view left, string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

string_view http_head::header(string_view name) const {
    for (const auto &field : fields)
        if (equals_ignoring_case(field.name, name))
            return field.value;
    return {};
}

std::size_t http_head::header_count(string_view name) const {
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [&](const http_field &each) {
        return equals_ignoring_case(each.name, name);
    }));
}

bool http_head::keeps_alive() const {
    return minor_version >= 1 && std::none_of(fields.begin(), fields.end(), [](const http_field &each) {
               return equals_ignoring_case(each.name, "Connection") && list_contains(each.value, "close");
           });
}

http_reader::http_reader(std::span<char> buffer, message_kind kind, std::size_t filled)
    : buffer_(buffer), kind_(kind), filled_(filled) {}

http_reader::state http_reader::received(std::size_t count) {
    filled_ += count;
    for (;;) {
        switch (step_) {
        case parse_step::head:
            if (const state result = read_head(); step_ == parse_step::head)
                return result;
            break;
        case parse_step::sized_body:
            if (const state result = read_sized_body(); step_ != parse_step::done)
                return result;
            break;
        case parse_step::body_to_close:
            return read_body_to_close();
        case parse_step::done:
            return state::complete;
        default:
            if (const state result = read_chunks(); step_ != parse_step::done)
                return result;
        }
    }
}

std::size_t http_reader::take_remaining() {
    const std::size_t available = std::min(remaining_, filled_ - consumed_);
    body_size_ += available;
    consumed_ += available;
    remaining_ -= available;
    return available;
}

http_reader::state http_reader::read_sized_body() {
    take_remaining();
    if (remaining_ > 0)
        return wait_for_more();
    step_ = parse_step::done;
    return state::complete;
}

http_reader::state http_reader::read_body_to_close() {
    consumed_ = filled_;
    body_size_ = consumed_ - body_start_;
    return stream_limit_ > 0 && exceeds_limit(0) ? state::too_large : wait_for_more();
}

http_reader::state http_reader::wait_for_more() const {
    if (!free_space().empty())
        return state::incomplete;
    return stream_limit_ > 0 && body_size_ > 0 ? state::window_full : state::too_large;
}

bool http_reader::exceeds_limit(std::size_t size) const {
    if (stream_limit_ == 0)
        return size > buffer_.size() - body_start_ - body_size_;
    return size > stream_limit_ || received_body_bytes() > stream_limit_ - size;
}

void http_reader::release() {
    std::memmove(buffer_.data() + body_start_, buffer_.data() + consumed_, filled_ - consumed_);
    filled_ -= consumed_ - body_start_;
    consumed_ = body_start_;
    released_size_ += std::exchange(body_size_, 0);
}

std::size_t http_reader::announced_body_bytes() const {
    const bool expects_bytes = step_ == parse_step::sized_body || step_ == parse_step::chunk;
    return received_body_bytes() + (expects_bytes ? remaining_ : 0);
}

std::optional<std::size_t> http_reader::content_length() const {
    const bool is_known = step_ != parse_step::head && head_.header_count("Content-Length") > 0;
    return is_known ? std::optional(content_length_) : std::nullopt;
}

http_reader::state http_reader::on_peer_closed() {
    if (step_ != parse_step::body_to_close)
        return state::truncated;
    step_ = parse_step::done;
    return state::complete;
}

http_reader::state http_reader::read_head() {
    for (;;) {
        const string_view text(buffer_.data() + consumed_, filled_ - consumed_);
        const auto end = text.substr(0, max_head_size).find("\r\n\r\n");
        // Skips an empty line before a request: some clients send one after a body.
        if (kind_ == message_kind::request && text.starts_with("\r\n")) {
            consumed_ += 2;
            continue;
        }
        if (kind_ == message_kind::request && text == "\r")
            return state::incomplete;
        // Bytes that cannot start a head are rejected without waiting for the end of a line.
        if (!can_start_message(text))
            return state::malformed;
        if (end == string_view::npos) {
            // The bytes after interim responses move to the front, so that the next head can use the whole
            // buffer.
            std::memmove(buffer_.data(), text.data(), text.size());
            filled_ = text.size();
            consumed_ = 0;
            return filled_ >= max_head_size ? state::too_large : state::incomplete;
        }
        if (!parse_head(text.substr(0, end + 2)))
            return state::malformed;
        consumed_ += end + 4;
        if (kind_ == message_kind::request || head_.status >= 200)
            break;
        // An interim response; any number of them may precede the final one.
    }
    body_start_ = consumed_;
    return begin_body();
}

// A response starts with its version, which is case-sensitive; a request starts with a method, a token.
bool http_reader::can_start_message(string_view text) const {
    static constexpr string_view version = "HTTP/1.";
    if (kind_ == message_kind::response)
        return text.substr(0, version.size()) == version.substr(0, text.size());
    return text.empty() || is_token(text.substr(0, 1));
}

// Invariant: accepts nothing that two parsers might split differently, such as bare CR or LF, folded lines,
// whitespace before a colon, or two lengths (request smuggling).
bool http_reader::parse_head(string_view text) {
    head_ = {};
    for (bool is_first = true; !text.empty(); is_first = false) {
        const auto end = text.find("\r\n");
        const string_view line = text.substr(0, end);
        text.remove_prefix(end + 2);
        const bool is_valid = !is_first                         ? parse_field(line)
                              : kind_ == message_kind::response ? parse_status_line(line)
                                                                : parse_request_line(line);
        if (!is_valid)
            return false;
    }
    return true;
}

bool http_reader::parse_field(string_view line) {
    const auto colon = line.find(':');
    if (colon == string_view::npos || !is_token(line.substr(0, colon)))
        return false;
    const string_view value = trim(line.substr(colon + 1));
    if (!is_field_value(value) || head_.fields.size() == max_fields)
        return false;
    head_.fields.push_back({line.substr(0, colon), value});
    return true;
}

bool http_reader::parse_version(string_view text) {
    if (text != "HTTP/1.1" && text != "HTTP/1.0")
        return false;
    head_.minor_version = text.back() - '0';
    return true;
}

bool http_reader::parse_status_line(string_view line) {
    const auto space = line.find(' ');
    if (space == string_view::npos || !parse_version(line.substr(0, space)))
        return false;
    const string_view after_version = line.substr(space + 1), code = after_version.substr(0, 3);
    const bool has_three_digits =
        after_version.size() == 3 || (after_version.size() > 3 && after_version[3] == ' ');
    return has_three_digits && is_field_value(after_version) && code[0] >= '1' && code[0] <= '5' &&
           read_number(code, head_.status);
}

bool http_reader::parse_request_line(string_view line) {
    const auto first_space = line.find(' ');
    if (first_space == string_view::npos)
        return false;
    head_.method = line.substr(0, first_space);
    const auto last_space = line.rfind(' ');
    if (last_space == first_space || !parse_version(line.substr(last_space + 1)) || !is_token(head_.method))
        return false;
    head_.target = line.substr(first_space + 1, last_space - first_space - 1);
    // The absolute form repeats the host; only its path is kept.
    static constexpr string_view scheme = "http://";
    if (equals_ignoring_case(head_.target.substr(0, scheme.size()), scheme)) {
        const auto path = head_.target.find('/', scheme.size());
        head_.target = path == string_view::npos ? string_view("/") : head_.target.substr(path);
    }
    if (head_.target.empty())
        return false;
    return head_.target.front() == '/' &&
           std::all_of(head_.target.begin(), head_.target.end(), [](char c) { return c > 0x20 && c < 0x7F; });
}

http_reader::state http_reader::begin_body() {
    int lengths = 0, codings = 0;
    for (const auto &field : head_.fields) {
        if (equals_ignoring_case(field.name, "Content-Length")) {
            ++lengths;
            if (field.value.empty() || field.value.size() > max_length_digits || field.value.front() == '-' ||
                !read_number(field.value, remaining_))
                return state::malformed;
        } else if (equals_ignoring_case(field.name, "Transfer-Encoding")) {
            ++codings;
            if (!equals_ignoring_case(field.value, "chunked"))
                return state::malformed;
        }
    }
    if (lengths + codings > 1 || (codings > 0 && head_.minor_version == 0))
        return state::malformed;
    content_length_ = remaining_;
    const bool has_no_body =
        kind_ == message_kind::response && (expects_no_body_ || head_.status == 204 || head_.status == 304);
    if (has_no_body)
        remaining_ = 0;
    if (exceeds_limit(remaining_))
        return state::too_large;
    step_ = codings > 0 && !has_no_body                                    ? parse_step::chunk_size
            : lengths > 0 || has_no_body || kind_ == message_kind::request ? parse_step::sized_body
                                                                           : parse_step::body_to_close;
    return state::incomplete;
}

bool http_reader::take_line(string_view &line) {
    const string_view text(buffer_.data() + consumed_, filled_ - consumed_);
    const auto end = text.find("\r\n");
    if (end == string_view::npos)
        return false;
    line = text.substr(0, end);
    consumed_ += end + 2;
    trailer_size_ += step_ == parse_step::trailer ? end + 2 : 0;
    return true;
}

http_reader::state http_reader::read_chunks() {
    string_view line;
    for (;;) {
        if (trailer_size_ > max_trailer_size)
            return state::malformed;
        if (step_ == parse_step::chunk) {
            char *const body_end = buffer_.data() + body_start_ + body_size_;
            const char *const chunk = buffer_.data() + consumed_;
            std::memmove(body_end, chunk, take_remaining());
            if (remaining_ > 0)
                break;
            step_ = parse_step::chunk_end;
        } else if (!take_line(line)) {
            if (filled_ - consumed_ > max_chunk_line && step_ != parse_step::trailer)
                return state::malformed;
            break;
        } else if (step_ == parse_step::chunk_end) {
            if (!line.empty())
                return state::malformed;
            step_ = parse_step::chunk_size;
        } else if (step_ == parse_step::chunk_size) {
            if (const state result = begin_chunk(line); result != state::complete)
                return result;
        } else if (line.empty()) { // the end of the trailers, which are ignored
            step_ = parse_step::done;
            return state::complete;
        }
    }
    compact_body();
    return wait_for_more();
}

http_reader::state http_reader::begin_chunk(string_view line) {
    constexpr int hexadecimal = 16;
    const string_view size = trim(line.substr(0, line.find(';')));
    if (line.size() > max_chunk_line || size.size() > max_length_digits || !is_field_value(line) ||
        !read_number(size, remaining_, hexadecimal))
        return state::malformed;
    if (exceeds_limit(remaining_))
        return state::too_large;
    step_ = remaining_ > 0 ? parse_step::chunk : parse_step::trailer;
    return state::complete;
}

void http_reader::compact_body() {
    const std::size_t body_end = body_start_ + body_size_, unread = filled_ - consumed_;
    std::memmove(buffer_.data() + body_end, buffer_.data() + consumed_, unread);
    consumed_ = body_end;
    filled_ = body_end + unread;
}

bool is_hop_by_hop(const http_head &head, string_view name) {
    for (const string_view hop_by_hop :
         {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
          "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"})
        if (equals_ignoring_case(name, hop_by_hop))
            return true;
    return std::any_of(head.fields.begin(), head.fields.end(), [&](const http_field &each) {
        return equals_ignoring_case(each.name, "Connection") && list_contains(each.value, name);
    });
}

double parse_timeout(string_view text) {
    if (text.size() < 2 || (text.back() != 'm' && text.back() != 'u'))
        return -1;
    double value = 0;
    if (!read_number(text.substr(0, text.size() - 1), value) || !(value >= 0 && value < 1e12))
        return -1;
    return value / (text.back() == 'm' ? 1e3 : 1e6);
}

void append_header(std::string &output, string_view name, string_view value) {
    output.append(name).append(": ").append(value).append("\r\n");
}

} // namespace harrierpass
