// SPDX-License-Identifier: Apache-2.0
#include "settings/settings_reader.hpp"

#include <algorithm>
#include <sstream>

namespace harrierpass {

using std::string_view;

string_view field_reader::text(const std::string &path) const {
    const auto found = values_.find(path);
    return found == values_.end() ? string_view{} : string_view(found->second);
}

namespace {

// Bounds of what a deployment may ask for; beyond them a unit was taken for another one.
constexpr double longest = 86400;  // s
constexpr double most_price = 100; // of an answer's worth

} // namespace

double field_reader::number(const std::string &path, double absent) const {
    const string_view value = text(path);
    if (value.empty() || value == "-")
        return absent;
    return parse_number<double>(value, ("settings." + path + " is no number").c_str());
}

index field_reader::count(const std::string &path, index absent) const {
    if (text(path).empty())
        return absent;
    const double value = number(path, absent);
    if (value > 65536) // more of anything than any deployment lists
        throw parse_error{"a count is too large"};
    return value < 0 ? none : static_cast<index>(value);
}

double field_reader::number_within(const std::string &path, double absent, double least, double most) const {
    const double value = number(path, absent);
    if (value < least || value > most) {
        std::ostringstream why;
        why << "settings." << path << " is " << value << ", not from " << least << " to " << most;
        throw parse_error{why.str()};
    }
    return value;
}

string_view field_reader::choice(const std::string &path, std::initializer_list<string_view> those) const {
    const string_view value = text(path);
    if (!value.empty() && std::ranges::find(those, value) == those.end())
        throw parse_error{"settings." + path + " is '" + std::string(value) + "', which is not known"};
    return value;
}

field_reader read_fields(string_view text) {
    field_reader made;
    while (!text.empty()) {
        const auto space = text.find(' ');
        const string_view pair = text.substr(0, space);
        const auto equals = pair.find('=');
        if (equals == string_view::npos)
            throw parse_error{"a setting without '='"};
        made.set(std::string(pair.substr(0, equals)), pair.substr(equals + 1));
        text = space == string_view::npos ? string_view{} : text.substr(space + 1);
    }
    return made;
}

router_settings read_router_settings(const field_reader &given) {
    router_settings to;
    for (index i = 0; i < given.count("useCases.count", 0); ++i) {
        const std::string at = "useCases." + std::to_string(i) + ".";
        request_class use;
        const string_view effect =
            given.choice(at + "effect", {"idempotent", "deduplicated", "at_most_once"});
        const string_view group = given.choice(at + "group", {"all", "zone", "cell"});
        use.effect = effect == "idempotent"     ? effect_kind::idempotent
                     : effect == "deduplicated" ? effect_kind::deduplicated
                                                : effect_kind::non_idempotent;
        use.scope = group == "all"    ? deduplication_scope::all
                    : group == "zone" ? deduplication_scope::zone
                                      : deduplication_scope::cell;
        use.deduplication_window = given.seconds_within(at + "windowMs", 0, 0, longest);
        use.latency_objective = std::max(0.001, given.seconds_within(at + "sloTimeMs", 1, 0, longest));
        use.priority_weight = given.number_within(at + "importance", 1, 0, 1e9);
        use.late_value_share = given.number_within(at + "tardyImportance", 0, 0, 1);
        to.request_classes.push_back(use);
    }
    if (to.request_classes.empty())
        throw parse_error{"settings without use cases"};
    for (index i = 0; i < given.count("tenants.count", 0); ++i)
        to.tenant_quotas.push_back(
            given.number_within("tenants." + std::to_string(i) + ".quotaRps", 0, 0, 1e9));
    to.over_quota_weight_share = given.number_within("excessImportance", 1, 0, 1);
    to.local_zone = given.count("locality", none);
    to.cross_zone_cost = given.number_within("fees.crossZone", 0, 0, most_price);
    to.origin_fetch_cost = given.number_within("fees.origin", 0, 0, most_price);
    to.proxy_index = given.count("me", none);
    to.handshake_cost = given.number_within("fees.handshake", 0, 0, most_price);
    to.upstream_idle_timeout = std::clamp(given.seconds("limits.connIdleMs", 0), 0.0, longest);
    to.proxy_count = std::max<index>(1, given.count("peersTotal", 1));
    to.origin_kind = given.choice("familyInfo.mode", {"through", "aside"}) == "aside"
                         ? given.count("familyInfo.originKind", none)
                         : none;
    to.constraints.weights_are_dynamic =
        given.choice("weights", {"off", "nominal", "rough", "live"}) == "live";
    to.constraints.max_poll_interval =
        given.seconds_within("rules.mustAskInMs", to.constraints.max_poll_interval, 0, longest);
    to.constraints.removal_is_advisory = given.flag("rules.drainBindsAlone");
    to.constraints.watch_required = given.choice("discovery", {"automatic", "subscribe"}) == "subscribe";
    to.constraints.may_cancel = given.flag("limits.cancel");
    to.constraints.may_check_health = given.flag("limits.probes");
    if (given.flag("limits.retryAfter"))
        to.constraints.max_retry_after = given.seconds_within("limits.maxRetryAfterMs", 0, 0, longest);
    to.constraints.max_attempts = given.count("limits.maxExecutions", 1);
    to.event_batch_interval = given.seconds_within("tickMs", 0.005, 0, 1);
    to.slow_start.initial_capacity_share = given.number_within("rules.startCapacity", 1, 0, 1);
    to.slow_start.warm_up_time = given.seconds_within("rules.coldMs", 0, 0, longest);
    return to;
}

} // namespace harrierpass
