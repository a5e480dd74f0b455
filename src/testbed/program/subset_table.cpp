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

constexpr double answers = 4; // mean works of a query that its answer takes; for what is in flight

using subsets::coverage_endpoint;
using subsets::coverage_proxy;
using subsets::coverage_report;

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

} // namespace

void print_subset_table(const experiment &settings, const subset_options &how, std::ostream &to,
                        std::ostream *plot) {
    const subsets::subset_costs prices{settings.costs.handshake, settings.costs.origin,
                                       settings.fleet.idle_timeout * idle_reuse_share};
    const index servers = settings.fleet.servers, count = settings.proxies.count;
    auto parts = proxy_load_shares(settings);
    parts.resize(count, 1);
    const double rate = how.rate >= 0 ? how.rate : settings.load.rate;
    double work = 0;
    for (const auto &each : settings.use_cases)
        work += each.share * each.work;
    std::vector<coverage_proxy> proxies;
    for (index me = 0; me <= count; ++me) {
        const double own = rate / count * (me < count ? parts[me] : 1);
        const subsets::traffic_sample seen{own, own * work * answers, how.fetched, how.loss, 0};
        const index level = how.level >= 0 ? static_cast<index>(how.level)
                            : subsets::subsetting_never_helps(router_settings_for(settings, me))
                                ? 0
                                : subsets::best_level(prices, seen, servers, count, 0);
        proxies.push_back({me, own, level});
    }
    const auto one_more = proxies;
    proxies.pop_back();
    const auto all = servers_of(settings, servers + std::max<index>(1, servers / 10));
    const std::vector<coverage_endpoint> now(all.begin(), all.begin() + servers),
        plus(all.begin(), all.begin() + servers + 1), less(now.begin(), now.end() - (servers > 1 ? 1 : 0)),
        tenth(all.begin() + servers / 10, all.end());
    const coverage_report found = subsets::compute_coverage(proxies, now, prices);
    auto full = proxies;
    for (auto &each : full)
        each.level = 0;
    const coverage_report mesh = subsets::compute_coverage(full, now, prices);
    const auto had = preferences(found.subset_sizes);
    const std::vector<change> changes = {
        {"one server more", subsets::count_new_assignments(proxies, now, proxies, plus)},
        {"one server less", subsets::count_new_assignments(proxies, now, proxies, less)},
        {"a tenth of the servers replaced", subsets::count_new_assignments(proxies, now, proxies, tenth)},
        {"one proxy more", subsets::count_new_assignments(proxies, now, one_more, now)}};
    std::vector<index> levels(subsets::max_subset_level + 1);
    for (const auto &each : proxies)
        ++levels[each.level];
    const auto most = [](const auto &values) { return *std::ranges::max_element(values); };
    const auto least = [](const auto &values) { return *std::ranges::min_element(values); };
    if (plot != nullptr)
        draw(*plot, settings, found);
    if (how.as_json) {
        nlohmann::json made = {{"experiment", settings.name},
                               {"dials_an_execution", found.new_connections_per_attempt},
                               {"dials_without", mesh.new_connections_per_attempt},
                               {"levels", levels},
                               {"widths", found.subset_sizes}};
        for (index i = 0; i < servers; ++i)
            made["servers"].push_back({{"id", now[i].id},
                                       {"proxies", found.proxies_per_endpoint[i]},
                                       {"over_fair", found.relative_load[i]},
                                       {"connections", found.idle_connections[i]}});
        for (const auto &each : changes)
            made["moved"][each.name] = each.moved;
        for (const auto &each : proxies) {
            std::vector<std::string> names;
            for (const index id : subsets::selected_endpoints(each, now))
                names.push_back(now[id].id);
            made["proxies"].push_back({{"me", each.proxy_index},
                                       {"rate", each.attempt_rate},
                                       {"level", each.level},
                                       {"uses", names}});
        }
        to << made.dump(2) << '\n';
        return;
    }
    to << std::fixed << std::setprecision(3) << settings.name << ": " << count << " proxies, " << servers
       << " servers, " << rate << " executions a second\n\nlevel  proxies  servers each, about\n";
    for (index level = 0; level < levels.size(); ++level)
        if (levels[level] > 0)
            to << std::setw(5) << level << std::setw(9) << levels[level] << std::setw(10)
               << (servers >> level) << '\n';
    to << "\nby server                    least     most\nproxies that use it " << std::setw(14)
       << least(found.proxies_per_endpoint) << std::setw(9) << most(found.proxies_per_endpoint)
       << "\nload over its fair share" << std::setw(10) << least(found.relative_load) << std::setw(9)
       << most(found.relative_load) << "\nconnections             " << std::setw(10)
       << least(found.idle_connections) << std::setw(9) << most(found.idle_connections)
       << "\nconnections without them" << std::setw(10) << least(mesh.idle_connections) << std::setw(9)
       << most(mesh.idle_connections)
       << "\n\nnew connections an execution, by the model: " << found.new_connections_per_attempt
       << "; without subsets " << mesh.new_connections_per_attempt
       << "\n\na change                          preferences "
       << "that are new, of " << had << '\n';
    for (const auto &each : changes)
        to << std::left << std::setw(34) << each.name << std::right << each.moved << '\n';
}

} // namespace harrierpass::testbed
