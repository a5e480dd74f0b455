// SPDX-License-Identifier: Apache-2.0
#include "net/http.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace harrierpass {
namespace {

using std::string_view;

constexpr std::size_t most_fields = 64;    // fields; the protocol's heads have about ten
constexpr std::size_t line_limit = 1024;   // bytes of a chunk's size line, with its extensions
constexpr std::size_t waste_limit = 65536; // bytes of trailers

bool is_token(string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char one) {
        return (one >= '0' && one <= '9') || (one >= 'a' && one <= 'z') || (one >= 'A' && one <= 'Z') ||
               (one != '\0' && std::strchr("!#$%&'*+-.^_`|~", one) != nullptr);
    });
}

bool is_value(string_view text) {
    return std::none_of(text.begin(), text.end(), [](char one) {
        return (static_cast<unsigned char>(one) < 0x20 && one != '\t') || one == 0x7F;
    });
}

string_view trim(string_view text) {
    const auto from = text.find_first_not_of(" \t");
    return from == string_view::npos ? string_view{}
                                     : text.substr(from, text.find_last_not_of(" \t") + 1 - from);
}

char lower(char one) {
    return one >= 'A' && one <= 'Z' ? static_cast<char>(one + 32) : one;
}

// Calls `what` with each part of a list that is separated by commas.
template <typename What> void each_part(string_view text, What what) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        what(trim(text.substr(0, comma)));
        text = comma == string_view::npos ? string_view{} : text.substr(comma + 1);
    }
}

bool names(string_view list, string_view name) {
    bool found = false;
    each_part(list, [&](string_view part) { found = found || equals_ignoring_case(part, name); });
    return found;
}

template <typename Number, typename... Base> bool read_number(string_view text, Number &to, Base... base) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), to, base...);
    return !text.empty() && error == std::errc{} && end == text.data() + text.size();
}

} // namespace

bool equals_ignoring_case(string_view one, string_view two) {
    return std::equal(one.begin(), one.end(), two.begin(), two.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

string_view http_head::header(string_view name) const {
    for (const auto &each : fields)
        if (equals_ignoring_case(each.name, name))
            return each.value;
    return {};
}

std::size_t http_head::header_count(string_view name) const {
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [&](const http_field &each) {
        return equals_ignoring_case(each.name, name);
    }));
}

bool http_head::keeps_alive() const {
    return minor >= 1 && std::none_of(fields.begin(), fields.end(), [](const http_field &each) {
               return equals_ignoring_case(each.name, "Connection") && names(each.value, "close");
           });
}

http_reader::http_reader(std::span<char> buffer, message_kind which, std::size_t filled)
    : buffer_(buffer), side_(which), filled_(filled) {}

http_reader::state http_reader::received(std::size_t count) {
    filled_ += count;
    for (;;) {
        switch (at_) {
        case stage::head:
            if (const state now = read_head(); at_ == stage::head)
                return now;
            break;
        case stage::counted: {
            const std::size_t here = std::min(left_, filled_ - taken_);
            body_size_ += here;
            taken_ += here;
            left_ -= here;
            if (left_ > 0)
                return wait_for_more();
            at_ = stage::done;
            break;
        }
        case stage::to_end:
            taken_ = filled_;
            body_size_ = taken_ - body_from_;
            return most_ > 0 && beyond(0) ? state::too_large : wait_for_more();
        case stage::done:
            return state::complete;
        default:
            if (const state now = read_chunks(); at_ != stage::done)
                return now;
        }
    }
}

http_reader::state http_reader::wait_for_more() const {
    return !free_space().empty()         ? state::incomplete
           : most_ > 0 && body_size_ > 0 ? state::window_full
                                         : state::too_large;
}

bool http_reader::beyond(std::size_t size) const {
    const std::size_t there = released_ + body_size_;
    return most_ > 0 ? size > most_ || there > most_ - size : size > buffer_.size() - body_from_ - body_size_;
}

