// SPDX-License-Identifier: Apache-2.0
#include "proxy/messages.hpp"

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

understood understand(const http_head &asked, const configuration &given) {
    const auto bad = [](const char *why) { return understood{{}, 0, why}; };
    // Guards against what two readers would take for different queries.
    for (const string_view each : {"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "Idempotency-Key"})
        if (asked.count(each) > 1)
            return bad("one of the fields that name the query stands twice\n");
    if (asked.value("X-Request-Id").empty())
        return bad("no X-Request-Id\n");
    const string_view path = asked.target.substr(1, asked.target.find('?') - 1);
    string_view name = asked.value("X-Class");
    if (name.empty())
        name = path.substr(0, path.find('/'));
    understood to;
    to.made.use_case = place_of(given.use_cases, name);
    if (to.made.use_case == none)
        return bad("no use case of that name\n");
    const auto slash = path.rfind('/');
    const string_view key = slash == string_view::npos ? string_view{} : path.substr(slash + 1);
    to.made.has_key = !key.empty();
    to.made.key = ring_hash(key); // the text's own, so that it is the same at every proxy
    to.made.tenant = place_of(given.tenants, asked.value("X-Tenant"));
    to.made.write = asked.method == "PUT";
    const bool told = asked.count("X-Deadline") > 0;
    const double seconds =
        told ? deadline_seconds(asked.value("X-Deadline")) : given.statement_timeouts[to.made.use_case];
    if (seconds < 0)
        return bad("X-Deadline is no number like 480m or 480000u\n");
    to.patience = std::min(seconds, longest_wait);
    return to;
}

std::string forwarded(const http_reader &asked, double left, bool whole) {
    const auto &head = asked.head();
    std::string to;
    to.reserve(512);
    to.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    for (const auto &each : head.fields)
        if (!is_hop_field(head, each.name) && !same_name(each.name, "X-Deadline"))
            put_field(to, each.name, each.value);
    to += "X-Deadline: ";
    append_number(to, std::max(1.0, left * 1000), "%.0fm\r\n");
    if (!whole)
        to += asked.length() ? length_field(*asked.length()) : std::string(chunked_field);
    else if (head.method == "PUT" || !asked.body().empty())
        to += length_field(asked.body().size());
    return to += "\r\n";
}

bool was_fetched(const http_head &answer) {
    const string_view note = answer.value("X-Cache");
    return same_name(note, "miss") || same_name(note, "pending");
}

outcome outcome_of(const http_head &answer, bool aside) {
    if (answer.status == 200)
        return outcome::completed;
    if (aside && answer.status == 404 && was_fetched(answer))
        return outcome::miss;
    const bool never_began = answer.status == 503 || answer.status == 504;
    return never_began && answer.value("X-Not-Run") == "1" ? outcome::queue_full : outcome::error;
}

std::string passed_on(const http_head &answer) {
    std::string fields;
    for (const auto &each : answer.fields)
        if (!is_hop_field(answer, each.name))
            put_field(fields, each.name, each.value);
    return fields;
}

std::string come_back_in(double seconds) {
    std::string field;
    if (seconds > 0) {
        field = "Retry-After: ";
        append_number(field, seconds, "%.3f\r\n");
    }
    return field;
}

std::string length_field(std::size_t size) {
    std::string field;
    put_field(field, "Content-Length", std::to_string(size));
    return field;
}

std::string answer_head(int status, string_view fields, std::size_t size, bool keeps) {
    return answer_head(status, fields, length_field(size), keeps);
}

std::string answer_head(int status, string_view fields, string_view framing, bool keeps) {
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
        put_field(head, "Connection", "close");
    return head += "\r\n";
}

} // namespace harrierpass::proxy
