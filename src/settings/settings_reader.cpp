// SPDX-License-Identifier: Apache-2.0
#include "settings/settings_reader.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace harrierpass {
namespace {

using std::string_view;

// Bounds of settings. A value beyond them is assumed to be in a wrong unit.
constexpr double max_duration = 86400;          // in seconds
constexpr double max_cost = 100;                // in units of a response's value
constexpr double max_weight = 1e9;              // weight of a request class
constexpr double max_quota = 1e9;               // requests per second
constexpr double max_event_batch_interval = 1;  // in seconds
constexpr double min_latency_objective = 0.001; // in seconds; with 0, every response would be late

// Names of enumerators in the settings format.
constexpr std::array<std::pair<string_view, effect_kind>, 3> effect_setting_names = {
    {{"idempotent", effect_kind::idempotent},
     {"deduplicated", effect_kind::deduplicated},
     {"at_most_once", effect_kind::non_idempotent}}};
constexpr std::array<std::pair<string_view, deduplication_scope>, 3> scope_setting_names = {
    {{"all", deduplication_scope::all},
     {"zone", deduplication_scope::zone},
     {"cell", deduplication_scope::cell}}};

request_class read_request_class(const field_reader &fields, const std::string &prefix) {
    request_class result;
    result.effect = fields.kind(prefix + "effect", effect_setting_names, effect_kind::non_idempotent);
    result.scope = fields.kind(prefix + "group", scope_setting_names, deduplication_scope::cell);
    result.deduplication_window = fields.seconds_within(prefix + "windowMs", 0, 0, max_duration);
    result.latency_objective =
        std::max(min_latency_objective, fields.seconds_within(prefix + "sloTimeMs", 1, 0, max_duration));
    result.priority_weight = fields.number_within(prefix + "importance", 1, 0, max_weight);
    result.late_value_share = fields.number_within(prefix + "tardyImportance", 0, 0, 1);
    return result;
}

std::vector<request_class> read_request_classes(const field_reader &fields) {
    std::vector<request_class> classes;
    const index count = fields.count("useCases.count", 0);
    for (index i = 0; i < count; ++i)
        classes.push_back(read_request_class(fields, "useCases." + std::to_string(i) + "."));
    if (classes.empty())
        throw parse_error(parse_fault::missing, {.path = "useCases", .offset = {}},
                          "settings without use cases");
    return classes;
}

std::vector<double> read_tenant_quotas(const field_reader &fields) {
    std::vector<double> quotas;
    const index count = fields.count("tenants.count", 0);
    for (index i = 0; i < count; ++i)
        quotas.push_back(fields.number_within("tenants." + std::to_string(i) + ".quotaRps", 0, 0, max_quota));
    return quotas;
}

deployment_constraints read_constraints(const field_reader &fields) {
    deployment_constraints result;
    result.weights_are_dynamic = fields.choice("weights", {"off", "nominal", "rough", "live"}) == "live";
    result.max_poll_interval =
        fields.seconds_within("rules.mustAskInMs", result.max_poll_interval, 0, max_duration);
    result.removal_is_advisory = fields.flag("rules.drainBindsAlone");
    result.watch_required = fields.choice("discovery", {"automatic", "subscribe"}) == "subscribe";
    result.may_cancel = fields.flag("limits.cancel");
    result.may_check_health = fields.flag("limits.probes");
    if (fields.flag("limits.retryAfter"))
        result.max_retry_after = fields.seconds_within("limits.maxRetryAfterMs", 0, 0, max_duration);
    result.max_attempts = fields.count("limits.maxExecutions", 1);
    return result;
}

slow_start_settings read_slow_start(const field_reader &fields) {
    slow_start_settings result;
    result.initial_capacity_share = fields.number_within("rules.startCapacity", 1, 0, 1);
    result.warm_up_time = fields.seconds_within("rules.coldMs", 0, 0, max_duration);
    return result;
}

// Returns the kind of the origin entry in the endpoint list; none if endpoints fetch from the origin
// themselves.
kind_index read_origin_kind(const field_reader &fields) {
    const bool proxies_fetch = fields.choice("familyInfo.mode", {"through", "aside"}) == "aside";
    return proxies_fetch ? kind_index(fields.count("familyInfo.originKind", none)) : none;
}

} // namespace

router_settings read_router_settings(const field_reader &fields) {
    router_settings result;
    result.request_classes = read_request_classes(fields);
    result.tenant_quotas = read_tenant_quotas(fields);
    result.over_quota_weight_share = fields.number_within("excessImportance", 1, 0, 1);
    result.local_zone = zone_index(fields.count("locality", none));
    result.cross_zone_cost = fields.number_within("fees.crossZone", 0, 0, max_cost);
    result.origin_fetch_cost = fields.number_within("fees.origin", 0, 0, max_cost);
    result.proxy_index = fields.count("me", none);
    result.handshake_cost = fields.number_within("fees.handshake", 0, 0, max_cost);
    result.upstream_idle_timeout = std::clamp(fields.seconds("limits.connIdleMs", 0), 0.0, max_duration);
    result.proxy_count = std::max<index>(1, fields.count("peersTotal", 1));
    result.origin_kind = read_origin_kind(fields);
    result.constraints = read_constraints(fields);
    result.event_batch_interval = fields.seconds_within("tickMs", 0.005, 0, max_event_batch_interval);
    result.slow_start = read_slow_start(fields);
    return result;
}

} // namespace harrierpass
