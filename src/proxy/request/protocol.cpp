// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/protocol.hpp"

#include "router/router.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace harrierpass::proxy {
namespace {

using std::string_view;

constexpr double max_client_timeout = 60; // seconds; bounds the lifetime of a request's state

// Fields that identify the request. If one is repeated, two recipients could identify different requests.
constexpr std::array<string_view, 5> identifying_fields = {"X-Request-Id", "X-Class", "X-Tenant",
                                                           "X-Deadline", "Idempotency-Key"};

struct reason_phrase {
    int status;
    string_view text;
};
constexpr std::array<reason_phrase, 10> reason_phrases = {{{200, "OK"},
                                                           {400, "Bad Request"},
                                                           {404, "Not Found"},
                                                           {405, "Method Not Allowed"},
                                                           {408, "Request Timeout"},
                                                           {409, "Conflict"},
                                                           {413, "Content Too Large"},
                                                           {502, "Bad Gateway"},
                                                           {503, "Service Unavailable"},
                                                           {504, "Gateway Timeout"}}};

void append_formatted(std::string &text, double value, const char *format) {
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, value);
    text += buffer.data();
}

// Returns "/CLASS/.../KEY?QUERY" without the first slash and the query.
string_view path_of(const http_head &head) {
    return head.target.substr(1, head.target.find('?') - 1);
}

// Returns the value of X-Class, or the first segment of the path without that field.
string_view class_name_of(const http_head &head) {
    const string_view class_header = head.header("X-Class");
    if (!class_header.empty())
        return class_header;
    const string_view path = path_of(head);
    return path.substr(0, path.find('/'));
}

// Returns the last segment of the path; empty if there is only one: the request has no key.
string_view key_of(const http_head &head) {
    const string_view path = path_of(head);
    const auto slash = path.rfind('/');
    return slash == string_view::npos ? string_view{} : path.substr(slash + 1);
}

parsed_request malformed_request(const char *fault) {
    return {.info = {}, .client_timeout = 0, .fault = fault};
}

} // namespace

parsed_request parse_request(const http_head &head, const configuration &settings) {
    for (const string_view name : identifying_fields)
        if (head.header_count(name) > 1)
            return malformed_request("one of the fields that name the query stands twice\n");
    if (head.header("X-Request-Id").empty())
        return malformed_request("no X-Request-Id\n");
    parsed_request parsed;
    parsed.info.class_id = class_index(index_of_name(settings.request_classes, class_name_of(head)));
    if (parsed.info.class_id == none)
        return malformed_request("no use case of that name\n");
    const string_view key = key_of(head);
    parsed.info.has_key = !key.empty();
    parsed.info.key = ring_hash(key); // depends on the key's text only, so that all proxies agree
    parsed.info.tenant = tenant_index(index_of_name(settings.tenants, head.header("X-Tenant")));
    parsed.info.is_write = head.method == "PUT";
    const bool has_deadline = head.header_count("X-Deadline") > 0;
    const double timeout = has_deadline ? parse_timeout(head.header("X-Deadline"))
                                        : settings.request_timeouts[parsed.info.class_id.value()];
    if (timeout < 0)
        return malformed_request("X-Deadline is no number like 480m or 480000u\n");
    parsed.client_timeout = std::min(timeout, max_client_timeout);
    return parsed;
}

std::string forwarded_request(const http_reader &request, double time_left, bool whole_body) {
    const http_head &head = request.head();
    std::string text;
    text.reserve(512);
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    for (const auto &field : head.fields)
        if (!is_hop_by_hop(head, field.name) && !equals_ignoring_case(field.name, "X-Deadline"))
            append_header(text, field.name, field.value);
    text += "X-Deadline: ";
    append_formatted(text, std::max(1.0, time_left * 1000), "%.0fm\r\n");
    if (!whole_body) {
        const auto length = request.content_length();
        text += length ? content_length_header(*length) : std::string(chunked_header);
    } else if (head.method == "PUT" || !request.body().empty()) {
        text += content_length_header(request.body().size());
    }
    return text += "\r\n";
}

bool is_cache_miss(const http_head &response) {
    const string_view cache_status = response.header("X-Cache");
    return equals_ignoring_case(cache_status, "miss") || equals_ignoring_case(cache_status, "pending");
}

outcome outcome_of(const http_head &response, bool proxies_fetch) {
    if (response.status == 200)
        return outcome::completed;
    if (proxies_fetch && response.status == 404 && is_cache_miss(response))
        return outcome::cache_miss;
    const bool is_unavailable = response.status == 503 || response.status == 504;
    return is_unavailable && response.header("X-Not-Run") == "1" ? outcome::overloaded : outcome::error;
}

std::string forwarded_headers(const http_head &response) {
    std::string fields;
    for (const auto &field : response.fields)
        if (!is_hop_by_hop(response, field.name))
            append_header(fields, field.name, field.value);
    return fields;
}

std::string retry_after_header(double seconds) {
    std::string field;
    if (seconds > 0) {
        field = "Retry-After: ";
        append_formatted(field, seconds, "%.3f\r\n");
    }
    return field;
}

std::string content_length_header(std::size_t size) {
    std::string field;
    append_header(field, "Content-Length", std::to_string(size));
    return field;
}

std::string response_head(int status, string_view fields, string_view framing_field, bool keep_connection) {
    const auto found = std::find_if(reason_phrases.begin(), reason_phrases.end(),
                                    [&](const reason_phrase &phrase) { return phrase.status == status; });
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(found->text).append("\r\n").append(fields).append(framing_field);
    if (!keep_connection)
        append_header(head, "Connection", "close");
    return head += "\r\n";
}

} // namespace harrierpass::proxy
