// SPDX-License-Identifier: Apache-2.0
#include "subsets/coverage_report.hpp"

#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace harrierpass::subsets {

std::vector<index> selected_endpoints(const coverage_proxy &of,
                                      const std::vector<coverage_endpoint> &servers) {
    std::vector<std::pair<std::uint64_t, index>> nearest;
    for (index i = 0; i < servers.size(); ++i)
        nearest.emplace_back(distance(of.proxy_index, servers[i].id), i);
    std::ranges::sort(nearest);
    std::vector<std::uint64_t> distances;
    std::vector<index> made;
    for (const auto &[away, id] : nearest) {
        distances.push_back(away);
        made.push_back(id);
    }
    made.resize(
        compute_subset_reach(distances, std::vector<double>(distances.size(), 1.0), 1, of.level).wanted);
    return made;
}

coverage_report compute_coverage(const std::vector<coverage_proxy> &proxies,
                                 const std::vector<coverage_endpoint> &servers, const subset_costs &given) {
    coverage_report made{std::vector<index>(servers.size()), std::vector<double>(servers.size()),
                         std::vector<double>(servers.size()), std::vector<index>(proxies.size()), 0};
    double all_rate = 0, all_weight = 0;
    for (const auto &each : servers)
        all_weight += each.weight;
    for (std::size_t i = 0; i < proxies.size(); ++i) {
        const auto mine = selected_endpoints(proxies[i], servers);
        double weight = 0;
        for (const index id : mine)
            weight += servers[id].weight;
        made.subset_sizes[i] = static_cast<index>(mine.size());
        all_rate += proxies[i].attempt_rate;
        for (const index id : mine) {
            const double rate = proxies[i].attempt_rate * servers[id].weight / weight;
            const double gone =
                std::exp(-given.idle_timeout * rate); // no execution for as long as one may rest
            ++made.proxies_per_endpoint[id];
            made.relative_load[id] += rate;
            made.idle_connections[id] += 1 - gone;
            made.new_connections_per_attempt += rate * gone;
        }
    }
    for (std::size_t id = 0; id < servers.size() && all_rate > 0; ++id)
        made.relative_load[id] /= all_rate * servers[id].weight / all_weight;
    made.new_connections_per_attempt /= std::max(1e-9, all_rate);
    return made;
}

std::size_t count_new_assignments(const std::vector<coverage_proxy> &before,
                                  const std::vector<coverage_endpoint> &old_servers,
                                  const std::vector<coverage_proxy> &after,
                                  const std::vector<coverage_endpoint> &servers) {
    std::map<index, std::set<std::string>> had;
    for (const auto &each : before)
        for (const index id : selected_endpoints(each, old_servers))
            had[each.proxy_index].insert(old_servers[id].id);
    std::size_t made = 0;
    for (const auto &each : after)
        for (const index id : selected_endpoints(each, servers))
            made += !had[each.proxy_index].contains(servers[id].id);
    return made;
}

} // namespace harrierpass::subsets
