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

constexpr double response_work_factor =
    4; // mean works of a request that its response takes, for the load in flight

using subsets::coverage_endpoint;
using subsets::coverage_proxy;
using subsets::coverage_report;

// A change of the fleet, and how many preferences of proxies for servers would be new after it.
struct change {
    const char *name;
    std::size_t moved = 0;
};

std::vector<coverage_endpoint> servers_of(const experiment &settings, index count) {
    std::vector<coverage_endpoint> made;
    for (index i = 0; i < count; ++i)
        made.push_back({server_id(i), 1, zone_index(zone_of(settings, i))});
    return made;
}

std::size_t preferences(const std::vector<index> &widths) {
    std::size_t made = 0;
    for (const index each : widths)
        made += each;
    return made;
}

// The busiest server over its fair share first, by lines.
void draw(std::ostream &to, const experiment &settings, const coverage_report &of) {
    constexpr double wide = 860, high = 220, edge = 40;
    const auto bars = [&](const auto &values, double top, const std::string &name) {
        const double most = std::max(1e-9, static_cast<double>(*std::ranges::max_element(values)));
        const double step = (wide - 2 * edge) / static_cast<double>(values.size());
        to << "<text x='" << edge << "' y='" << top + 14 << "' font-size='13'>" << name << ", at most "
           << most << "</text>\n";
        for (std::size_t i = 0; i < values.size(); ++i) {
            const double tall = (high - 40) * static_cast<double>(values[i]) / most;
            to << "<rect x='" << edge + step * static_cast<double>(i) << "' y='" << top + high - tall
               << "' width='" << std::max(0.5, step * 0.8) << "' height='" << tall << "' fill='#1b6ca8'/>\n";
        }
    };
    to << std::fixed << std::setprecision(2) << "<svg xmlns='http://www.w3.org/2000/svg' width='" << wide
       << "' height='" << 3 * high + 60 << "' font-family='sans-serif'>\n<text x='" << edge
       << "' y='24' font-size='16' font-weight='bold'>Subsets of " << settings.name << ", by server</text>\n";
    bars(of.relative_load, 40, "load over its fair share");
    bars(of.proxies_per_endpoint, 40 + high, "proxies that use it");
    bars(of.idle_connections, 40 + 2 * high, "connections");
    to << "</svg>\n";
}

// What the proxies of an experiment prefer, and what that adds up to.
struct subset_analysis {
    double rate = 0; // attempts a second over all proxies
    std::vector<coverage_proxy> proxies;
    std::vector<coverage_endpoint> servers;
    coverage_report subsets, full_mesh; // full_mesh: where each proxy uses all servers
    std::vector<change> changes;
    std::vector<index> proxies_by_level;
};

// The proxies, and one more than the experiment has.
std::vector<coverage_proxy> proxies_with_one_more(const experiment &settings, const subset_options &options,
                                                  double rate, const subsets::subset_costs &costs) {
    const index count = settings.proxies.count;
    auto parts = proxy_load_shares(settings);
    parts.resize(count, 1);
    double work = 0;
    for (const auto &use_case : settings.use_cases)
        work += use_case.share * use_case.work;
    std::vector<coverage_proxy> proxies;
    for (index proxy = 0; proxy <= count; ++proxy) {
        const double own_rate = rate / count * (proxy < count ? parts[proxy] : 1);
        const subsets::traffic_sample traffic{own_rate, own_rate * work * response_work_factor,
                                              options.fetched, options.loss, 0};
        const bool never_helps = subsets::subsetting_never_helps(router_settings_for(settings, proxy));
        const index level = options.level >= 0 ? static_cast<index>(options.level)
                            : never_helps
                                ? 0
                                : subsets::best_level(costs, traffic, settings.fleet.servers, count, 0);
        proxies.push_back({proxy, own_rate, level});
    }
    return proxies;
}

std::vector<change> changes_of(const std::vector<coverage_proxy> &proxies,
                               const std::vector<coverage_proxy> &one_more_proxy,
                               const std::vector<coverage_endpoint> &servers,
                               const std::vector<coverage_endpoint> &more_servers) {
    const auto count = static_cast<std::ptrdiff_t>(servers.size());
    const std::vector<coverage_endpoint> one_more(more_servers.begin(), more_servers.begin() + count + 1);
    const std::vector<coverage_endpoint> one_less(servers.begin(), servers.end() - (count > 1 ? 1 : 0));
    const std::vector<coverage_endpoint> tenth_replaced(more_servers.begin() + count / 10,
                                                        more_servers.end());
    const auto moved = [&](const auto &new_proxies, const auto &new_servers) {
        return subsets::count_new_assignments(proxies, servers, new_proxies, new_servers);
    };
    return {{"one server more", moved(proxies, one_more)},
            {"one server less", moved(proxies, one_less)},
            {"a tenth of the servers replaced", moved(proxies, tenth_replaced)},
            {"one proxy more", moved(one_more_proxy, servers)}};
}

