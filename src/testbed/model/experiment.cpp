// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment.hpp"

#include <algorithm>
#include <cmath>

namespace harrierpass::testbed {
namespace {

constexpr double max_poll_interval = 10; // seconds without a poll after which list changes count as notified
constexpr double stale_share = 0.3;      // share of the servers in a stale list that are gone

} // namespace

index host_of(const experiment &settings, index server) {
    return settings.fleet.hosts > 0 ? server % settings.fleet.hosts : none;
}

index total_server_count(const experiment &settings) {
    const bool stale = settings.proxies.initial_list == initial_list_kind::stale;
    index count =
        settings.fleet.servers + static_cast<index>(stale ? stale_share * settings.fleet.servers : 0);
    for (const auto &fault : settings.faults)
        for (const index server : fault.servers)
            count = std::max(count, server + 1);
    return count;
}

std::vector<bool> late_starting_proxies(const experiment &settings) {
    std::vector<bool> late(settings.proxies.count);
    for (const auto &fault : settings.faults)
        if (fault.kind == fault_kind::proxy_late)
            for (const index proxy : fault.proxies)
                late[proxy] = true;
    return late;
}

double list_response_timeout(const list_service_settings &settings) {
    return std::clamp(settings.drain_grace * 0.25, 0.1, 1.0);
}

discovery::poll_settings list_poll_settings(const experiment &settings) {
    const auto &list = settings.list;
    return {.service = settings.proxies.shared_list ? discovery::list_service_kind::shared
                                                    : discovery::list_service_kind::agent,
            .proxy_count = settings.proxies.count,
            .snapshots_per_second = std::min(1e6, list.workers / std::max(1e-6, list.snapshot_work)),
            .max_poll_interval = max_poll_interval};
}

// Spreads stale lists evenly over the proxies by number, regardless of zone.
bool starts_with_stale_list(const experiment &settings, index proxy) {
    const double share = settings.proxies.stale_list_share;
    return settings.proxies.initial_list == initial_list_kind::stale &&
           std::floor((proxy + 1) * share) > std::floor(proxy * share);
}

bool in_stale_list(const experiment &settings, index server) {
    const auto removed = static_cast<index>(stale_share * settings.fleet.servers);
    return server < settings.fleet.servers - removed ||
           (server >= settings.fleet.servers && server < settings.fleet.servers + removed);
}

bool has_end(const fault_settings &fault) {
    return fault.lasts > 0 && fault.kind != fault_kind::drain && fault.kind != fault_kind::join &&
           fault.kind != fault_kind::proxy_restart && fault.kind != fault_kind::proxy_end &&
           fault.kind != fault_kind::proxy_late && fault.kind != fault_kind::proxy_signals;
}

index zone_of(const experiment &settings, index server) {
    return server % (static_cast<index>(settings.fleet.zones.size()) - settings.fleet.proxy_only_zones);
}

index zone_of_proxy(const experiment &settings, index proxy) {
    return proxy % static_cast<index>(settings.fleet.zones.size());
}

index deduplication_group_of(const experiment &settings, index use_case, index server) {
    const auto scope = settings.use_cases[use_case].routing.scope;
    return scope == deduplication_scope::all    ? 0
           : scope == deduplication_scope::zone ? zone_of(settings, server)
                                                : server;
}

router_settings router_settings_for(const experiment &settings, index proxy) {
    router_settings router;
    for (const auto &use_case : settings.use_cases)
        router.request_classes.push_back(use_case.routing);
    for (const auto &tenant : settings.tenants)
        router.tenant_quotas.push_back(tenant.quota_rps);
    router.over_quota_weight_share = settings.proxies.over_quota_weight_share;
    router.local_zone = zone_index(zone_of_proxy(settings, proxy));
    router.proxy_count = settings.proxies.count;
    router.proxy_index = proxy;
    router.handshake_cost = settings.costs.handshake;
    router.origin_fetch_cost = settings.costs.origin;
    router.upstream_idle_timeout = settings.fleet.idle_timeout;
    router.slow_start = settings.warm_up.routing;
    router.origin_kind = settings.fleet.cache_aside ? kind_index(1) : none;
    router.constraints.may_cancel = settings.proxies.may_cancel;
    router.constraints.may_check_health = settings.proxies.may_check_health;
    router.constraints.watch_required = true;
    // Same rule as the proxy's for a polled list (proxy/configuration.cpp).
    const bool polls_central_service =
        settings.list.form == list_service_kind::central && !settings.proxies.shared_list;
    router.constraints.max_poll_interval =
        polls_central_service ? list_response_timeout(settings.list) : max_poll_interval;
    router.constraints.max_attempts = settings.proxies.max_attempts;
    router.constraints.max_retry_after = settings.proxies.max_retry_after;
    return router;
}

} // namespace harrierpass::testbed