void http_reader::release() {
    std::memmove(buffer_.data() + body_from_, buffer_.data() + taken_, filled_ - taken_);
    filled_ -= taken_ - body_from_;
    taken_ = body_from_;
    released_ += std::exchange(body_size_, 0);
}

std::optional<std::size_t> http_reader::content_length() const {
    const bool told = at_ != stage::head && head_.header_count("Content-Length") > 0;
    return told ? std::optional(total_) : std::nullopt;
}

http_reader::state http_reader::on_peer_closed() {
    if (at_ != stage::to_end)
        return state::truncated;
    at_ = stage::done;
    return state::complete;
}

http_reader::state http_reader::read_head() {
    for (;;) {
        const string_view text(buffer_.data() + taken_, filled_ - taken_);
        const auto end = text.substr(0, max_head_size).find("\r\n\r\n");
        // An empty line ahead of a request is skipped: some clients send one behind a body.
        if (side_ == message_kind::request && text.starts_with("\r\n")) {
            taken_ += 2;
            continue;
        }
        if (side_ == message_kind::request && text == "\r")
            return state::incomplete;
        // Guards against waiting for the end of what can never be a head.
        if (!may_begin(text))
            return state::malformed;
        if (end == string_view::npos) {
            // What is left of interim answers moves to the front, so that the whole room is the next head's.
            std::memmove(buffer_.data(), text.data(), text.size());
            filled_ = text.size();
            taken_ = 0;
            return filled_ >= max_head_size ? state::too_large : state::incomplete;
        }
        if (!parse_head(text.substr(0, end + 2)))
            return state::malformed;
        taken_ += end + 4;
        if (side_ == message_kind::request || head_.status >= 200)
            break;
        // An interim answer; the one that counts follows. Guards the small stack: however many there are.
    }
    body_from_ = taken_;
    return frame();
}

// An answer starts with its version, a request with a method, in capitals here.
bool http_reader::may_begin(string_view text) const {
    static constexpr string_view version = "HTTP/1.";
    if (side_ == message_kind::response)
        return text.substr(0, version.size()) == version.substr(0, text.size());
    return text.empty() || is_token(text.substr(0, 1));
}

// `text` is one line or more, each with its CRLF. Guards against requests that two readers would take apart
// differently: bare CR or LF, folded lines, blanks before a colon, lengths told twice.
bool http_reader::parse_head(string_view text) {
    head_ = {};
    for (bool first = true; !text.empty(); first = false) {
        const auto end = text.find("\r\n");
        const string_view line = text.substr(0, end);
        text.remove_prefix(end + 2);
        if (first) {
            if (!parse_first(line))
                return false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == string_view::npos || !is_token(line.substr(0, colon)))
            return false;
        const string_view value = trim(line.substr(colon + 1));
        if (!is_value(value) || head_.fields.size() == most_fields)
            return false;
        head_.fields.push_back({line.substr(0, colon), value});
    }
    return true;
}

bool http_reader::parse_first(string_view line) {
    const auto version = [this](string_view text) {
        if (text != "HTTP/1.1" && text != "HTTP/1.0")
            return false;
        head_.minor = text.back() - '0';
        return true;
    };
    const auto space = line.find(' ');
    if (space == string_view::npos)
        return false;
    if (side_ == message_kind::response) {
        const string_view after = line.substr(space + 1), code = after.substr(0, 3);
        return version(line.substr(0, space)) &&
               (after.size() == 3 || (after.size() > 3 && after[3] == ' ')) && is_value(after) &&
               code[0] >= '1' && code[0] <= '5' && read_number(code, head_.status);
    }
    head_.method = line.substr(0, space);
    const auto last = line.rfind(' ');
    if (last == space || !version(line.substr(last + 1)) || !is_token(head_.method))
        return false;
    head_.target = line.substr(space + 1, last - space - 1);
    // The absolute form, which names the host again.
    static constexpr string_view scheme = "http://";
    if (equals_ignoring_case(head_.target.substr(0, scheme.size()), scheme)) {
        const auto path = head_.target.find('/', scheme.size());
        head_.target = path == string_view::npos ? string_view("/") : head_.target.substr(path);
    }
    if (head_.target.empty())
        return false;
    return head_.target.front() == '/' && std::all_of(head_.target.begin(), head_.target.end(),
                                                      [](char one) { return one > 0x20 && one < 0x7F; });
}

