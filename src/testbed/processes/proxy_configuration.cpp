// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/proxy_configuration.hpp"

#include "testbed/processes/list_port.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace harrierpass::testbed {
namespace {

using nlohmann::json;

constexpr int event_batch_interval = 5;  // ms
constexpr int max_poll_interval = 10000; // ms
constexpr double milliseconds = 1000;    // in a second

json request_classes(const experiment &given) {
    static constexpr std::array<const char *, 3> effects = {"idempotent", "deduplicated", "at_most_once"};
    static constexpr std::array<const char *, 3> groups = {"all", "zone", "cell"};
    json made = json::array();
    for (const auto &each : given.use_cases)
        made.push_back({{"name", each.name},
                        {"effect", effects[static_cast<std::size_t>(each.routing.effect)]},
                        {"group", groups[static_cast<std::size_t>(each.routing.scope)]},
                        {"windowMs", each.routing.deduplication_window * milliseconds},
                        {"sloTimeMs", each.routing.latency_objective * milliseconds},
                        {"statementTimeoutMs", each.timeout * milliseconds},
                        {"importance", each.routing.priority_weight},
                        {"tardyImportance", each.routing.late_value_share}});
    return made;
}

json tenants(const experiment &given) {
    json made = json::array();
    for (const auto &each : given.tenants)
        made.push_back({{"name", each.name}, {"quotaRps", each.quota_rps}});
    return made;
}

json router_limits(const experiment &given) {
    return {{"cancel", given.proxies.may_cancel},
            {"probes", given.proxies.may_check_health},
            {"retryAfter", given.proxies.max_retry_after > 0},
            {"maxRetryAfterMs", given.proxies.max_retry_after * milliseconds},
            {"maxExecutions", given.proxies.max_attempts},
            {"secondCopies", false},
            {"dialTimeoutMs", given.network.connect_timeout * milliseconds},
            {"connIdleMs", given.fleet.idle_timeout * milliseconds}};
}

json router_rules(const experiment &given) {
    return {{"startCapacity", given.warm_up.routing.initial_capacity_share},
            {"coldMs", given.warm_up.routing.warm_up_time * milliseconds},
            {"drainGraceMs", given.list.drain_grace * milliseconds},
            {"mustAskInMs", max_poll_interval}};
}

json router_settings_of(const experiment &given, index proxy) {
    json made = {
        {"peersTotal", given.proxies.count},
        {"me", proxy},
        {"tickMs", event_batch_interval},
        {"locality", zone_of_proxy(given, proxy)},
        {"zones", given.fleet.zones},
        {"shapes", {"cache", "origin"}},
        {"weights", "nominal"},
        {"limits", router_limits(given)},
        {"rules", router_rules(given)},
        {"fees", {{"crossZone", 0.0}, {"origin", given.costs.origin}, {"handshake", given.costs.handshake}}},
        {"excessImportance", given.proxies.over_quota_weight_share},
        {"tenants", tenants(given)},
        {"useCases", request_classes(given)}};
    if (given.fleet.cache_aside)
        made["familyInfo"] = {{"mode", "aside"}, {"originKind", 1}};
    return made;
}

// The endpoints that a proxy is told to start with.
json known_endpoints(const experiment &given, index proxy, const membership &list,
                     const proxy_environment &environment) {
    const index origin = total_server_count(given);
    json members = json::array();
    for (const auto &each : list.initial_members_of(given, proxy))
        members.push_back(json::parse(
            list_port::entry(given, each, each.server == origin, environment.server_address(each.server))));
    return {{"revision", starts_with_stale_list(given, proxy) ? 0 : list.revision()},
            {"complete", true},
            {"members", members}};
}

} // namespace

std::string proxy_configuration(const experiment &given, index proxy, std::uint32_t seed,
                                const membership &list, const proxy_environment &environment) {
    std::ostringstream hexadecimal;
    hexadecimal << std::hex << seed;
    json made = {
        {"name", "p" + std::to_string(proxy)},
        {"listen", environment.listen},
        {"discovery", environment.list_service},
        {"seed", hexadecimal.str()},
        {"limits",
         {{"cores", 1.0}, {"memory_mb", given.proxies.memory_mb}, {"sockets", given.proxies.sockets}}},
        {"settings", router_settings_of(given, proxy)}};
    if (given.proxies.may_exchange_datagrams) {
        made["peer_listen"] = environment.peer_listen;
        made["peers"] = environment.peers;
        made["peers_all"] = environment.all_peers;
    }
    if (given.proxies.initial_list != initial_list_kind::none)
        made["known"] = known_endpoints(given, proxy, list, environment);
    if (given.proxies.shared_list)
        made["startup"] = {{"list_service", "shared"},
                           {"lists_per_s", list_poll_settings(given).snapshots_per_second}};
    if (given.proxies.snapshots)
        made["startup"]["snapshot"] = environment.folder + "/p" + std::to_string(proxy) + ".list";
    return made.dump(2) + "\n";
}

} // namespace harrierpass::testbed
