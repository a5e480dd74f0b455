// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/rule_checker.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iomanip>
#include <limits>
#include <numeric>
#include <sstream>
#include <utility>

namespace harrierpass::testbed {
namespace {

// Seconds after the end of its last client attempt in which an operation may still run at a server.
constexpr double record_lifetime = 30;
constexpr std::size_t max_histories = 5; // further violations in a run add no information
// Seconds after a pause or a link impairment in which a proxy may still respond or send late.
constexpr double catch_up_time = 0.3;

constexpr std::array<const char *, static_cast<std::size_t>(rule::total)> rule_names = {
    "lost", "answered_twice", "two_out", "ran_twice", "drain", "cold", "late", "wrong_body"};

constexpr std::array<const char *, 9> step_names = {"sent to proxy",
                                                    "completed by proxy",
                                                    "rejected by proxy",
                                                    "aborted by proxy",
                                                    "cut by proxy",
                                                    "no response from proxy",
                                                    "attempt received by server",
                                                    "attempt ended at server",
                                                    "effect executed at server"};

// Returns the element at the position; grows the vector if it is too short.
template <typename Value> Value &element_at(std::vector<Value> &values, index position) {
    if (position >= values.size())
        values.resize(position + 1);
    return values[position];
}

} // namespace

const char *name_of(rule broken_rule) {
    return rule_names[static_cast<std::size_t>(broken_rule)];
}

std::uint64_t rule_checker::broken() const {
    return std::accumulate(broken_.begin(), broken_.end(), due_overlaps());
}

std::uint64_t rule_checker::broken(rule broken_rule) const {
    return broken_[static_cast<std::size_t>(broken_rule)] +
           (broken_rule == rule::two_out ? due_overlaps() : 0);
}

std::uint64_t rule_checker::due_overlaps() const {
    const double until = clock_.now() - slack_;
    return static_cast<std::uint64_t>(std::count_if(overlaps_.begin(), overlaps_.end(),
                                                    [&](const overlap &each) { return each.time <= until; }));
}

rule_checker::operation_record *rule_checker::find(operation op) {
    const auto found = records_.find(op);
    return found == records_.end() ? nullptr : &found->second;
}

rule_checker::client_attempt *rule_checker::find(operation_record &record, index attempt) {
    auto &attempts = record.client_attempts;
    const auto found = std::find_if(attempts.begin(), attempts.end(),
                                    [&](const client_attempt &each) { return each.attempt == attempt; });
    return found == attempts.end() ? nullptr : &*found;
}

void rule_checker::record_step(operation_record &record, operation op, step_kind kind, index attempt,
                               index peer) {
    check_overlaps(clock_.now() - slack_);
    record.steps.push_back({clock_.now(), kind, attempt, peer});
    for (const std::uint64_t word :
         {std::bit_cast<std::uint64_t>(clock_.now()), op, static_cast<std::uint64_t>(kind),
          std::uint64_t{attempt}, std::uint64_t{peer}})
        hash_ = (hash_ ^ word) * 1099511628211ULL; // FNV-1a by words
    if (trace != nullptr)
        *trace << std::setprecision(17) << clock_.now() << ' ' << op << '.' << attempt << ' '
               << step_names[static_cast<std::size_t>(kind)] << ' ' << peer << '\n';
}

void rule_checker::request_sent(operation op, index attempt, index proxy, index use_case, double deadline) {
    drop_old_records();
    auto &record = records_[op];
    record.use_case = use_case;
    record.client_attempts.push_back({attempt, proxy, 0, deadline, clock_.now()});
    record_step(record, op, step_kind::request_sent, attempt, proxy);
}

void rule_checker::response_received(operation op, index attempt, reply response, bool body_matches) {
    operation_record *const record = find(op);
    client_attempt *const request = record != nullptr ? find(*record, attempt) : nullptr;
    if (request == nullptr)
        return record_violation(rule::answered_twice, op, "a response to a request that no client sent");
    if (request->response_missing) // the client has closed its connection and receives nothing more
        return;
    record_step(*record, op,
                response == reply::completed  ? step_kind::completed
                : response == reply::rejected ? step_kind::rejected
                : response == reply::aborted  ? step_kind::aborted
                                              : step_kind::cut,
                attempt, request->proxy);
    if (request->answered)
        record_violation(rule::answered_twice, op, "a second response to one request");
    request->answered = true;
    if (response == reply::completed && !body_matches)
        record_violation(rule::wrong_body, op, "the response was made for another request");
    if (response == reply::rejected && record->effects > 0 &&
        experiment_.use_cases[record->use_case].routing.effect == effect_kind::non_idempotent)
        record_violation(rule::ran_twice, op, "rejected after it ran, so that its client may send it again");
}

void rule_checker::response_missing(operation op, index attempt) {
    operation_record *const record = find(op);
    client_attempt *const request = record != nullptr ? find(*record, attempt) : nullptr;
    if (request == nullptr || request->answered)
        return;
    record_step(*record, op, step_kind::no_response, attempt, request->proxy);
    request->answered = request->response_missing = true;
    const index proxy = request->proxy;
    const bool proxy_was_paused = unread_during_pause(*request) > 0 ||
                                  element_at(active_pauses_, proxy) > 0 ||
                                  element_at(paused_until_, proxy) + catch_up_time > request->deadline;
    // A proxy that sent an attempt has read the request, whatever the client observed of the connection.
    const bool forwarded = std::any_of(record->server_attempts.begin(), record->server_attempts.end(),
                                       [&](const server_attempt &each) { return each.attempt == attempt; });
    const bool excused = request->proxy_killed || (request->not_accepted && !forwarded);
    if (!excused && !proxy_was_paused && !link_impaired(link_kind::client_proxy, 0, proxy, request->sent_at))
        record_violation(rule::lost, op, "no response before the client's deadline");
}

void rule_checker::operation_finished(operation op) {
    if (operation_record *const record = find(op)) {
        record->finished = true;
        finished_.emplace_back(clock_.now(), op);
    }
}

void rule_checker::request_not_accepted(operation op, index attempt) {
    if (operation_record *const record = find(op))
        if (client_attempt *const request = find(*record, attempt))
            request->not_accepted = true;
}

void rule_checker::foreign_request_seen(operation op, index attempt, index use_case) {
    operation_record *const known = find(op);
    if (!allow_unknown_requests || (known != nullptr && find(*known, attempt) != nullptr))
        return;
    drop_old_records();
    auto &record = records_[op];
    record.use_case = use_case;
    record.client_attempts.push_back({attempt, 0, 0, std::numeric_limits<double>::infinity(), clock_.now()});
    if (!std::exchange(record.finished, true))
        finished_.emplace_back(clock_.now(), op);
}

void rule_checker::attempt_received(operation op, index attempt, index server, double sent_at) {
    ++executions_;
    if (on_received)
        on_received(server);
    operation_record *const record = find(op);
    client_attempt *const request = record != nullptr ? find(*record, attempt) : nullptr;
    if (request == nullptr) // received after the record of its request was dropped
        return record_violation(rule::late, op, "sent to a server long after its client's deadline");
    const index proxy = request->proxy;
    const bool server_link_impaired = link_impaired(link_kind::proxy_server, proxy, server, sent_at);
    record_step(*record, op, step_kind::attempt_received, attempt, server);
    record->server_attempts.push_back({attempt, server, clock_.now(), server_link_impaired});
    // An impaired link can hide the end of an attempt from its server, while the proxy has ended it.
    if (request->in_flight > 0 &&
        link_impaired(link_kind::proxy_server, proxy, request->latest_server, sent_at))
        request->in_flight = 0;
    request->latest_server = server;
    // An attempt delayed by an impaired link does not overlap either: its proxy may have ended it and sent
    // the next one. A proxy closes the connection of the earlier attempt first, but that server may observe
    // the end shortly after this attempt arrives here.
    if (request->in_flight++ > 0 && !server_link_impaired) {
        overlaps_.push_back({op, attempt, server, clock_.now()});
        if (slack_ <= 0)
            finish();
    }
    // A proxy that was paused or whose link was impaired may send late through no fault of its own.
    const bool delayed_by_fault = element_at(active_pauses_, proxy) > 0 ||
                                  element_at(paused_until_, proxy) + catch_up_time > sent_at ||
                                  server_link_impaired;
    // The deadline reaches the proxy as a duration, so it cannot know how long an impaired link held the
    // request.
    const bool request_delayed = link_impaired(link_kind::client_proxy, 0, proxy, request->sent_at);
    const double unread = unread_during_pause(*request);
    const double deadline_at_proxy = request->deadline + (unread > 0 ? unread + catch_up_time : 0);
    if (sent_at > deadline_at_proxy + slack_ && !delayed_by_fault && !request_delayed &&
        !request->proxy_killed && !request->not_accepted)
        record_violation(rule::late, op, "sent to a server after its client's deadline");
    const auto &notified = element_at(element_at(notified_states_, proxy), server);
    if (notified.state != endpoint_state::ready &&
        sent_at > notified.time + experiment_.list.drain_grace + slack_ && !delayed_by_fault &&
        !link_impaired(link_kind::proxy_list, proxy, 0, sent_at))
        record_violation(rule::drain, op,
                         "sent to server " + std::to_string(server) +
                             " later than the grace after the notification of its " +
                             (notified.state == endpoint_state::removed ? "removal" : "drain"));
}

void rule_checker::check_overlaps(double until) {
    while (!overlaps_.empty() && overlaps_.front().time <= until) {
        const overlap first = overlaps_.front();
        overlaps_.pop_front();
        record_violation(rule::two_out, first.op, "a second attempt while one is in flight");
    }
}

void rule_checker::finish() {
    check_overlaps(std::numeric_limits<double>::infinity());
}

void rule_checker::attempt_ended(operation op, index attempt, index server) {
    operation_record *const record = find(op);
    if (record == nullptr)
        return;
    check_overlaps(clock_.now() - slack_);
    std::erase_if(overlaps_, [&](const overlap &each) {
        return each.op == op && each.attempt == attempt && each.server != server;
    });
    if (client_attempt *const request = find(*record, attempt); request != nullptr && request->in_flight > 0)
        --request->in_flight;
    record_step(*record, op, step_kind::attempt_ended, attempt, server);
}

void rule_checker::effect_executed(operation op, index attempt, index server) {
    ++effects_;
    operation_record *const record = find(op);
    if (record == nullptr)
        return;
    record_step(*record, op, step_kind::effect_executed, attempt, server);
    ++record->effects;
    auto &attempts = record->server_attempts;
    const auto &routing = experiment_.use_cases[record->use_case].routing;
    const auto current = std::find_if(attempts.begin(), attempts.end(), [&](const server_attempt &each) {
        return each.attempt == attempt && each.server == server && !each.executed;
    });
    if (current == attempts.end())
        return record_violation(rule::ran_twice, op, "ran more often than it was sent");
    current->executed = true;
    if (record->effects < 2 || routing.effect == effect_kind::idempotent)
        return;
    if (routing.effect == effect_kind::non_idempotent)
        return record_violation(rule::ran_twice, op, "a non-idempotent operation ran again");
    for (const auto &other : attempts)
        if (other.executed && &other != &*current && !other.link_was_impaired &&
            !current->link_was_impaired &&
            (deduplication_group_of(experiment_, record->use_case, other.server) !=
                 deduplication_group_of(experiment_, record->use_case, server) ||
             std::abs(other.received_at - current->received_at) >= routing.deduplication_window))
            return record_violation(
                rule::ran_twice, op,
                "a deduplicated operation was sent outside its deduplication scope or window");
    ++late_effects_;
}

void rule_checker::server_overloaded(index server) {
    ++broken_[static_cast<std::size_t>(rule::cold)];
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << clock_.now() << " s: rule cold: server " << server
         << " was cold and received more load than its capacity\n";
    if (histories_.size() < max_histories)
        histories_.push_back(text.str());
}

void rule_checker::server_process_died(index server) {
    for (auto &[op, record] : records_)
        for (auto &request : record.client_attempts)
            if (request.in_flight > 0 && request.latest_server == server)
                request.in_flight = 0;
}

void rule_checker::endpoint_state_notified(index proxy, index server, endpoint_state state) {
    auto &notified = element_at(element_at(notified_states_, proxy), server);
    // The drain grace counts from the first notification of a drain or removal.
    if (notified.state == endpoint_state::ready || state == endpoint_state::ready)
        notified = {state, clock_.now()};
    notified.state = state;
}

void rule_checker::proxy_restarted(index proxy, bool killed) {
    for (auto &notified : element_at(notified_states_, proxy)) // the new process has had no notification yet
        notified = {};
    for (auto &[op, record] : records_)
        for (auto &request : record.client_attempts)
            request.proxy_killed = request.proxy_killed || (killed && request.proxy == proxy);
}

void rule_checker::proxy_paused(index proxy, bool begins) {
    auto &pauses = element_at(active_pauses_, proxy);
    if (begins && pauses == 0)
        element_at(paused_since_, proxy) = clock_.now();
    pauses += begins ? 1 : pauses > 0 ? static_cast<index>(-1) : 0;
    element_at(paused_until_, proxy) = clock_.now();
}

void rule_checker::link_fault_changed(link_kind kind, index near, index far, bool begins) {
    auto &link = links_[{kind, near, far}];
    if (begins && !link.active)
        link.since = clock_.now();
    link.active = begins;
    link.until = clock_.now();
    if (begins || kind != link_kind::proxy_list)
        return;
    // Notifications that the list service sent during the impairment reach the proxy now.
    for (auto &notified : element_at(notified_states_, near))
        if (notified.state != endpoint_state::ready && notified.time >= link.since)
            notified.time = clock_.now();
}

double rule_checker::unread_during_pause(const client_attempt &request) {
    const double until = element_at(paused_until_, request.proxy);
    const bool sent_in_pause = request.sent_at >= element_at(paused_since_, request.proxy);
    return sent_in_pause ? std::max(0.0, until - request.sent_at) : 0;
}

bool rule_checker::link_impaired(link_kind kind, index near, index far, double since) const {
    const auto found = links_.find({kind, near, far});
    return found != links_.end() && (found->second.active || found->second.until + catch_up_time > since);
}

void rule_checker::record_violation(rule broken_rule, operation op, const std::string &reason) {
    ++broken_[static_cast<std::size_t>(broken_rule)];
    if (histories_.size() >= max_histories)
        return;
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << clock_.now() << " s: rule " << name_of(broken_rule) << ": "
         << reason << '\n'
         << format_history(op);
    histories_.push_back(text.str());
}

std::string rule_checker::format_history(operation op) const {
    std::ostringstream text;
    text << std::fixed << std::setprecision(4);
    const auto found = records_.find(op);
    if (found == records_.end())
        return "  operation " + std::to_string(op) + ": its record is no longer kept\n";
    const operation_record &record = found->second;
    text << "  operation " << op << ", use case " << experiment_.use_cases[record.use_case].name << '\n';
    auto steps = record.steps;
    std::stable_sort(steps.begin(), steps.end(),
                     [](const step &left, const step &right) { return left.time < right.time; });
    for (const auto &event : steps)
        text << "  " << std::setw(10) << event.time << "  attempt " << event.attempt << "  "
             << step_names[static_cast<std::size_t>(event.kind)] << ' ' << event.peer << '\n';
    for (const auto &request : record.client_attempts)
        text << "  attempt " << request.attempt << " deadline " << request.deadline << '\n';
    return text.str();
}

// Bounds the memory of long runs.
void rule_checker::drop_old_records() {
    while (!finished_.empty() && finished_.front().first + record_lifetime < clock_.now()) {
        records_.erase(finished_.front().second);
        finished_.pop_front();
    }
}

} // namespace harrierpass::testbed
