// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/request_metrics.hpp"

namespace harrierpass::proxy {
namespace {

// The names of the results on the metrics page.
constexpr std::array<std::string_view, static_cast<std::size_t>(request_result::total)> result_names = {
    "answered", "deferred", "errored"};

// Quotes a label value and escapes quotes, backslashes and line feeds.
std::string quote_label(std::string_view text) {
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        if (c == '\n')
            quoted += "\\n";
        else
            quoted += c;
    }
    return quoted += '"';
}

// A metric without labels.
struct metric_row {
    std::string_view name, kind, help;
    std::uint64_t value;
};

void append_metric(std::string &page, const metric_row &row) {
    page.append("# HELP ").append(row.name).append(" ").append(row.help).append("\n# TYPE ").append(row.name);
    page.append(" ").append(row.kind).append("\n").append(row.name).append(" ");
    page.append(std::to_string(row.value)).append("\n");
}

} // namespace

std::string render_metrics(const request_metrics::snapshot &counts, std::size_t listed, std::size_t avoided,
                           const subset_view &subset) {
    static constexpr std::string_view results_metric = "app_transactions_total";
    std::string page;
    page.append("# HELP ").append(results_metric).append(" Queries ended, by use case and how.\n");
    page.append("# TYPE ").append(results_metric).append(" counter\n");
    for (const auto &[request_class, results] : counts.results)
        for (std::size_t i = 0; i < result_names.size(); ++i)
            page.append(results_metric)
                .append("{group=")
                .append(quote_label(request_class))
                .append(",state=\"")
                .append(result_names[i])
                .append("\"} ")
                .append(std::to_string(results[i]))
                .append("\n");
    const metric_row rows[] = {
        {"app_sends_total", "counter", "Executions written whole to servers.", counts.attempts_sent},
        {"app_current", "gauge", "Queries taken and not ended.", counts.active_requests},
        {"app_cluster_size", "gauge", "Servers in the list.", listed},
        {"app_cluster_unhealthy", "gauge", "Listed servers that are avoided counts.", avoided},
        {"app_subset_size", "gauge", "Listed servers that this proxy uses counts.",
         subset.selected_endpoints},
        {"app_subset_level", "gauge", "It prefers one of 2^level parts of them.", subset.level},
        {"app_subset_joined_total", "counter", "Servers that came into use.", subset.endpoints_added},
        {"app_subset_left_total", "counter", "Servers that went out of use.", subset.endpoints_removed},
        {"app_subset_short_total", "counter", "Times that too few of them were usable.",
         subset.widened_for_availability},
        {"app_subset_pressed_total", "counter", "Times that most queries found no room.",
         subset.widened_for_capacity}};
    for (const metric_row &row : rows)
        append_metric(page, row);
    return page;
}

} // namespace harrierpass::proxy
