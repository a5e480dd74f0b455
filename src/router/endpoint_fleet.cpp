// SPDX-License-Identifier: Apache-2.0
#include "router/endpoint_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace harrierpass {
namespace {

std::vector<double> sorted_latency_objectives(const router_settings &settings) {
    std::vector<double> objectives;
    for (const auto &class_settings : settings.request_classes)
        objectives.push_back(class_settings.latency_objective);
    std::ranges::sort(objectives);
    return objectives;
}

double median_latency_objective(const router_settings &settings) {
    const auto objectives = sorted_latency_objectives(settings);
    return objectives[(objectives.size() - 1) / 2];
}

// Half the target response time of an endpoint.
double initial_response_time(const router_settings &settings) {
    const double minimum_silence = median_latency_objective(settings) * minimum_silence_share;
    return minimum_silence / minimum_silence_share * endpoint_latency_share / 2;
}

} // namespace

endpoint_fleet::endpoint_fleet(const router_settings &settings)
    : limits_(settings.proxy_count, initial_response_time(settings)) {
    configure(settings);
}

void endpoint_fleet::configure(const router_settings &settings) {
    constraints_ = settings.constraints;
    proxy_count_ = settings.proxy_count;
    shortest_latency_objective_ = sorted_latency_objectives(settings).front();
    table_.set_origin_kind(settings.origin_kind);
    slow_start_.configure(settings.slow_start);
    outliers_.configure(median_latency_objective(settings));
    limits_.configure(proxy_count_, settings.local_zone);
}

void endpoint_fleet::update_settings(const router_settings &settings) {
    configure(settings);
    for (endpoint_index endpoint{0}; endpoint < table_.end_index(); ++endpoint)
        table_[endpoint].limit.set_proxy_count(proxy_count_);
}

// ---- Updates of the endpoint list

std::vector<endpoint_index> endpoint_fleet::update(endpoint_update_kind kind,
                                                   std::span<const endpoint_info> entries, double now) {
    std::vector<endpoint_index> ready_before;
    if (constraints_.removal_is_advisory)
        ready_before = table_.ready_cache_endpoints();
    if (is_snapshot(kind))
        table_.mark_all_removed();
    for (const auto &entry : entries)
        update_entry(entry, is_snapshot(kind), now);
    std::vector<endpoint_index> ejected_after_silence;
    for (const endpoint_index endpoint : ready_before)
        if (table_[endpoint].info.state == endpoint_state::removed && retain_removed(endpoint, now))
            ejected_after_silence.push_back(endpoint);
    table_.update_origin();
    update_ring();
    refresh(now);
    return ejected_after_silence;
}

void endpoint_fleet::update_entry(const endpoint_info &entry, bool in_snapshot, double now) {
    auto &endpoint = table_.find_or_create(entry.endpoint);
    const bool is_new = endpoint.id != entry.id;
    if (is_new) {
        endpoint = endpoint_table::make_record(entry, adaptive_limit::for_endpoint(proxy_count_), now);
        ring_.reset(entry.endpoint);
    }
    const bool restarted = entry.started_at > endpoint.info.started_at;
    endpoint.info = entry;
    endpoint.info.id = {};
    endpoint.removed_without_drain = endpoint.removed_without_drain && entry.state == endpoint_state::removed;
    endpoint.virtual_nodes = virtual_nodes_for_weight(constraints_.weights_are_dynamic ? 1 : entry.weight);
    // Endpoints in the first snapshot may have been running for a long time.
    const bool has_started = restarted || (is_new && (!in_snapshot || !members_.empty()));
    if (table_.is_origin(endpoint) || !has_started || !slow_start_.is_recent(entry.started_at, now))
        return;
    apply_event(entry.endpoint, health_event::restarted, now);
    endpoint.warm_up_started_at = slow_start::warm_up_start(entry.started_at, now);
}

// An endpoint that was removed from the list without a drain may still be running. It remains a member as
// ejected, and starts to warm up when it responds to a health check.
bool endpoint_fleet::retain_removed(endpoint_index endpoint, double now) {
    auto &record = table_[endpoint];
    record.info.state = endpoint_state::ready;
    if (std::exchange(record.removed_without_drain, true))
        return false;
    const bool ejected_after_silence = record.health != endpoint_health::ejected &&
                                       apply_event(endpoint, health_event::failure_detected, now);
    record.outlier.expect_restart();
    return ejected_after_silence;
}

