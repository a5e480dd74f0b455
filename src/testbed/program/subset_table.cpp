// SPDX-License-Identifier: Apache-2.0
#include "testbed/program/subset_table.hpp"

#include "subsets/coverage_report.hpp"
#include "subsets/endpoint_ranking.hpp"
#include "testbed/load/load_generator.hpp"
#include "testbed/model/ids.hpp"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace harrierpass::testbed {
namespace {

// Response time of a request as a multiple of its mean work; estimates the load in flight.
constexpr double response_work_factor = 4;

using subsets::coverage_endpoint;
using subsets::coverage_proxy;
using subsets::coverage_report;

// A change of the fleet.
struct fleet_change {
    const char *name;
    std::size_t moved = 0; // preferences of proxies for servers that are new after the change
};

std::vector<coverage_endpoint> make_servers(const experiment &settings, index count) {
    std::vector<coverage_endpoint> servers;
    for (index i = 0; i < count; ++i)
        servers.push_back({server_id(i), 1, zone_index(zone_of(settings, i))});
    return servers;
}

std::size_t total_preferences(const std::vector<index> &subset_sizes) {
    std::size_t total = 0;
    for (const index size : subset_sizes)
        total += size;
    return total;
}

// Draws bar charts by server: load over its fair share, proxies that use it, connections.
void draw(std::ostream &output, const experiment &settings, const coverage_report &coverage) {
    constexpr double width = 860, height = 220, margin = 40; // pixels; height of one chart
    const auto draw_bars = [&](const auto &values, double top, const std::string &name) {
        const double max = std::max(1e-9, static_cast<double>(*std::ranges::max_element(values)));
        const double step = (width - 2 * margin) / static_cast<double>(values.size());
        output << "<text x='" << margin << "' y='" << top + 14 << "' font-size='13'>" << name << ", at most "
               << max << "</text>\n";
        for (std::size_t i = 0; i < values.size(); ++i) {
            const double bar_height = (height - 40) * static_cast<double>(values[i]) / max;
            output << "<rect x='" << margin + step * static_cast<double>(i) << "' y='"
                   << top + height - bar_height << "' width='" << std::max(0.5, step * 0.8) << "' height='"
                   << bar_height << "' fill='#1b6ca8'/>\n";
        }
    };
    output << std::fixed << std::setprecision(2) << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
           << "' height='" << 3 * height + 60 << "' font-family='sans-serif'>\n<text x='" << margin
           << "' y='24' font-size='16' font-weight='bold'>Subsets of " << settings.name
           << ", by server</text>\n";
    draw_bars(coverage.relative_load, 40, "load over its fair share");
    draw_bars(coverage.proxies_per_endpoint, 40 + height, "proxies that use it");
    draw_bars(coverage.idle_connections, 40 + 2 * height, "connections");
    output << "</svg>\n";
}

// The subsets of an experiment's proxies and their effect on the servers.
struct subset_analysis {
    double rate = 0; // attempts per second over all proxies
    std::vector<coverage_proxy> proxies;
    std::vector<coverage_endpoint> servers;
    coverage_report subsets, full_mesh; // full_mesh: with each proxy using all servers
    std::vector<fleet_change> changes;
    std::vector<index> proxies_by_level;
};

// Returns the experiment's proxies and an additional one.
std::vector<coverage_proxy> proxies_with_one_more(const experiment &settings, const subset_options &options,
                                                  double rate, const subsets::subset_costs &costs) {
    const index count = settings.proxies.count;
    auto load_shares = proxy_load_shares(settings);
    load_shares.resize(count, 1);
    double work = 0;
    for (const auto &use_case : settings.use_cases)
        work += use_case.share * use_case.work;
    std::vector<coverage_proxy> proxies;
    for (index proxy = 0; proxy <= count; ++proxy) {
        const double attempt_rate = rate / count * (proxy < count ? load_shares[proxy] : 1);
        const subsets::traffic_sample traffic{attempt_rate, attempt_rate * work * response_work_factor,
                                              options.fetched, options.loss, 0};
        const bool never_helps = subsets::subsetting_never_helps(router_settings_for(settings, proxy));
        const index level = options.level >= 0 ? static_cast<index>(options.level)
                            : never_helps
                                ? 0
                                : subsets::best_level(costs, traffic, settings.fleet.servers, count, 0);
        proxies.push_back({proxy, attempt_rate, level});
    }
    return proxies;
}

std::vector<fleet_change> count_changes(const std::vector<coverage_proxy> &proxies,
                                        const std::vector<coverage_proxy> &one_more_proxy,
                                        const std::vector<coverage_endpoint> &servers,
                                        const std::vector<coverage_endpoint> &more_servers) {
    const auto count = static_cast<std::ptrdiff_t>(servers.size());
    const std::vector<coverage_endpoint> one_added(more_servers.begin(), more_servers.begin() + count + 1);
    const std::vector<coverage_endpoint> one_removed(servers.begin(), servers.end() - (count > 1 ? 1 : 0));
    const std::vector<coverage_endpoint> tenth_replaced(more_servers.begin() + count / 10,
                                                        more_servers.end());
    const auto moved = [&](const auto &new_proxies, const auto &new_servers) {
        return subsets::count_new_assignments(proxies, servers, new_proxies, new_servers);
    };
    return {{"one server more", moved(proxies, one_added)},
            {"one server less", moved(proxies, one_removed)},
            {"a tenth of the servers replaced", moved(proxies, tenth_replaced)},
            {"one proxy more", moved(one_more_proxy, servers)}};
}

subset_analysis analyze(const experiment &settings, const subset_options &options) {
    const subsets::subset_costs costs{settings.costs.handshake, settings.costs.origin,
                                      settings.fleet.idle_timeout * idle_reuse_share};
    const index count = settings.fleet.servers;
    subset_analysis analysis;
    analysis.rate = options.rate >= 0 ? options.rate : settings.load.rate;
    const auto one_more_proxy = proxies_with_one_more(settings, options, analysis.rate, costs);
    analysis.proxies.assign(one_more_proxy.begin(), one_more_proxy.end() - 1);
    const auto more_servers = make_servers(settings, count + std::max<index>(1, count / 10));
    analysis.servers.assign(more_servers.begin(), more_servers.begin() + count);
    analysis.subsets = subsets::compute_coverage(analysis.proxies, analysis.servers, costs);
    auto full_mesh_proxies = analysis.proxies;
    for (auto &proxy : full_mesh_proxies)
        proxy.level = 0;
    analysis.full_mesh = subsets::compute_coverage(full_mesh_proxies, analysis.servers, costs);
    analysis.changes = count_changes(analysis.proxies, one_more_proxy, analysis.servers, more_servers);
    analysis.proxies_by_level.resize(subsets::max_subset_level + 1);
    for (const auto &proxy : analysis.proxies)
        ++analysis.proxies_by_level[proxy.level];
    return analysis;
}

void print_json(std::ostream &output, const experiment &settings, const subset_analysis &analysis) {
    const auto &subsets = analysis.subsets;
    nlohmann::json report = {{"experiment", settings.name},
                             {"dials_an_execution", subsets.new_connections_per_attempt},
                             {"dials_without", analysis.full_mesh.new_connections_per_attempt},
                             {"levels", analysis.proxies_by_level},
                             {"widths", subsets.subset_sizes}};
    for (index i = 0; i < analysis.servers.size(); ++i)
        report["servers"].push_back({{"id", analysis.servers[i].id},
                                     {"proxies", subsets.proxies_per_endpoint[i]},
                                     {"over_fair", subsets.relative_load[i]},
                                     {"connections", subsets.idle_connections[i]}});
    for (const auto &change : analysis.changes)
        report["moved"][change.name] = change.moved;
    for (const auto &proxy : analysis.proxies) {
        std::vector<std::string> names;
        for (const index server : subsets::selected_endpoints(proxy, analysis.servers))
            names.push_back(analysis.servers[server].id);
        report["proxies"].push_back({{"me", proxy.proxy_index},
                                     {"rate", proxy.attempt_rate},
                                     {"level", proxy.level},
                                     {"uses", names}});
    }
    output << report.dump(2) << '\n';
}

// Prints a row of the table: the minimum and the maximum of the values.
template <typename Values>
void print_range(std::ostream &output, const char *name, int width, const Values &values) {
    output << name << std::setw(width) << *std::ranges::min_element(values) << std::setw(9)
           << *std::ranges::max_element(values);
}

void print_table(std::ostream &output, const experiment &settings, const subset_analysis &analysis) {
    const auto &subsets = analysis.subsets;
    const auto &mesh = analysis.full_mesh;
    const index servers = settings.fleet.servers;
    output << std::fixed << std::setprecision(3) << settings.name << ": " << settings.proxies.count
           << " proxies, " << servers << " servers, " << analysis.rate
           << " attempts per second\n\nlevel  proxies  servers each, about\n";
    const auto &levels = analysis.proxies_by_level;
    for (index level = 0; level < levels.size(); ++level)
        if (levels[level] > 0)
            output << std::setw(5) << level << std::setw(9) << levels[level] << std::setw(10)
                   << (servers >> level) << '\n';
    output << "\nby server                      min      max\n";
    print_range(output, "proxies that use it ", 14, subsets.proxies_per_endpoint);
    print_range(output, "\nload over its fair share", 10, subsets.relative_load);
    print_range(output, "\nconnections             ", 10, subsets.idle_connections);
    print_range(output, "\nconnections without them", 10, mesh.idle_connections);
    output << "\n\nnew connections per attempt, by the model: " << subsets.new_connections_per_attempt
           << "; without subsets " << mesh.new_connections_per_attempt
           << "\n\nchange                            new preferences, of "
           << total_preferences(subsets.subset_sizes) << '\n';
    for (const auto &change : analysis.changes)
        output << std::left << std::setw(34) << change.name << std::right << change.moved << '\n';
}

} // namespace

void print_subset_table(const experiment &settings, const subset_options &options, std::ostream &output,
                        std::ostream *plot) {
    const subset_analysis analysis = analyze(settings, options);
    if (plot != nullptr)
        draw(*plot, settings, analysis.subsets);
    if (options.as_json)
        print_json(output, settings, analysis);
    else
        print_table(output, settings, analysis);
}

} // namespace harrierpass::testbed