// How the body is told apart from what follows it.
http_reader::state http_reader::frame() {
    int lengths = 0, codings = 0;
    for (const auto &each : head_.fields) {
        if (equals_ignoring_case(each.name, "Content-Length")) {
            ++lengths;
            if (each.value.empty() || each.value.size() > 15 || each.value.front() == '-' ||
                !read_number(each.value, left_))
                return state::malformed;
        } else if (equals_ignoring_case(each.name, "Transfer-Encoding")) {
            ++codings;
            if (!equals_ignoring_case(each.value, "chunked"))
                return state::malformed;
        }
    }
    if (lengths + codings > 1 || (codings > 0 && head_.minor == 0))
        return state::malformed;
    total_ = left_;
    const bool bare =
        side_ == message_kind::response && (bodiless_ || head_.status == 204 || head_.status == 304);
    if (bare)
        left_ = 0;
    if (beyond(left_))
        return state::too_large;
    at_ = codings > 0 && !bare                                    ? stage::chunk_size
          : lengths > 0 || bare || side_ == message_kind::request ? stage::counted
                                                                  : stage::to_end;
    return state::incomplete;
}

// The next line of a chunked body, without its CRLF; false: not there yet.
bool http_reader::next_line(string_view &line) {
    const string_view text(buffer_.data() + taken_, filled_ - taken_);
    const auto end = text.find("\r\n");
    if (end == string_view::npos)
        return false;
    line = text.substr(0, end);
    taken_ += end + 2;
    trailer_ += at_ == stage::trailer ? end + 2 : 0;
    return true;
}

http_reader::state http_reader::read_chunks() {
    string_view line;
    for (;;) {
        if (trailer_ > waste_limit)
            return state::malformed;
        if (at_ == stage::chunk) {
            const std::size_t here = std::min(left_, filled_ - taken_);
            char *const to = buffer_.data() + body_from_ + body_size_;
            std::memmove(to, buffer_.data() + taken_, here);
            body_size_ += here;
            taken_ += here;
            left_ -= here;
            if (left_ > 0)
                break;
            at_ = stage::chunk_end;
        } else if (!next_line(line)) {
            if (filled_ - taken_ > line_limit && at_ != stage::trailer)
                return state::malformed;
            break;
        } else if (at_ == stage::chunk_end) {
            if (!line.empty())
                return state::malformed;
            at_ = stage::chunk_size;
        } else if (at_ == stage::chunk_size) {
            const string_view size = trim(line.substr(0, line.find(';')));
            if (line.size() > line_limit || size.size() > 15 || !is_value(line) ||
                !read_number(size, left_, 16))
                return state::malformed;
            if (beyond(left_))
                return state::too_large;
            at_ = left_ > 0 ? stage::chunk : stage::trailer;
        } else if (line.empty()) { // the end of the trailer, which nobody here needs
            at_ = stage::done;
            return state::complete;
        }
    }
    // What is not read yet moves up behind the body, so that the room is the body's.
    const std::size_t end = body_from_ + body_size_, unread = filled_ - taken_;
    std::memmove(buffer_.data() + end, buffer_.data() + taken_, unread);
    taken_ = end;
    filled_ = end + unread;
    return wait_for_more();
}

bool is_hop_by_hop(const http_head &of, string_view name) {
    for (const string_view each :
         {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
          "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"})
        if (equals_ignoring_case(name, each))
            return true;
    return std::any_of(of.fields.begin(), of.fields.end(), [&](const http_field &each) {
        return equals_ignoring_case(each.name, "Connection") && names(each.value, name);
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

void append_header(std::string &to, string_view name, string_view value) {
    to.append(name).append(": ").append(value).append("\r\n");
}

} // namespace harrierpass