void endpoint_fleet::update_ring() {
    members_.clear();
    std::vector<ring_member> ring_members;
    for (endpoint_index endpoint{0}; endpoint < table_.end_index(); ++endpoint) {
        auto &record = table_[endpoint];
        if (record.info.state == endpoint_state::ready && !table_.is_origin(record))
            members_.push_back(endpoint);
        else
            record.virtual_nodes = 0;
        ring_members.push_back({record.id, record.virtual_nodes});
    }
    ring_.update(ring_members);
}

void endpoint_fleet::refresh(double now) {
    // Endpoints that the list no longer has are ejected for that reason, which does not indicate a shared
    // cause.
    std::size_t listed = 0, ejected = 0;
    for (const endpoint_index endpoint : members_) {
        const auto &record = table_[endpoint];
        listed += !record.removed_without_drain;
        ejected += !record.removed_without_drain && record.health == endpoint_health::ejected;
    }
    is_mass_ejection_ = outlier_detection::is_mass_ejection(ejected, listed);
    usable_count_ = 0;
    double warm_endpoints = 0;
    for (const endpoint_index endpoint : members_) {
        auto &record = table_[endpoint];
        const double warm_up_progress = progress(record, now);
        record.active_virtual_nodes =
            static_cast<std::uint32_t>(std::ceil(record.virtual_nodes * warm_up_progress));
        if (is_avoided(record))
            continue;
        ++usable_count_;
        warm_endpoints += warm_up_progress;
    }
    usable_count_ = std::max<std::uint32_t>(1, usable_count_);
    limits_.set_warm_endpoints(warm_endpoints);
}

// ---- Health

bool endpoint_fleet::apply_event(endpoint_index endpoint, health_event event, double now) {
    auto &record = table_[endpoint];
    const bool was_ejected = record.health == endpoint_health::ejected;
    apply_health_event(record, event, now, limits_.mean_response_time());
    return !was_ejected && record.health == endpoint_health::ejected &&
           outlier_detection::should_cancel_attempts(record.silence, limits_.mean_response_time());
}

bool endpoint_fleet::update_health(const attempt_result &result, bool is_failure, double now) {
    auto &record = table_[result.endpoint];
    bool ejected_after_silence = false;
    if (result.endpoint == table_.origin()) {
        record.outlier.clear_failure_rate(); // there is no other origin
        return false;
    }
    if (record.health == endpoint_health::ejected && is_endpoint_response(result.result) &&
        result.result != outcome::overloaded) {
        const bool restarted =
            record.outlier.has_failed_health_check() && result.started_at > record.outlier.ejected_at();
        apply_event(result.endpoint, restarted ? health_event::restarted : health_event::responded, now);
    } else if (record.outlier.exceeds_failure_limit() && is_failure &&
               result.started_at >= record.outlier.ejected_at()) {
        ejected_after_silence = apply_event(result.endpoint, health_event::failure_detected, now);
    } else {
        return false;
    }
    refresh(now);
    return ejected_after_silence;
}

void endpoint_fleet::on_health_check_finished(endpoint_index endpoint, bool responded,
                                              const load_report &report, double now) {
    auto &record = table_[endpoint];
    reports_.record(record.load, report, table_.is_origin(record), now);
    if (record.health != endpoint_health::ejected)
        return;
    if (!responded)
        apply_event(endpoint, health_event::failure_detected, now);
    else
        apply_event(endpoint,
                    record.outlier.has_failed_health_check() ? health_event::restarted
                                                             : health_event::responded,
                    now);
    refresh(now);
}

bool endpoint_fleet::check_member(endpoint_index endpoint, double pause, double now) {
    auto &record = table_[endpoint];
    record.silence.skip_pause(pause, now);
    record.silence.advance(record.awaiting_response(), now);
    bool ejected_after_silence = false;
    if (record.health != endpoint_health::ejected &&
        outliers_.is_silent(record.silence, limits_.mean_response_time()))
        ejected_after_silence = apply_event(endpoint, health_event::failure_detected, now);
    if (record.health == endpoint_health::warming_up && progress(record, now) >= 1)
        apply_event(endpoint, health_event::warm_up_finished, now);
    return ejected_after_silence;
}

bool endpoint_fleet::claim_due_health_check(endpoint_index endpoint, double now) {
    auto &record = table_[endpoint];
    if (record.health != endpoint_health::ejected || !constraints_.may_check_health ||
        !record.outlier.is_health_check_due(now))
        return false;
    record.outlier.schedule_health_check(now);
    return true;
}

// ---- Results of attempts

