// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/protocol.hpp"

#include "router/router.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace harrierpass::proxy {
namespace {

using std::string_view;

// s; a client that says more is not waited for, and what is kept of it is bounded
constexpr double longest_wait = 60;

void append_number(std::string &to, double value, const char *form) {
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), form, value);
    to += text.data();
}

} // namespace

parsed_request parse_request(const http_head &asked, const configuration &given) {
    const auto bad = [](const char *why) { return parsed_request{{}, 0, why}; };
    // Guards against what two readers would take for different queries.
    for (const string_view each : {"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key"})
        if (asked.header_count(each) > 1)
            return bad("one of the fields that name the query stands twice\n");
    if (asked.header("X-Request-Id").empty())
        return bad("no X-Request-Id\n");
    const string_view path = asked.target.substr(1, asked.target.find('?') - 1);
    string_view name = asked.header("X-Class");
    if (name.empty())
        name = path.substr(0, path.find('/'));
    parsed_request to;
    to.info.class_id = index_of_name(given.request_classes, name);
    if (to.info.class_id == none)
        return bad("no use case of that name\n");
    const auto slash = path.rfind('/');
    const string_view key = slash == string_view::npos ? string_view{} : path.substr(slash + 1);
    to.info.has_key = !key.empty();
    to.info.key = ring_hash(key); // the text's own, so that it is the same at every proxy
    to.info.tenant = index_of_name(given.tenants, asked.header("X-Tenant"));
    to.info.is_write = asked.method == "PUT";
    const bool told = asked.header_count("X-Deadline") > 0;
    const double seconds =
        told ? parse_timeout(asked.header("X-Deadline")) : given.request_timeouts[to.info.class_id];
    if (seconds < 0)
        return bad("X-Deadline is no number like 480m or 480000u\n");
    to.client_timeout = std::min(seconds, longest_wait);
    return to;
}

std::string forwarded_request(const http_reader &asked, double left, bool whole) {
    const auto &head = asked.head();
    std::string to;
    to.reserve(512);
    to.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    for (const auto &each : head.fields)
        if (!is_hop_by_hop(head, each.name) && !equals_ignoring_case(each.name, "X-Deadline"))
            append_header(to, each.name, each.value);
    to += "X-Deadline: ";
    append_number(to, std::max(1.0, left * 1000), "%.0fm\r\n");
    if (!whole)
        to += asked.content_length() ? content_length_header(*asked.content_length())
                                     : std::string(chunked_header);
    else if (head.method == "PUT" || !asked.body().empty())
        to += content_length_header(asked.body().size());
    return to += "\r\n";
}

bool is_cache_miss(const http_head &answer) {
    const string_view note = answer.header("X-Cache");
    return equals_ignoring_case(note, "miss") || equals_ignoring_case(note, "pending");
}

outcome outcome_of(const http_head &answer, bool aside) {
    if (answer.status == 200)
        return outcome::completed;
    if (aside && answer.status == 404 && is_cache_miss(answer))
        return outcome::cache_miss;
    const bool never_began = answer.status == 503 || answer.status == 504;
    return never_began && answer.header("X-Not-Run") == "1" ? outcome::overloaded : outcome::error;
}

std::string forwarded_headers(const http_head &answer) {
    std::string fields;
    for (const auto &each : answer.fields)
        if (!is_hop_by_hop(answer, each.name))
            append_header(fields, each.name, each.value);
    return fields;
}

std::string retry_after_header(double seconds) {
    std::string field;
    if (seconds > 0) {
        field = "Retry-After: ";
        append_number(field, seconds, "%.3f\r\n");
    }
    return field;
}

std::string content_length_header(std::size_t size) {
    std::string field;
    append_header(field, "Content-Length", std::to_string(size));
    return field;
}

std::string answer_head(int status, string_view fields, std::size_t size, bool keeps) {
    return response_head(status, fields, content_length_header(size), keeps);
}

std::string response_head(int status, string_view fields, string_view framing, bool keeps) {
    static constexpr std::array<std::pair<int, string_view>, 10> names = {{{200, "OK"},
                                                                           {400, "Bad Request"},
                                                                           {404, "Not Found"},
                                                                           {405, "Method Not Allowed"},
                                                                           {408, "Request Timeout"},
                                                                           {409, "Conflict"},
                                                                           {413, "Content Too Large"},
                                                                           {502, "Bad Gateway"},
                                                                           {503, "Service Unavailable"},
                                                                           {504, "Gateway Timeout"}}};
    const auto name =
        std::find_if(names.begin(), names.end(), [&](const auto &each) { return each.first == status; });
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(name->second).append("\r\n").append(fields);
    head += framing;
    if (!keeps)
        append_header(head, "Connection", "close");
    return head += "\r\n";
}

} // namespace harrierpass::proxy
