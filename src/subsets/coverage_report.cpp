// SPDX-License-Identifier: Apache-2.0
#include "subsets/coverage_report.hpp"

#include "subsets/endpoint_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace harrierpass::subsets {

std::vector<index> selected_endpoints(const coverage_proxy &proxy,
                                      const std::vector<coverage_endpoint> &endpoints) {
    std::vector<std::pair<std::uint64_t, index>> ranked;
    for (index i = 0; i < endpoints.size(); ++i)
        ranked.emplace_back(distance(proxy.proxy_index, endpoints[i].id), i);
    std::ranges::sort(ranked);
    std::vector<std::uint64_t> distances;
    std::vector<index> selected;
    for (const auto &[endpoint_distance, endpoint] : ranked) {
        distances.push_back(endpoint_distance);
        selected.push_back(endpoint);
    }
    const std::vector<double> usable_shares(distances.size(), 1.0);
    selected.resize(compute_subset_reach(distances, usable_shares, 1, proxy.level).target_count);
    return selected;
}

coverage_report compute_coverage(const std::vector<coverage_proxy> &proxies,
                                 const std::vector<coverage_endpoint> &endpoints, const subset_costs &costs) {
    coverage_report report{std::vector<index>(endpoints.size()), std::vector<double>(endpoints.size()),
                           std::vector<double>(endpoints.size()), std::vector<index>(proxies.size()), 0};
    double total_rate = 0, total_weight = 0;
    for (const auto &endpoint : endpoints)
        total_weight += endpoint.weight;
    for (std::size_t i = 0; i < proxies.size(); ++i) {
        const auto selected = selected_endpoints(proxies[i], endpoints);
        double selected_weight = 0;
        for (const index id : selected)
            selected_weight += endpoints[id].weight;
        report.subset_sizes[i] = static_cast<index>(selected.size());
        total_rate += proxies[i].attempt_rate;
        for (const index id : selected) {
            const double rate = proxies[i].attempt_rate * endpoints[id].weight / selected_weight;
            // Share of attempts whose connection has reached the idle timeout.
            const double expired_share = std::exp(-costs.idle_timeout * rate);
            ++report.proxies_per_endpoint[id];
            report.relative_load[id] += rate;
            report.idle_connections[id] += 1 - expired_share;
            report.new_connections_per_attempt += rate * expired_share;
        }
    }
    for (std::size_t id = 0; id < endpoints.size() && total_rate > 0; ++id)
        report.relative_load[id] /= total_rate * endpoints[id].weight / total_weight;
    report.new_connections_per_attempt /= std::max(1e-9, total_rate);
    return report;
}

std::size_t count_new_assignments(const std::vector<coverage_proxy> &proxies_before,
                                  const std::vector<coverage_endpoint> &endpoints_before,
                                  const std::vector<coverage_proxy> &proxies_after,
                                  const std::vector<coverage_endpoint> &endpoints_after) {
    std::map<index, std::set<std::string>> assigned_before;
    for (const auto &proxy : proxies_before)
        for (const index id : selected_endpoints(proxy, endpoints_before))
            assigned_before[proxy.proxy_index].insert(endpoints_before[id].id);
    std::size_t count = 0;
    for (const auto &proxy : proxies_after)
        for (const index id : selected_endpoints(proxy, endpoints_after))
            count += !assigned_before[proxy.proxy_index].contains(endpoints_after[id].id);
    return count;
}

} // namespace harrierpass::subsets