bool endpoint_fleet::record_result(const attempt_result &result, const load_report &report, double now,
                                   random_source &random) {
    auto &record = table_[result.endpoint];
    const bool is_origin = result.endpoint == table_.origin();
    const double elapsed = now - result.started_at;
    const double latency_share = elapsed / result.latency_objective;
    record.silence.advance(record.awaiting_response(), now);
    reports_.record(record.load, report, table_.is_origin(record), now);
    if (is_endpoint_response(result.result))
        record.silence.reset();
    const bool is_failure = outliers_.record_attempt(record.outlier, result.result);
    const bool overloaded = result.result == outcome::overloaded;
    if (result.was_in_flight &&
        (result.result == outcome::completed || result.result == outcome::cache_miss)) {
        limits_.record_response_time(elapsed);
        record.backoff.on_response();
        // Requests of all classes queue at the origin together, so the shortest objective applies to it.
        record_latency(record, result.started_at,
                       is_origin ? elapsed / shortest_latency_objective_ : latency_share,
                       result.includes_fetch, now);
    } else if (is_origin && (overloaded || result.result == outcome::connect_error)) {
        record.overloaded_until = record.backoff.on_rejection(
            result.started_at, now, limits_.mean_response_time(), random.fraction());
        record_latency(record, result.started_at, 1, false, now);
    } else if (overloaded) {
        record.overloaded_until = now + limits_.mean_response_time();
    } else if (result.result == outcome::timed_out && record.silence.attempt_time() >= elapsed &&
               latency_share > record.limit.mean_latency_share()) {
        record_latency(record, result.started_at, latency_share, false, now);
    }
    return is_failure;
}

void endpoint_fleet::record_response_start(const attempt_result &result, double now) {
    auto &record = table_[result.endpoint];
    record.silence.reset();
    record_latency(record, result.started_at, (now - result.started_at) / result.latency_objective,
                   result.includes_fetch, now);
}

void endpoint_fleet::record_latency(endpoint_record &endpoint, double started_at, double latency_share,
                                    bool includes_fetch, double now) {
    const bool at_limit = endpoint.in_flight + 1 > endpoint.limit.limit();
    const latency_sample sample = {started_at, latency_share, at_limit, endpoint.in_flight};
    if (table_.is_origin(endpoint))
        return record_origin_latency(endpoint, sample, now);
    const bool fleet_at_limit = table_.fleet_in_flight() + 1 > capacity();
    // The latency of a response with an origin fetch indicates little about the endpoint itself.
    if (!includes_fetch)
        endpoint.limit.record({started_at, latency_share, at_limit || fleet_at_limit, endpoint.in_flight},
                              now);
    // A timeout after a silence indicates nothing about the other endpoints.
    if (endpoint.health == endpoint_health::healthy && endpoint.silence.attempt_time() <= 0)
        limits_.record_fleet_sample({started_at, latency_share, fleet_at_limit, table_.fleet_in_flight()},
                                    endpoint.info.zone, includes_fetch, now);
}

// If the origin is slow at its minimum limit, outside its backoff and without much load from other proxies,
// its latency is not caused by load. The baseline then keeps the limit from being lowered.
void endpoint_fleet::record_origin_latency(endpoint_record &origin, const latency_sample &sample,
                                           double now) {
    const bool without_load = origin.limit.is_at_minimum() && now >= origin.overloaded_until &&
                              !origin_reports_overload(origin.load.in_flight);
    origin.limit.update_baseline(without_load);
    origin.limit.record(sample, now);
}

// ---- Capacity

bool endpoint_fleet::is_avoided(const endpoint_record &endpoint) const {
    return endpoint.health == endpoint_health::ejected &&
           (!is_mass_ejection_ || endpoint.removed_without_drain);
}

bool endpoint_fleet::has_capacity(const endpoint_record &endpoint, double admission_draw, double now) const {
    const double recovered =
        table_.is_origin(endpoint) ? recovered_origin_limit(endpoint.limit, endpoint.load.in_flight, now) : 0;
    const double limit =
        std::max(endpoint.limit.limit(), recovered) * slow_start::limit_share(progress(endpoint, now));
    return endpoint.in_flight + admission_draw < limit && now >= endpoint.overloaded_until;
}

double endpoint_fleet::estimated_load(const endpoint_record &endpoint, double now) const {
    return reports_.estimate(endpoint.load, now) / progress(endpoint, now);
}

double endpoint_fleet::progress(const endpoint_record &endpoint, double now) const {
    if (endpoint.health != endpoint_health::warming_up)
        return 1;
    return slow_start_.progress(endpoint.warm_up_started_at, now);
}

} // namespace harrierpass
