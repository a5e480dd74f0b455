// SPDX-License-Identifier: Apache-2.0
#include "subsets/subset_router.hpp"

#include "subsets/endpoint_selection.hpp"
#include "subsets/traffic_estimator.hpp"

namespace harrierpass::subsets {
namespace {

// Counted per proxy, so that proxies do not change their levels at the same time.
constexpr std::uint64_t requests_per_level_review = 8;
constexpr std::uint64_t timers_per_ejection_review = 4; // timers of the inner router; about 0.2 s

// Forwards every event to the inner router and the inner router's actions to the caller. Reports only the
// endpoints of the subset as ready.
class subset_router final : public router {
public:
    subset_router(const router_settings &settings, std::uint32_t seed, double now)
        : settings_(settings), inner_router_(make_router(settings, seed, now)), selection_(settings) {
        forward_actions(now);
    }

    void on_endpoints_updated(double now, endpoint_update_kind kind,
                              std::span<const endpoint_info> entries) override {
        if (kind != endpoint_update_kind::poll_failed)
            update_selection(now, kind, entries);
        if (kind == endpoint_update_kind::poll_failed || selection_.is_disabled())
            inner_router_->on_endpoints_updated(now, kind, entries);
        else
            inner_router_->on_endpoints_updated(now, kind, selection_.take_list_updates());
        forward_actions(now);
    }

    void on_request(double now, const request_info &request) override {
        traffic_.on_request(now, request.request, settings_.request_classes[request.class_id.value()]);
        const auto attempts_before = attempt_count_;
        inner_router_->on_request(now, request);
        forward_actions(now);
        if (selection_.is_disabled())
            return;
        const bool sent_at_once = attempt_count_ > attempts_before;
        selection_.record_dispatch(sent_at_once);
        if (traffic_.has_enough_samples() && traffic_.request_count() % requests_per_level_review == 0)
            selection_.reconsider_level(now, traffic_);
        if (selection_.needs_selection())
            reconsider_selection(now, sent_at_once ? selection_mode::may_narrow : selection_mode::widen_only);
    }

    void on_attempt_finished(double now, request_index request, attempt_number attempt, outcome result,
                             bool is_final, bool fetched, const load_report &report) override {
        traffic_.on_attempt_finished(now, request, attempt, result == outcome::completed, fetched);
        inner_router_->on_attempt_finished(now, request, attempt, result, is_final, fetched, report);
        forward_actions(now);
    }

    void on_response_started(double now, request_index request, bool fetched) override {
        inner_router_->on_response_started(now, request, fetched);
        forward_actions(now);
    }

    void on_response_paused(double now, request_index request) override {
        inner_router_->on_response_paused(now, request);
        forward_actions(now);
    }

    void on_request_body_sent(double now, request_index request, double deadline) override {
        inner_router_->on_request_body_sent(now, request, deadline);
        forward_actions(now);
    }

    void on_client_disconnected(double now, request_index request) override {
        inner_router_->on_client_disconnected(now, request);
        forward_actions(now);
    }

    void on_health_check_finished(double now, endpoint_index endpoint, bool answered,
                                  const load_report &report) override {
        inner_router_->on_health_check_finished(now, endpoint, answered, report);
        forward_actions(now);
    }

    void on_timer(double now) override {
        inner_router_->on_timer(now);
        forward_actions(now);
        if (++timer_count_ % timers_per_ejection_review == 0)
            reconsider_selection(now, selection_mode::widen_only);
    }

    void update_settings(double now, const router_settings &settings) override {
        settings_ = settings;
        selection_.update_settings(settings);
        inner_router_->update_settings(now, settings);
        forward_actions(now);
    }

    double attempt_write_deadline(request_index request) const override {
        return inner_router_->attempt_write_deadline(request);
    }

    bool may_retry(double now, request_index request) const override {
        return inner_router_->may_retry(now, request);
    }

    // The ejection of an endpoint outside the subset does not count, as its health is no longer checked.
    bool avoids_endpoint(endpoint_index endpoint) const override {
        return selection_.is_selected(endpoint) && inner_router_->avoids_endpoint(endpoint);
    }

    bool is_ejected(endpoint_index endpoint) const override { return inner_router_->is_ejected(endpoint); }

    subset_view subset() const override { return selection_.view(); }

private:
    // Applies an endpoint list to the selection.
    void update_selection(double now, endpoint_update_kind kind, std::span<const endpoint_info> entries) {
        if (is_snapshot(kind))
            selection_.begin_snapshot();
        for (const auto &entry : entries)
            selection_.record_endpoint(entry);
        selection_.rank_endpoints();
        if (!selection_.is_disabled() && !traffic_.has_enough_samples())
            selection_.use_initial_level();
        selection_.select_endpoints(now, selection_mode::widen_only, traffic_, *inner_router_);
        if (selection_.is_disabled())
            selection_.discard_updates();
    }

    // Updates the selection between two endpoint lists. Reports only changed endpoints to the inner router,
    // as it rebuilds its ring after each report. The kind of the update is local, so that it does not count
    // as a response of the discovery service.
    void reconsider_selection(double now, selection_mode mode) {
        if (selection_.is_disabled())
            return;
        selection_.select_endpoints(now, mode, traffic_, *inner_router_);
        const std::vector<endpoint_info> changes = selection_.take_selection_changes();
        if (changes.empty())
            return;
        inner_router_->on_endpoints_updated(now, endpoint_update_kind::local, changes);
        forward_actions(now);
    }

    // Moves the inner router's actions to this router's and records their attempts in the traffic estimate.
    void forward_actions(double now) {
        for (const auto &forwarded : inner_router_->actions) {
            if (forwarded.kind == action_kind::start_attempt) {
                traffic_.on_attempt_started(now, forwarded.request, forwarded.endpoint);
                ++attempt_count_;
            } else if (forwarded.kind == action_kind::release_request) {
                traffic_.on_request_released(forwarded.request);
            }
            actions.push_back(forwarded);
        }
        inner_router_->actions.clear();
    }

    router_settings settings_;
    std::unique_ptr<router> inner_router_;
    endpoint_selection selection_;
    traffic_estimator traffic_;
    std::uint64_t timer_count_ = 0;
    std::uint64_t attempt_count_ = 0; // started attempts
};

} // namespace

std::unique_ptr<router> make_subset_router(const router_settings &settings, std::uint32_t seed, double now) {
    return std::make_unique<subset_router>(settings, seed, now);
}

} // namespace harrierpass::subsets