subset_analysis analyze(const experiment &settings, const subset_options &options) {
    const subsets::subset_costs costs{settings.costs.handshake, settings.costs.origin,
                                      settings.fleet.idle_timeout * idle_reuse_share};
    const index count = settings.fleet.servers;
    subset_analysis made;
    made.rate = options.rate >= 0 ? options.rate : settings.load.rate;
    const auto one_more_proxy = proxies_with_one_more(settings, options, made.rate, costs);
    made.proxies.assign(one_more_proxy.begin(), one_more_proxy.end() - 1);
    const auto more_servers = servers_of(settings, count + std::max<index>(1, count / 10));
    made.servers.assign(more_servers.begin(), more_servers.begin() + count);
    made.subsets = subsets::compute_coverage(made.proxies, made.servers, costs);
    auto all_servers = made.proxies;
    for (auto &each : all_servers)
        each.level = 0;
    made.full_mesh = subsets::compute_coverage(all_servers, made.servers, costs);
    made.changes = changes_of(made.proxies, one_more_proxy, made.servers, more_servers);
    made.proxies_by_level.resize(subsets::max_subset_level + 1);
    for (const auto &each : made.proxies)
        ++made.proxies_by_level[each.level];
    return made;
}

void print_json(std::ostream &to, const experiment &settings, const subset_analysis &analysis) {
    const auto &subsets = analysis.subsets;
    nlohmann::json made = {{"experiment", settings.name},
                           {"dials_an_execution", subsets.new_connections_per_attempt},
                           {"dials_without", analysis.full_mesh.new_connections_per_attempt},
                           {"levels", analysis.proxies_by_level},
                           {"widths", subsets.subset_sizes}};
    for (index i = 0; i < analysis.servers.size(); ++i)
        made["servers"].push_back({{"id", analysis.servers[i].id},
                                   {"proxies", subsets.proxies_per_endpoint[i]},
                                   {"over_fair", subsets.relative_load[i]},
                                   {"connections", subsets.idle_connections[i]}});
    for (const auto &each : analysis.changes)
        made["moved"][each.name] = each.moved;
    for (const auto &each : analysis.proxies) {
        std::vector<std::string> names;
        for (const index server : subsets::selected_endpoints(each, analysis.servers))
            names.push_back(analysis.servers[server].id);
        made["proxies"].push_back(
            {{"me", each.proxy_index}, {"rate", each.attempt_rate}, {"level", each.level}, {"uses", names}});
    }
    to << made.dump(2) << '\n';
}

// A row of the table: the least and the most of the values.
template <typename Values>
void print_range(std::ostream &to, const char *name, int width, const Values &values) {
    to << name << std::setw(width) << *std::ranges::min_element(values) << std::setw(9)
       << *std::ranges::max_element(values);
}

void print_table(std::ostream &to, const experiment &settings, const subset_analysis &analysis) {
    const auto &subsets = analysis.subsets;
    const auto &mesh = analysis.full_mesh;
    const index servers = settings.fleet.servers;
    to << std::fixed << std::setprecision(3) << settings.name << ": " << settings.proxies.count
       << " proxies, " << servers << " servers, " << analysis.rate
       << " executions a second\n\nlevel  proxies  servers each, about\n";
    const auto &levels = analysis.proxies_by_level;
    for (index level = 0; level < levels.size(); ++level)
        if (levels[level] > 0)
            to << std::setw(5) << level << std::setw(9) << levels[level] << std::setw(10)
               << (servers >> level) << '\n';
    to << "\nby server                    least     most\n";
    print_range(to, "proxies that use it ", 14, subsets.proxies_per_endpoint);
    print_range(to, "\nload over its fair share", 10, subsets.relative_load);
    print_range(to, "\nconnections             ", 10, subsets.idle_connections);
    print_range(to, "\nconnections without them", 10, mesh.idle_connections);
    to << "\n\nnew connections an execution, by the model: " << subsets.new_connections_per_attempt
       << "; without subsets " << mesh.new_connections_per_attempt
       << "\n\na change                          preferences "
       << "that are new, of " << preferences(subsets.subset_sizes) << '\n';
    for (const auto &each : analysis.changes)
        to << std::left << std::setw(34) << each.name << std::right << each.moved << '\n';
}

} // namespace

void print_subset_table(const experiment &settings, const subset_options &options, std::ostream &to,
                        std::ostream *plot) {
    const subset_analysis analysis = analyze(settings, options);
    if (plot != nullptr)
        draw(*plot, settings, analysis.subsets);
    if (options.as_json)
        print_json(to, settings, analysis);
    else
        print_table(to, settings, analysis);
}

} // namespace harrierpass::testbed
