// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/virtual_proxy.hpp"

#include "testbed/model/ids.hpp"

#include <algorithm>

namespace harrierpass::testbed {
namespace {

constexpr double list_response_limit = 1;    // s for discovery to answer
constexpr double health_check_timeout = 0.5; // s for a server's answer to a probe
constexpr double start_time = 0.05;          // s from a proxy's start to its first list
constexpr double deadline_margin = 0.01; // s after the client's end; the router gives its final answer before
constexpr double sweep_period = 0.5;     // s between looks for connections that have rested too long
constexpr double watch_wait = 1;         // s, as proxy/settings.cpp has it where calls cost nothing
constexpr double list_entry_size = 165, response_size = 150;   // of a list's entry; of an answer without any
constexpr double max_stop_time = 3, stop_poll_interval = 0.05; // s that a planned end may take; between looks
constexpr index violation_period = 50; // every so many chances a planted fault is done

} // namespace

void proxy_counts::add(const proxy_counts &that) {
    sent += that.sent;
    completed += that.completed;
    rejected += that.rejected;
    aborted += that.aborted;
    canceled += that.canceled;
    timed_out += that.timed_out;
    resets += that.resets;
    connect_errors += that.connect_errors;
    errors += that.errors;
    overloaded += that.overloaded;
    health_checks += that.health_checks;
    health_checks_failed += that.health_checks_failed;
    false_canceled += that.false_canceled;
    false_health_checks += that.false_health_checks;
    faults_found += that.faults_found;
    polls_failed += that.polls_failed;
    detection_time.add(that.detection_time);
}

virtual_proxy::virtual_proxy(run_environment &all, virtual_links &links, const variant_settings &as,
                             index number, std::uint32_t seed)
    : clock_(all.clock), settings_(all.settings), as_(as), number_(number), servers_(all.servers),
      list_(all.list), service_(all.service), checker_(all.checker), metrics_(all.metrics), links_(links),
      random_(seed), idle_(all.servers.size() + 1) {
    for (index i = 0; i <= servers_.size(); ++i)
        ids_.push_back(i == servers_.size() ? "origin" : server_id(i));
}

void virtual_proxy::start() {
    router_ = make_policy(as_.policy, router_settings_for(settings_, number_), random_.seed(), clock_.now());
    watching_ = stopping_ = false;
    revision_ = 0;
    poll_schedule_.reset();
    endpoint_states_.assign(servers_.size() + 1, endpoint_state::removed);
    load_initial_list();
    if (settings_.proxies.shared_list) {
        const bool knows = settings_.proxies.initial_list != initial_list_kind::none;
        poll_schedule_.emplace(list_poll_settings(settings_), random_.seed(), clock_.now(),
                               knows ? std::optional(revision_) : std::nullopt);
        schedule_poll();
    } else {
        revision_ = 0;
        clock_.after(start_time, [this, incarnation = incarnation_] {
            if (incarnation == incarnation_)
                watch_list();
        });
    }
    close_expired_connections();
    apply_actions();
}

void virtual_proxy::end(const std::function<void()> &gone) {
    stopping_ = true;
    await_completion(gone, clock_.now() + max_stop_time);
}

void virtual_proxy::await_completion(const std::function<void()> &gone, double limit) {
    const bool holds = std::any_of(requests_.begin(), requests_.end(), [](const active_request &each) {
        return each.live && !each.answered && !each.gone;
    });
    if (up() && holds && clock_.now() < limit)
        return clock_.after(stop_poll_interval, [this, incarnation = incarnation_, gone, limit] {
            if (incarnation == incarnation_)
                await_completion(gone, limit);
        });
    if (up())
        kill(true);
    gone();
}

// ---- Connections

// One that rests, the latest used first; false: a new one is needed.
bool virtual_proxy::acquire_connection(index server, bool &half_open) {
    auto &idle = idle_[server];
    while (!idle.empty()) {
        const connection one = idle.back();
        idle.pop_back();
        const bool same = server >= servers_.size() || one.incarnation == servers_.at(server).incarnation();
        if (same && clock_.now() - one.used <= settings_.fleet.idle_timeout * idle_reuse_share) {
            half_open = one.half_open;
            return true;
        }
        metrics_.on_connection_closed(server);
    }
    return false;
}

void virtual_proxy::close_connections(index server) {
    for (std::size_t i = 0; i < idle_[server].size(); ++i)
        metrics_.on_connection_closed(server);
    idle_[server].clear();
}

void virtual_proxy::close_expired_connections() {
    for (index i = 0; i < idle_.size(); ++i)
        std::erase_if(idle_[i], [&](const connection &each) {
            const bool old = clock_.now() - each.used > settings_.fleet.idle_timeout * idle_reuse_share;
            if (old)
                metrics_.on_connection_closed(i);
            return old;
        });
    clock_.after(sweep_period, [this, incarnation = incarnation_] {
        if (incarnation == incarnation_)
            close_expired_connections();
    });
}

void virtual_proxy::on_link_changed(index server, const link_conditions &before, const link_conditions &now) {
    if (!up())
        return;
    const bool breaks = now.resets && !before.resets;
    const bool cuts = now.half_open && !before.half_open, heals = before.half_open && !now.half_open;
    if (breaks)
        close_connections(server);
    for (auto &each : idle_[server])
        each.half_open = each.half_open || cuts;
    if (heals)
        std::erase_if(idle_[server], [&](const connection &each) {
            if (each.half_open)
                metrics_.on_connection_closed(server);
            return each.half_open;
        });
    for (index i = 0; i < requests_.size(); ++i) {
        auto &of = requests_[i];
        if (!of.live || of.endpoint != server || !of.connected)
            continue;
        if (cuts) { // its server sees the connection end
            checker_.attempt_ended(of.is.op, of.is.attempt, server);
            of.half_open = true;
        }
        if (breaks || (heals && of.half_open)) {
            of.half_open = false;
            clock_.after(0, [this, incarnation = incarnation_, i, number = of.sent - 1, serial = of.serial] {
                if (incarnation == incarnation_)
                    event([this, incarnation, i, number, serial] {
                        if (incarnation == incarnation_)
                            on_attempt_result(i, number, serial, outcome::reset, false);
                    });
            });
        }
    }
}

void virtual_proxy::kill(bool planned) {
    ++incarnation_;
    checker_.proxy_restarted(number_, !planned);
    for (auto &of : requests_)
        if (of.live) {
            end_attempt(of);
            if (!of.answered && !of.gone)
                on_answer(of.is, reply::cut, 0, false);
        }
    requests_.clear();
    free_.clear();
    released_.clear();
    postponed_.clear();
    for (index i = 0; i < idle_.size(); ++i)
        close_connections(i);
    service_.cancel(poll_token_);
    ++poll_number_;
    poll_in_flight_ = false;
    router_.reset();
}

void virtual_proxy::pause(bool begins) {
    checker_.proxy_paused(number_, begins);
    pauses_ += begins ? 1 : static_cast<index>(-1);
    if (pauses_ > 0)
        return;
    const auto all = std::move(postponed_);
    postponed_.clear();
    for (const auto &each : all)
        each();
}

// What reaches a proxy that stands still waits for it, as bytes do in its sockets.
void virtual_proxy::event(std::function<void()> what) {
    if (pauses_ > 0)
        postponed_.push_back(std::move(what));
    else
        what();
}

double virtual_proxy::network_latency(index server) const {
    return server < servers_.size() && zone_of(settings_, server) != zone_of_proxy(settings_, number_)
               ? settings_.network.cross_zone_latency
               : settings_.network.latency;
}

bool virtual_proxy::violates(injected_violation which, index every) {
    return as_.violation == which && ++violation_chances_ % every == 0;
}

void virtual_proxy::receive(const client_request &query) {
    event([this, query] {
        if (!up())
            return;
        if (free_.empty()) {
            free_.push_back(static_cast<index>(requests_.size()));
            requests_.emplace_back();
        }
        const index at = free_.back();
        free_.pop_back();
        auto &of = requests_[at];
        of = {};
        of.is = query;
        of.live = true;
        of.serial = ++serial_;
        request_info made;
        made.request = request_index(at);
        made.class_id = class_index(query.use_case);
        made.tenant = tenant_index(query.tenant);
        made.has_key = query.keyed;
        made.is_write = query.write;
        made.key = query.key;
        made.deadline = query.end;
        clock_.at(query.end + deadline_margin, [this, incarnation = incarnation_, at, serial = of.serial] {
            if (incarnation == incarnation_)
                event([this, incarnation, at, serial] {
                    if (incarnation == incarnation_)
                        on_deadline(at, serial);
                });
        });
        router_->on_request(clock_.now(), made);
        apply_actions();
    });
}

// As on sockets: nothing is held or waited for once its client's time is over.
void virtual_proxy::on_deadline(index query, std::uint64_t serial) {
    auto &of = requests_[query];
    if (!of.live || of.serial != serial)
        return;
    const bool was_out = of.endpoint != none;
    if (!of.answered && !of.gone) {
        ++counts_.aborted;
        of.answered = true;
        on_answer(of.is, reply::aborted, 0, true);
    }
    end_attempt(of);
    if (was_out) {
        ++counts_.timed_out;
        router_->on_client_disconnected(clock_.now(), request_index(query));
        router_->on_attempt_finished(clock_.now(), request_index(query), attempt_number(of.sent - 1),
                                     outcome::canceled, true, false);
    } else {
        router_->on_client_disconnected(clock_.now(), request_index(query));
    }
    apply_actions();
}

void virtual_proxy::disconnect(operation op, index attempt) {
    event([this, op, attempt] {
        for (index i = 0; up() && i < requests_.size(); ++i)
            if (auto &of = requests_[i]; of.live && of.is.op == op && of.is.attempt == attempt && !of.gone) {
                of.gone = true;
                if (!of.answered)
                    router_->on_client_disconnected(clock_.now(), request_index(i));
                return apply_actions();
            }
    });
}

void virtual_proxy::apply_actions() {
    // A report made while obeying may add further actions.
    for (std::size_t i = 0; up() && i < router_->actions.size(); ++i) {
        const action act = router_->actions[i];
        switch (act.kind) {
        case action_kind::start_attempt:
            start_attempt(act.request.value(), act.endpoint.value());
            break;
        case action_kind::cancel_attempt:
            if (auto &of = requests_[act.request.value()];
                of.endpoint != none && of.sent == act.attempt.value() + 1) {
                ++counts_.canceled;
                counts_.false_canceled += record_suspicion(of.endpoint);
                const index number = act.attempt.value();
                const auto serial = of.serial;
                clock_.after(0,
                             [this, incarnation = incarnation_, query = act.request.value(), number, serial] {
                                 if (incarnation == incarnation_)
                                     on_attempt_result(query, number, serial, outcome::canceled, false);
                             });
            }
            break;
        case action_kind::reject_request:
            ++counts_.rejected;
            respond(act.request.value(), reply::rejected, act.time);
            break;
        case action_kind::fail_request:
            ++counts_.aborted;
            respond(act.request.value(), reply::aborted, 0);
            break;
        case action_kind::release_request:
            released_.push_back(act.request.value());
            break;
        case action_kind::check_health:
            check_health(act.endpoint.value());
            break;
        case action_kind::set_timer:
            wake_at_ = act.time;
            clock_.at(act.time, [this, incarnation = incarnation_, at = act.time] {
                if (incarnation == incarnation_ && at == wake_at_)
                    event([this, incarnation] {
                        if (incarnation != incarnation_)
                            return;
                        router_->on_timer(clock_.now());
                        apply_actions();
                    });
            });
            break;
        case action_kind::watch_endpoints:
            watch_list();
            break;
        }
    }
    if (up())
        router_->actions.clear();
    for (const index each : released_)
        release(each);
    released_.clear();
}

void virtual_proxy::release(index query) {
    auto &of = requests_[query];
    end_attempt(of);
    of.live = false;
    free_.push_back(query);
}

// Its connection ends, or is kept: nothing that comes of it is heard any more.
void virtual_proxy::end_attempt(active_request &of, bool keeps) {
    if (of.endpoint != none) {
        if (!of.half_open)
            checker_.attempt_ended(of.is.op, of.is.attempt, of.endpoint);
        if (of.connected && keeps && !of.half_open)
            idle_[of.endpoint].push_back({clock_.now(), of.incarnation, false});
        else if (of.connected)
            metrics_.on_connection_closed(of.endpoint);
    }
    of.connected = of.half_open = false;
    of.endpoint = none;
}

void virtual_proxy::start_attempt(index query, index server) {
    auto &of = requests_[query];
    const index number = of.sent++;
    index to = server;
    if (violates(injected_violation::ignore_drain, violation_period) ||
        as_.violation == injected_violation::overload_cold)
        for (index i = 0; i < servers_.size(); ++i) {
            const bool cold = servers_.at(i).up() && servers_.at(i).warm_up_progress() < 1;
            if (as_.violation == injected_violation::overload_cold
                    ? cold
                    : list_.all()[i].state == endpoint_state::draining && servers_.at(i).up())
                to = i;
        }
    of.endpoint = to;
    of.incarnation = to < servers_.size() ? servers_.at(to).incarnation() : 0;
    of.connected = of.half_open = false;
    ++counts_.sent;
    transmit(query, to, number, of.serial, clock_.now(), false);
    // What its caps would hold back: four times the work.
    for (int more = 0; more < 3 && as_.violation == injected_violation::overload_cold && to != server; ++more)
        transmit(query, to, number, of.serial, clock_.now(), true);
    if (violates(injected_violation::concurrent_attempts, violation_period))
        transmit(query, (to + 1) % servers_.size(), number, of.serial, clock_.now(), true);
}

void virtual_proxy::transmit(index query, index server, index number, std::uint64_t serial, double sent,
                             bool planted) {
    const auto &is = requests_[query].is;
    job what{is.op, is.attempt, is.use_case, is.write, is.keyed, is.key, requests_[query].missed_at};
    const double there = network_latency(server);
    const link_id on = to_server(server);
    const auto heard = [this, incarnation = incarnation_, query, number, serial](outcome result,
                                                                                 bool fetched) {
        if (incarnation == incarnation_)
            event([this, incarnation, query, number, serial, result, fetched] {
                if (incarnation == incarnation_)
                    on_attempt_result(query, number, serial, result, fetched);
            });
    };
    const auto failed = [this, heard](double wait) {
        clock_.after(wait, [heard] { heard(outcome::connect_error, false); });
    };
    // Whether the proxy still waits for this execution, as it then does for what a link holds.
    const auto waits = [this, incarnation = incarnation_, query, number, serial, server] {
        return incarnation == incarnation_ && requests_.size() > query && requests_[query].serial == serial &&
               requests_[query].live && requests_[query].sent == number + 1 &&
               requests_[query].endpoint == server && !requests_[query].half_open;
    };
    const auto back = [this, on, there, heard, waits](outcome result, bool fetched) {
        links_.carry(
            on, direction::backward, there, static_cast<std::size_t>(response_size),
            [heard, result, fetched] { heard(result, fetched); }, waits);
    };
    const auto answered = [back](const result &with) {
        const bool fetched = with.cache == note::miss || with.cache == note::pending;
        switch (with.outcome) {
        case result::kind::completed:
            return back(outcome::completed, fetched);
        case result::kind::queue_full:
            return back(outcome::overloaded, false);
        case result::kind::missed:
            return back(outcome::cache_miss, false);
        case result::kind::error:
        case result::kind::malformed:
            return back(outcome::error, false);
        }
    };
    const bool is_server = server < servers_.size();
    const bool dead = is_server && (servers_.at(server).silent() || !servers_.at(server).up());
    double handshake = 0;
    if (dead && !planted)
        metrics_.on_sent_to_dead(false);
    if (!planted && !acquire_connection(server, requests_[query].half_open)) {
        metrics_.on_connect(server, !dead);
        if (links_.conditions(on).resets) // up, and broken at once
            return failed(2 * there);
        if ((is_server && servers_.at(server).silent()) || !links_.can_connect(on)) // never comes up
            return failed(settings_.network.connect_timeout);
        if (dead)
            return failed(2 * there);
        metrics_.on_connection_opened(server);
        if (settings_.fleet.connect_work > 0) {
            handshake = 2 * there;
            if (is_server)
                servers_.at(server).on_connection_opened();
        }
    } else if (dead && !servers_.at(server).silent()) {
        return failed(2 * there); // its connections went with it
    }
    requests_[query].connected = requests_[query].connected || !planted;
    if (!planted && requests_[query].half_open)
        return; // nobody hears it
    links_.carry(
        on, direction::forward, there + handshake, static_cast<std::size_t>(response_size),
        [this, server, what, sent, planted, answered, heard, waits, there] {
            const bool at_origin = server == servers_.size();
            if (!at_origin && (servers_.at(server).silent() || !servers_.at(server).up())) {
                if (!servers_.at(server).up())
                    clock_.after(there, [heard] { heard(outcome::connect_error, false); });
                return;
            }
            checker_.attempt_received(what.op, what.attempt, server, sent);
            if (!planted && !waits())
                checker_.attempt_ended(what.op, what.attempt, server); // given up while it was on its way
            if (at_origin)
                servers_.receive_at_origin(what, answered);
            else
                servers_.at(server).receive(what, answered);
        },
        waits);
}

void virtual_proxy::on_server_lost(index server) {
    if (up())
        close_connections(server);
    for (index i = 0; up() && i < requests_.size(); ++i)
        if (const auto &of = requests_[i]; of.live && of.endpoint == server && !of.half_open)
            clock_.after(network_latency(server),
                         [this, incarnation = incarnation_, i, number = of.sent - 1, serial = of.serial] {
                             if (incarnation == incarnation_)
                                 event([this, incarnation, i, number, serial] {
                                     if (incarnation == incarnation_)
                                         on_attempt_result(i, number, serial, outcome::reset, false);
                                 });
                         });
}

// What came of an execution; one that is over already is not heard.
void virtual_proxy::on_attempt_result(index query, index number, std::uint64_t serial, outcome result,
                                      bool fetched) {
    if (query >= requests_.size())
        return;
    auto &of = requests_[query];
    if (!of.live || of.serial != serial || of.sent != number + 1 || of.endpoint == none)
        return;
    const index server = of.endpoint;
    if (result == outcome::cache_miss)
        of.missed_at = server;
    if (of.half_open && result != outcome::canceled) // half open: nothing comes of it
        return;
    end_attempt(of, result == outcome::completed || result == outcome::error ||
                        result == outcome::overloaded || result == outcome::cache_miss);
    counts_.resets += result == outcome::reset;
    counts_.errors += result == outcome::error;
    counts_.overloaded += result == outcome::overloaded;
    counts_.connect_errors += result == outcome::connect_error;
    const bool completed = result == outcome::completed;
    if (completed && violates(injected_violation::execute_twice, violation_period)) {
        transmit(query, server, number, serial, clock_.now(), true);
    }
    if (completed && violates(injected_violation::late_attempt, violation_period)) {
        const client_request is = of.is;
        clock_.at(is.end + 0.5, [this, is, server] {
            checker_.attempt_received(is.op, is.attempt, server, clock_.now());
            checker_.attempt_ended(is.op, is.attempt, server);
        });
    }
    if (completed && !of.answered) {
        ++counts_.completed;
        respond(query, reply::completed, 0);
    }
    router_->on_attempt_finished(clock_.now(), request_index(query), attempt_number(number), result,
                                 completed, fetched);
    apply_actions();
}

void virtual_proxy::respond(index query, reply how, double retry_after) {
    auto &of = requests_[query];
    if (of.answered)
        return;
    of.answered = true;
    // Its time is up while an execution is out: the connection is closed, and the router told so.
    if (how != reply::completed && of.endpoint != none) {
        counts_.timed_out += 1;
        end_attempt(of);
        clock_.after(0, [this, incarnation = incarnation_, query, number = of.sent - 1, serial = of.serial] {
            if (incarnation != incarnation_ || !requests_[query].live || requests_[query].serial != serial)
                return;
            router_->on_attempt_finished(clock_.now(), request_index(query), attempt_number(number),
                                         outcome::canceled, true, false);
            apply_actions();
        });
    }
    if (of.gone || (how == reply::completed && violates(injected_violation::lose_response, violation_period)))
        return;
    const bool fits = how != reply::completed || !violates(injected_violation::wrong_body, violation_period);
    on_answer(of.is, how, retry_after, fits);
    if (violates(injected_violation::answer_twice, violation_period))
        on_answer(of.is, how, retry_after, fits);
}

bool virtual_proxy::record_suspicion(index server) {
    if (server >= servers_.size())
        return true;
    const double since = servers_.at(server).faulty_since();
    found_fault_start_.resize(servers_.size());
    if (since > 0 && found_fault_start_[server] != since) {
        found_fault_start_[server] = since;
        ++counts_.faults_found;
        counts_.detection_time.add(clock_.now() - since);
    }
    return since <= 0;
}

void virtual_proxy::check_health(index server) {
    ++counts_.health_checks;
    counts_.false_health_checks += record_suspicion(server);
    const auto over = [this, incarnation = incarnation_, server](bool answered) {
        if (incarnation != incarnation_)
            return;
        event([this, incarnation, server, answered] {
            if (incarnation != incarnation_)
                return;
            counts_.health_checks_failed += !answered;
            router_->on_health_check_finished(clock_.now(), endpoint_index(server), answered);
            apply_actions();
        });
    };
    if (server >= servers_.size())
        return clock_.after(2 * network_latency(server), [over] { over(true); });
    const auto &to = servers_.at(server);
    const bool answered = to.answers_health_checks() && links_.can_connect(to_server(server));
    if (to.silent() || !to.up())
        metrics_.on_sent_to_dead(true);
    metrics_.on_connect(server, !to.silent() && to.up()); // a probe's connection is always new
    clock_.after(answered || !to.up() ? 2 * network_latency(server) : health_check_timeout,
                 [over, answered] { over(answered); });
}

// ---- The list

void virtual_proxy::load_initial_list() {
    if (settings_.proxies.initial_list == initial_list_kind::none)
        return;
    update_endpoints(endpoint_update_kind::cached_snapshot, list_.initial_members_of(settings_, number_));
    revision_ = starts_with_stale_list(settings_, number_) ? 0 : list_.revision();
}

void virtual_proxy::schedule_poll() {
    const double due = poll_schedule_->next_poll_at();
    clock_.at(std::max(due, clock_.now()), [this, incarnation = incarnation_, due] {
        if (incarnation == incarnation_)
            event([this, incarnation, due] {
                if (incarnation == incarnation_ && !poll_in_flight_ && poll_schedule_->next_poll_at() == due)
                    poll_list();
            });
    });
}

discovery::snapshot_facts virtual_proxy::facts_of(const list_response &with) const {
    discovery::snapshot_facts made{with.is_snapshot, with.revision, poll_schedule_->revision(), 0, 0, 0};
    for (const endpoint_state each : endpoint_states_)
        made.known_endpoints += each != endpoint_state::removed;
    for (const auto &each : with.members) {
        made.named_endpoints += each.state != endpoint_state::removed;
        made.common_endpoints += endpoint_states_[each.server] != endpoint_state::removed;
    }
    return made;
}

void virtual_proxy::watch_list() {
    if (poll_schedule_)
        return;
    watching_ = false;
    if (settings_.list.form == list_service_kind::central) {
        if (poll_in_flight_) // one call at a time, as the catalog has it
            return;
        revision_ = 0;
        return poll_list();
    }
    const double wait = settings_.network.latency * 2;
    clock_.after(wait, [this, incarnation = incarnation_] {
        if (incarnation != incarnation_ || !up())
            return;
        if (!list_.responding() || !links_.can_connect(to_list()) || random_.happens(settings_.list.lose))
            return clock_.after(list_response_limit, [this, incarnation] {
                if (incarnation == incarnation_)
                    event([this, incarnation] {
                        if (incarnation == incarnation_)
                            update_endpoints(endpoint_update_kind::poll_failed, {});
                    });
            });
        event([this, incarnation] {
            if (incarnation != incarnation_)
                return;
            watching_ = true;
            std::vector<membership::member> all;
            for (const auto &each : list_.all())
                if (each.state != endpoint_state::removed)
                    all.push_back(each);
            metrics_.on_poll(
                list_poll::snapshot,
                static_cast<std::size_t>(response_size + list_entry_size * static_cast<double>(all.size())));
            update_endpoints(endpoint_update_kind::snapshot, all);
        });
    });
}

// One call at a time, as the catalog does: the whole list first, then watches back to back; a loss goes to
// the router, which says when to ask again.
void virtual_proxy::poll_list() {
    const std::uint64_t call = ++poll_number_;
    poll_in_flight_ = true;
    discovery::endpoint_poll out;
    const bool can_connect = links_.can_connect(to_list());
    if (poll_schedule_) {
        out = poll_schedule_->start_poll(clock_.now());
        out.timeout = can_connect ? out.timeout : poll_schedule_->intervals().response_timeout;
    } else {
        out.watch_timeout = revision_ > 0 ? watch_wait : 0;
        out.timeout = list_response_timeout(settings_.list) + out.watch_timeout;
        if (revision_ > 0)
            out.watch_revision = revision_;
    }
    clock_.after(out.timeout, [this, incarnation = incarnation_, call] {
        if (incarnation == incarnation_ && call == poll_number_)
            event([this, incarnation, call] {
                if (incarnation == incarnation_)
                    on_poll_failed(call);
            });
    });
    if (!can_connect)
        return;
    if (!service_.up())
        return clock_.after(2 * settings_.network.latency, [this, incarnation = incarnation_, call] {
            if (incarnation == incarnation_)
                event([this, incarnation, call] {
                    if (incarnation == incarnation_)
                        on_poll_failed(call);
                });
        });
    const auto stands = [this, incarnation = incarnation_, call] {
        return incarnation == incarnation_ && call == poll_number_;
    };
    const auto answer = [this, incarnation = incarnation_, call, stands](const list_response &with) {
        const auto bytes = static_cast<std::size_t>(
            response_size + list_entry_size * static_cast<double>(with.members.size()));
        metrics_.on_poll(with.refused       ? list_poll::rejected
                         : with.is_snapshot ? list_poll::snapshot
                                            : list_poll::watch,
                         bytes);
        links_.carry(
            to_list(), direction::backward, settings_.network.latency, bytes,
            [this, incarnation, call, with] {
                if (incarnation == incarnation_)
                    event([this, incarnation, call, with] {
                        if (incarnation == incarnation_)
                            on_list_received(call, with);
                    });
            },
            stands);
    };
    links_.carry(
        to_list(), direction::forward, settings_.network.latency, static_cast<std::size_t>(response_size),
        [this, stands, out, answer] {
            if (stands())
                poll_token_ = service_.poll(out.watch_revision, out.watch_timeout, answer);
        },
        stands);
}

void virtual_proxy::on_list_received(std::uint64_t call, const list_response &with) {
    if (call != poll_number_)
        return;
    if (with.refused && !poll_schedule_)
        return on_poll_failed(call);
    ++poll_number_;
    poll_in_flight_ = false;
    if (poll_schedule_) {
        if (with.refused)
            poll_schedule_->on_rejected(clock_.now(), with.retry_after);
        else if (poll_schedule_->on_update(clock_.now(), facts_of(with)) &&
                 (with.is_snapshot || !with.members.empty()))
            update_endpoints(with.is_snapshot ? endpoint_update_kind::snapshot : endpoint_update_kind::delta,
                             with.members);
        if (up())
            schedule_poll();
        return;
    }
    const std::uint64_t known = poll_number_;
    revision_ = with.revision;
    if (with.is_snapshot || !with.members.empty())
        update_endpoints(with.is_snapshot ? endpoint_update_kind::snapshot : endpoint_update_kind::delta,
                         with.members);
    if (up() && known == poll_number_ && !poll_in_flight_)
        poll_list();
}

void virtual_proxy::on_poll_failed(std::uint64_t call) {
    if (call != poll_number_)
        return;
    ++poll_number_;
    poll_in_flight_ = false;
    service_.cancel(poll_token_);
    if (poll_schedule_) {
        poll_schedule_->on_failure(clock_.now());
        schedule_poll();
    }
    update_endpoints(endpoint_update_kind::poll_failed, {});
}

void virtual_proxy::on_list_service_died() {
    if (up() && settings_.list.form == list_service_kind::central && (!poll_schedule_ || poll_in_flight_))
        on_poll_failed(poll_number_);
}

void virtual_proxy::on_list_changed(const membership::member &what) {
    if (!up() || !watching_)
        return;
    if (!list_.responding() || !links_.can_connect(to_list()) || random_.happens(settings_.list.lose)) {
        watching_ = false;
        clock_.after(list_response_limit, [this, incarnation = incarnation_] {
            if (incarnation == incarnation_)
                event([this, incarnation] {
                    if (incarnation == incarnation_)
                        update_endpoints(endpoint_update_kind::poll_failed, {});
                });
        });
        return;
    }
    clock_.after(settings_.network.latency, [this, incarnation = incarnation_, what] {
        if (incarnation == incarnation_)
            event([this, incarnation, what] {
                if (incarnation == incarnation_)
                    update_endpoints(endpoint_update_kind::delta, {what});
            });
    });
}

void virtual_proxy::update_endpoints(endpoint_update_kind kind,
                                     const std::vector<membership::member> &members) {
    std::vector<endpoint_info> entries;
    counts_.polls_failed += kind == endpoint_update_kind::poll_failed;
    if (kind == endpoint_update_kind::snapshot || kind == endpoint_update_kind::cached_snapshot)
        std::fill(endpoint_states_.begin(), endpoint_states_.end(), endpoint_state::removed);
    if (kind == endpoint_update_kind::snapshot) // what a whole list leaves out is gone
        for (const auto &each : list_.all())
            if (each.state == endpoint_state::removed)
                checker_.endpoint_state_notified(number_, each.server, endpoint_state::removed);
    for (const auto &each : members) {
        endpoint_info made;
        made.endpoint = endpoint_index(each.server);
        made.id = ids_[each.server];
        made.started_at = each.started;
        made.kind = kind_index(each.server == servers_.size() ? 1 : 0);
        made.zone = zone_index(zone_of(settings_, each.server));
        made.cell = cell_index(each.server);
        made.state = each.state;
        entries.push_back(made);
        endpoint_states_[each.server] = each.state;
        if (kind != endpoint_update_kind::cached_snapshot)
            checker_.endpoint_state_notified(number_, each.server, each.state);
    }
    router_->on_endpoints_updated(clock_.now(), kind, entries);
    apply_actions();
}

} // namespace harrierpass::testbed
