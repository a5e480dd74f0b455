// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/request_metrics.hpp"

namespace harrierpass::proxy {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(request_result::total)> states = {
    "answered", "deferred", "errored"};

// A label's value, in which quotes, backslashes and line ends are written with a backslash.
std::string quoted(std::string_view text) {
    std::string made = "\"";
    for (const char each : text) {
        if (each == '"' || each == '\\')
            made += '\\';
        if (each == '\n')
            made += "\\n";
        else
            made += each;
    }
    return made += '"';
}

void put(std::string &to, std::string_view name, std::string_view kind, std::string_view help,
         std::uint64_t value) {
    to.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name);
    to.append(" ").append(kind).append("\n").append(name).append(" ");
    to.append(std::to_string(value)).append("\n");
}

} // namespace

std::string render_metrics(const request_metrics::snapshot &now, std::size_t listed, std::size_t avoided,
                           const subset_view &chosen) {
    static constexpr std::string_view ended = "app_transactions_total";
    std::string page;
    page.append("# HELP ").append(ended).append(" Queries ended, by use case and how.\n");
    page.append("# TYPE ").append(ended).append(" counter\n");
    for (const auto &[request_class, counts] : now.results)
        for (std::size_t i = 0; i < states.size(); ++i)
            page.append(ended)
                .append("{group=")
                .append(quoted(request_class))
                .append(",state=\"")
                .append(states[i])
                .append("\"} ")
                .append(std::to_string(counts[i]))
                .append("\n");
    put(page, "app_sends_total", "counter", "Executions written whole to servers.", now.attempts_sent);
    put(page, "app_current", "gauge", "Queries taken and not ended.", now.active_requests);
    put(page, "app_cluster_size", "gauge", "Servers in the list.", listed);
    put(page, "app_cluster_unhealthy", "gauge", "Listed servers that are avoided now.", avoided);
    put(page, "app_subset_size", "gauge", "Listed servers that this proxy uses now.",
        chosen.selected_endpoints);
    put(page, "app_subset_level", "gauge", "It prefers one of 2^level parts of them.", chosen.level);
    put(page, "app_subset_joined_total", "counter", "Servers that came into use.", chosen.endpoints_added);
    put(page, "app_subset_left_total", "counter", "Servers that went out of use.", chosen.endpoints_removed);
    put(page, "app_subset_short_total", "counter", "Times that too few of them were usable.",
        chosen.widened_for_availability);
    put(page, "app_subset_pressed_total", "counter", "Times that most queries found no room.",
        chosen.widened_for_capacity);
    return page;
}

} // namespace harrierpass::proxy
