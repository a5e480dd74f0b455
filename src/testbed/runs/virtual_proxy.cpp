// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/virtual_proxy.hpp"

#include "testbed/model/ids.hpp"

#include <algorithm>

namespace harrierpass::testbed {
namespace {

constexpr double list_limit = 1;     // s for discovery to answer
constexpr double probe_limit = 0.5;  // s for a server's answer to a probe
constexpr double start_time = 0.05;  // s from a proxy's start to its first list
constexpr double own_margin = 0.01;  // s after the client's end; the router gives its final answer before
constexpr double sweep_period = 0.5; // s between looks for connections that have rested too long
constexpr double watch_wait = 1;     // s, as proxy/settings.cpp has it where calls cost nothing
constexpr double entry_bytes = 165, answer_bytes = 150; // of a list's entry; of an answer without any
constexpr double end_time = 3, end_look = 0.05;         // s that a planned end may take; between looks
constexpr index plant_every = 50;                       // every so many chances a planted fault is done

} // namespace

void proxy_counts::add(const proxy_counts &that) {
    sent += that.sent;
    completed += that.completed;
    rejected += that.rejected;
    aborted += that.aborted;
    called_off += that.called_off;
    timed_out += that.timed_out;
    resets += that.resets;
    connect_errors += that.connect_errors;
    errors += that.errors;
    full += that.full;
    probes += that.probes;
    probes_failed += that.probes_failed;
    false_called_off += that.false_called_off;
    false_probes += that.false_probes;
    found += that.found;
    lists_lost += that.lists_lost;
    found_after.add(that.found_after);
}

virtual_proxy::virtual_proxy(stage &all, virtual_links &links, const variant_spec &as, index number,
                             std::uint32_t seed)
    : clock_(all.clock), given_(all.given), as_(as), number_(number), servers_(all.servers), list_(all.list),
      service_(all.service), judge_(all.judge), figures_(all.figures), links_(links), chance_(seed),
      idle_(all.servers.size() + 1) {
    for (index i = 0; i <= servers_.size(); ++i)
        ids_.push_back(i == servers_.size() ? "origin" : server_id(i));
}

void virtual_proxy::start() {
    router_ = make_decider(as_.by, settings_for(given_, number_), chance_.seed(), clock_.now());
    watching_ = ends_ = false;
    revision_ = 0;
    calls_.reset();
    listed_.assign(servers_.size() + 1, endpoint_state::removed);
    know();
    if (given_.proxies.shared_list) {
        const bool knows = given_.proxies.known != known_list::none;
        calls_.emplace(list_terms(given_), chance_.seed(), clock_.now(),
                       knows ? std::optional(revision_) : std::nullopt);
        plan_call();
    } else {
        revision_ = 0;
        clock_.after(start_time, [this, life = life_] {
            if (life == life_)
                subscribe();
        });
    }
    sweep();
    obey();
}

void virtual_proxy::end(const std::function<void()> &gone) {
    ends_ = true;
    wait_end(gone, clock_.now() + end_time);
}

void virtual_proxy::wait_end(const std::function<void()> &gone, double limit) {
    const bool holds = std::any_of(held_.begin(), held_.end(), [](const held &each) {
        return each.live && !each.answered && !each.gone;
    });
    if (up() && holds && clock_.now() < limit)
        return clock_.after(end_look, [this, life = life_, gone, limit] {
            if (life == life_)
                wait_end(gone, limit);
        });
    if (up())
        kill(true);
    gone();
}

// ---- Connections

// One that rests, the latest used first; false: a new one is needed.
bool virtual_proxy::take_connection(index server, bool &cut) {
    auto &idle = idle_[server];
    while (!idle.empty()) {
        const connection one = idle.back();
        idle.pop_back();
        const bool same = server >= servers_.size() || one.life == servers_.at(server).life();
        if (same && clock_.now() - one.used <= given_.fleet.idle * idle_reuse_share) {
            cut = one.cut;
            return true;
        }
        figures_.on_connection_closed(server);
    }
    return false;
}

void virtual_proxy::close_connections(index server) {
    for (std::size_t i = 0; i < idle_[server].size(); ++i)
        figures_.on_connection_closed(server);
    idle_[server].clear();
}

void virtual_proxy::sweep() {
    for (index i = 0; i < idle_.size(); ++i)
        std::erase_if(idle_[i], [&](const connection &each) {
            const bool old = clock_.now() - each.used > given_.fleet.idle * idle_reuse_share;
            if (old)
                figures_.on_connection_closed(i);
            return old;
        });
    clock_.after(sweep_period, [this, life = life_] {
        if (life == life_)
            sweep();
    });
}

void virtual_proxy::link_changed(index server, const link_conditions &before, const link_conditions &now) {
    if (!up())
        return;
    const bool breaks = now.resets && !before.resets;
    const bool cuts = now.half_open && !before.half_open, heals = before.half_open && !now.half_open;
    if (breaks)
        close_connections(server);
    for (auto &each : idle_[server])
        each.cut = each.cut || cuts;
    if (heals)
        std::erase_if(idle_[server], [&](const connection &each) {
            if (each.cut)
                figures_.on_connection_closed(server);
            return each.cut;
        });
    for (index i = 0; i < held_.size(); ++i) {
        auto &of = held_[i];
        if (!of.live || of.out_at != server || !of.connected)
            continue;
        if (cuts) { // its server sees the connection end
            judge_.over(of.is.op, of.is.attempt, server);
            of.cut = true;
        }
        if (breaks || (heals && of.cut)) {
            of.cut = false;
            clock_.after(0, [this, life = life_, i, number = of.sent - 1, serial = of.serial] {
                if (life == life_)
                    event([this, life, i, number, serial] {
                        if (life == life_)
                            come(i, number, serial, outcome::reset, false);
                    });
            });
        }
    }
}

void virtual_proxy::kill(bool planned) {
    ++life_;
    judge_.restarted(number_, !planned);
    for (auto &of : held_)
        if (of.live) {
            end_out(of);
            if (!of.answered && !of.gone)
                on_answer(of.is, reply::cut, 0, false);
        }
    held_.clear();
    free_.clear();
    released_.clear();
    late_.clear();
    for (index i = 0; i < idle_.size(); ++i)
        close_connections(i);
    service_.drop(list_token_);
    ++list_call_;
    list_out_ = false;
    router_.reset();
}

void virtual_proxy::pause(bool begins) {
    judge_.paused(number_, begins);
    pauses_ += begins ? 1 : static_cast<index>(-1);
    if (pauses_ > 0)
        return;
    const auto all = std::move(late_);
    late_.clear();
    for (const auto &each : all)
        each();
}

// What reaches a proxy that stands still waits for it, as bytes do in its sockets.
void virtual_proxy::event(std::function<void()> what) {
    if (pauses_ > 0)
        late_.push_back(std::move(what));
    else
        what();
}

double virtual_proxy::way(index server) const {
    return server < servers_.size() && zone_of(given_, server) != zone_of_proxy(given_, number_)
               ? given_.network.cross_zone
               : given_.network.one_way;
}

bool virtual_proxy::planted(plant which, index every) {
    return as_.breaks == which && ++plants_ % every == 0;
}

void virtual_proxy::take(const client_request &query) {
    event([this, query] {
        if (!up())
            return;
        if (free_.empty()) {
            free_.push_back(static_cast<index>(held_.size()));
            held_.emplace_back();
        }
        const index at = free_.back();
        free_.pop_back();
        auto &of = held_[at];
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
        clock_.at(query.end + own_margin, [this, life = life_, at, serial = of.serial] {
            if (life == life_)
                event([this, life, at, serial] {
                    if (life == life_)
                        time_up(at, serial);
                });
        });
        router_->on_request(clock_.now(), made);
        obey();
    });
}

// As on sockets: nothing is held or waited for once its client's time is over.
void virtual_proxy::time_up(index query, std::uint64_t serial) {
    auto &of = held_[query];
    if (!of.live || of.serial != serial)
        return;
    const bool was_out = of.out_at != none;
    if (!of.answered && !of.gone) {
        ++counts_.aborted;
        of.answered = true;
        on_answer(of.is, reply::aborted, 0, true);
    }
    end_out(of);
    if (was_out) {
        ++counts_.timed_out;
        router_->on_client_disconnected(clock_.now(), request_index(query));
        router_->on_attempt_finished(clock_.now(), request_index(query), attempt_number(of.sent - 1),
                                     outcome::canceled, true, false);
    } else {
        router_->on_client_disconnected(clock_.now(), request_index(query));
    }
    obey();
}

void virtual_proxy::leave(operation op, index attempt) {
    event([this, op, attempt] {
        for (index i = 0; up() && i < held_.size(); ++i)
            if (auto &of = held_[i]; of.live && of.is.op == op && of.is.attempt == attempt && !of.gone) {
                of.gone = true;
                if (!of.answered)
                    router_->on_client_disconnected(clock_.now(), request_index(i));
                return obey();
            }
    });
}

void virtual_proxy::obey() {
    // A report made while obeying may add further actions.
    for (std::size_t i = 0; up() && i < router_->actions.size(); ++i) {
        const action act = router_->actions[i];
        switch (act.kind) {
        case action_kind::start_attempt:
            send(act.request.value(), act.endpoint.value());
            break;
        case action_kind::cancel_attempt:
            if (auto &of = held_[act.request.value()];
                of.out_at != none && of.sent == act.attempt.value() + 1) {
                ++counts_.called_off;
                counts_.false_called_off += suspects(of.out_at);
                const index number = act.attempt.value();
                const auto serial = of.serial;
                clock_.after(0, [this, life = life_, query = act.request.value(), number, serial] {
                    if (life == life_)
                        come(query, number, serial, outcome::canceled, false);
                });
            }
            break;
        case action_kind::reject_request:
            ++counts_.rejected;
            answer(act.request.value(), reply::rejected, act.time);
            break;
        case action_kind::fail_request:
            ++counts_.aborted;
            answer(act.request.value(), reply::aborted, 0);
            break;
        case action_kind::release_request:
            released_.push_back(act.request.value());
            break;
        case action_kind::check_health:
            probe(act.endpoint.value());
            break;
        case action_kind::set_timer:
            wake_at_ = act.time;
            clock_.at(act.time, [this, life = life_, at = act.time] {
                if (life == life_ && at == wake_at_)
                    event([this, life] {
                        if (life != life_)
                            return;
                        router_->on_timer(clock_.now());
                        obey();
                    });
            });
            break;
        case action_kind::watch_endpoints:
            subscribe();
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
    auto &of = held_[query];
    end_out(of);
    of.live = false;
    free_.push_back(query);
}

// Its connection ends, or is kept: nothing that comes of it is heard any more.
void virtual_proxy::end_out(held &of, bool keeps) {
    if (of.out_at != none) {
        if (!of.cut)
            judge_.over(of.is.op, of.is.attempt, of.out_at);
        if (of.connected && keeps && !of.cut)
            idle_[of.out_at].push_back({clock_.now(), of.life, false});
        else if (of.connected)
            figures_.on_connection_closed(of.out_at);
    }
    of.connected = of.cut = false;
    of.out_at = none;
}

void virtual_proxy::send(index query, index server) {
    auto &of = held_[query];
    const index number = of.sent++;
    index to = server;
    if (planted(plant::ignore_drain, plant_every) || as_.breaks == plant::push_cold)
        for (index i = 0; i < servers_.size(); ++i) {
            const bool cold = servers_.at(i).up() && servers_.at(i).warmth() < 1;
            if (as_.breaks == plant::push_cold
                    ? cold
                    : list_.all()[i].state == endpoint_state::draining && servers_.at(i).up())
                to = i;
        }
    of.out_at = to;
    of.life = to < servers_.size() ? servers_.at(to).life() : 0;
    of.connected = of.cut = false;
    ++counts_.sent;
    reach(query, to, number, of.serial, clock_.now(), false);
    // What its caps would hold back: four times the work.
    for (int more = 0; more < 3 && as_.breaks == plant::push_cold && to != server; ++more)
        reach(query, to, number, of.serial, clock_.now(), true);
    if (planted(plant::two_out, plant_every))
        reach(query, (to + 1) % servers_.size(), number, of.serial, clock_.now(), true);
}

void virtual_proxy::reach(index query, index server, index number, std::uint64_t serial, double sent,
                          bool planted) {
    const auto &is = held_[query].is;
    job what{is.op, is.attempt, is.use_case, is.write, is.keyed, is.key, held_[query].missed_at};
    const double there = way(server);
    const link_id on = to_server(server);
    const auto heard = [this, life = life_, query, number, serial](outcome result, bool fetched) {
        if (life == life_)
            event([this, life, query, number, serial, result, fetched] {
                if (life == life_)
                    come(query, number, serial, result, fetched);
            });
    };
    const auto failed = [this, heard](double wait) {
        clock_.after(wait, [heard] { heard(outcome::connect_error, false); });
    };
    // Whether the proxy still waits for this execution, as it then does for what a link holds.
    const auto waits = [this, life = life_, query, number, serial, server] {
        return life == life_ && held_.size() > query && held_[query].serial == serial && held_[query].live &&
               held_[query].sent == number + 1 && held_[query].out_at == server && !held_[query].cut;
    };
    const auto back = [this, on, there, heard, waits](outcome result, bool fetched) {
        links_.carry(
            on, direction::backward, there, static_cast<std::size_t>(answer_bytes),
            [heard, result, fetched] { heard(result, fetched); }, waits);
    };
    const auto answered = [back](const result &with) {
        const bool fetched = with.says == note::miss || with.says == note::pending;
        switch (with.is) {
        case result::kind::completed:
            return back(outcome::completed, fetched);
        case result::kind::queue_full:
            return back(outcome::overloaded, false);
        case result::kind::missed:
            return back(outcome::cache_miss, false);
        case result::kind::error:
        case result::kind::spoilt:
            return back(outcome::error, false);
        }
    };
    const bool is_server = server < servers_.size();
    const bool dead = is_server && (servers_.at(server).silent() || !servers_.at(server).up());
    double handshake = 0;
    if (dead && !planted)
        figures_.on_sent_to_dead(false);
    if (!planted && !take_connection(server, held_[query].cut)) {
        figures_.on_connect(server, !dead);
        if (links_.conditions(on).resets) // up, and broken at once
            return failed(2 * there);
        if ((is_server && servers_.at(server).silent()) || !links_.can_connect(on)) // never comes up
            return failed(given_.network.dial_limit);
        if (dead)
            return failed(2 * there);
        figures_.on_connection_opened(server);
        if (given_.fleet.dial_work > 0) {
            handshake = 2 * there;
            if (is_server)
                servers_.at(server).dialled();
        }
    } else if (dead && !servers_.at(server).silent()) {
        return failed(2 * there); // its connections went with it
    }
    held_[query].connected = held_[query].connected || !planted;
    if (!planted && held_[query].cut)
        return; // nobody hears it
    links_.carry(
        on, direction::forward, there + handshake, static_cast<std::size_t>(answer_bytes),
        [this, server, what, sent, planted, answered, heard, waits, there] {
            const bool at_origin = server == servers_.size();
            if (!at_origin && (servers_.at(server).silent() || !servers_.at(server).up())) {
                if (!servers_.at(server).up())
                    clock_.after(there, [heard] { heard(outcome::connect_error, false); });
                return;
            }
            judge_.received(what.op, what.attempt, server, sent);
            if (!planted && !waits())
                judge_.over(what.op, what.attempt, server); // given up while it was on its way
            if (at_origin)
                servers_.receive_at_origin(what, answered);
            else
                servers_.at(server).receive(what, answered);
        },
        waits);
}

void virtual_proxy::broken(index server) {
    if (up())
        close_connections(server);
    for (index i = 0; up() && i < held_.size(); ++i)
        if (const auto &of = held_[i]; of.live && of.out_at == server && !of.cut)
            clock_.after(way(server), [this, life = life_, i, number = of.sent - 1, serial = of.serial] {
                if (life == life_)
                    event([this, life, i, number, serial] {
                        if (life == life_)
                            come(i, number, serial, outcome::reset, false);
                    });
            });
}

// What came of an execution; one that is over already is not heard.
void virtual_proxy::come(index query, index number, std::uint64_t serial, outcome result, bool fetched) {
    if (query >= held_.size())
        return;
    auto &of = held_[query];
    if (!of.live || of.serial != serial || of.sent != number + 1 || of.out_at == none)
        return;
    const index server = of.out_at;
    if (result == outcome::cache_miss)
        of.missed_at = server;
    if (of.cut && result != outcome::canceled) // half open: nothing comes of it
        return;
    end_out(of, result == outcome::completed || result == outcome::error || result == outcome::overloaded ||
                    result == outcome::cache_miss);
    counts_.resets += result == outcome::reset;
    counts_.errors += result == outcome::error;
    counts_.full += result == outcome::overloaded;
    counts_.connect_errors += result == outcome::connect_error;
    const bool completed = result == outcome::completed;
    if (completed && planted(plant::run_twice, plant_every)) {
        reach(query, server, number, serial, clock_.now(), true);
    }
    if (completed && planted(plant::late, plant_every)) {
        const client_request is = of.is;
        clock_.at(is.end + 0.5, [this, is, server] {
            judge_.received(is.op, is.attempt, server, clock_.now());
            judge_.over(is.op, is.attempt, server);
        });
    }
    if (completed && !of.answered) {
        ++counts_.completed;
        answer(query, reply::completed, 0);
    }
    router_->on_attempt_finished(clock_.now(), request_index(query), attempt_number(number), result,
                                 completed, fetched);
    obey();
}

void virtual_proxy::answer(index query, reply how, double come_back) {
    auto &of = held_[query];
    if (of.answered)
        return;
    of.answered = true;
    // Its time is up while an execution is out: the connection is closed, and the router told so.
    if (how != reply::completed && of.out_at != none) {
        counts_.timed_out += 1;
        end_out(of);
        clock_.after(0, [this, life = life_, query, number = of.sent - 1, serial = of.serial] {
            if (life != life_ || !held_[query].live || held_[query].serial != serial)
                return;
            router_->on_attempt_finished(clock_.now(), request_index(query), attempt_number(number),
                                         outcome::canceled, true, false);
            obey();
        });
    }
    if (of.gone || (how == reply::completed && planted(plant::lose, plant_every)))
        return;
    const bool fits = how != reply::completed || !planted(plant::wrong_body, plant_every);
    on_answer(of.is, how, come_back, fits);
    if (planted(plant::answer_twice, plant_every))
        on_answer(of.is, how, come_back, fits);
}

bool virtual_proxy::suspects(index server) {
    if (server >= servers_.size())
        return true;
    const double since = servers_.at(server).troubled_since();
    found_.resize(servers_.size());
    if (since > 0 && found_[server] != since) {
        found_[server] = since;
        ++counts_.found;
        counts_.found_after.add(clock_.now() - since);
    }
    return since <= 0;
}

void virtual_proxy::probe(index server) {
    ++counts_.probes;
    counts_.false_probes += suspects(server);
    const auto over = [this, life = life_, server](bool answered) {
        if (life != life_)
            return;
        event([this, life, server, answered] {
            if (life != life_)
                return;
            counts_.probes_failed += !answered;
            router_->on_health_check_finished(clock_.now(), endpoint_index(server), answered);
            obey();
        });
    };
    if (server >= servers_.size())
        return clock_.after(2 * way(server), [over] { over(true); });
    const auto &to = servers_.at(server);
    const bool answered = to.answers_probes() && links_.can_connect(to_server(server));
    if (to.silent() || !to.up())
        figures_.on_sent_to_dead(true);
    figures_.on_connect(server, !to.silent() && to.up()); // a probe's connection is always new
    clock_.after(answered || !to.up() ? 2 * way(server) : probe_limit, [over, answered] { over(answered); });
}

// ---- The list

void virtual_proxy::know() {
    if (given_.proxies.known == known_list::none)
        return;
    tell(endpoint_update_kind::cached_snapshot, list_.known_by(given_, number_));
    revision_ = knows_old(given_, number_) ? 0 : list_.revision();
}

void virtual_proxy::plan_call() {
    const double due = calls_->next_poll_at();
    clock_.at(std::max(due, clock_.now()), [this, life = life_, due] {
        if (life == life_)
            event([this, life, due] {
                if (life == life_ && !list_out_ && calls_->next_poll_at() == due)
                    call_list();
            });
    });
}

discovery::snapshot_facts virtual_proxy::facts_of(const list_answer &with) const {
    discovery::snapshot_facts made{with.whole, with.revision, calls_->revision(), 0, 0, 0};
    for (const endpoint_state each : listed_)
        made.known_endpoints += each != endpoint_state::removed;
    for (const auto &each : with.members) {
        made.named_endpoints += each.state != endpoint_state::removed;
        made.common_endpoints += listed_[each.server] != endpoint_state::removed;
    }
    return made;
}

void virtual_proxy::subscribe() {
    if (calls_)
        return;
    watching_ = false;
    if (given_.list.form == list_service_kind::central) {
        if (list_out_) // one call at a time, as the catalog has it
            return;
        revision_ = 0;
        return call_list();
    }
    const double wait = given_.network.one_way * 2;
    clock_.after(wait, [this, life = life_] {
        if (life != life_ || !up())
            return;
        if (!list_.answers() || !links_.can_connect(to_list()) || chance_.happens(given_.list.lose))
            return clock_.after(list_limit, [this, life] {
                if (life == life_)
                    event([this, life] {
                        if (life == life_)
                            tell(endpoint_update_kind::poll_failed, {});
                    });
            });
        event([this, life] {
            if (life != life_)
                return;
            watching_ = true;
            std::vector<membership::member> all;
            for (const auto &each : list_.all())
                if (each.state != endpoint_state::removed)
                    all.push_back(each);
            figures_.on_poll(
                list_poll::snapshot,
                static_cast<std::size_t>(answer_bytes + entry_bytes * static_cast<double>(all.size())));
            tell(endpoint_update_kind::snapshot, all);
        });
    });
}

// One call at a time, as the catalog does: the whole list first, then watches back to back; a loss goes to
// the router, which says when to ask again.
void virtual_proxy::call_list() {
    const std::uint64_t call = ++list_call_;
    list_out_ = true;
    discovery::endpoint_poll out;
    const bool can_connect = links_.can_connect(to_list());
    if (calls_) {
        out = calls_->start_poll(clock_.now());
        out.timeout = can_connect ? out.timeout : calls_->intervals().response_timeout;
    } else {
        out.watch_timeout = revision_ > 0 ? watch_wait : 0;
        out.timeout = list_patience(given_.list) + out.watch_timeout;
        if (revision_ > 0)
            out.watch_revision = revision_;
    }
    clock_.after(out.timeout, [this, life = life_, call] {
        if (life == life_ && call == list_call_)
            event([this, life, call] {
                if (life == life_)
                    list_lost(call);
            });
    });
    if (!can_connect)
        return;
    if (!service_.up())
        return clock_.after(2 * given_.network.one_way, [this, life = life_, call] {
            if (life == life_)
                event([this, life, call] {
                    if (life == life_)
                        list_lost(call);
                });
        });
    const auto stands = [this, life = life_, call] { return life == life_ && call == list_call_; };
    const auto answer = [this, life = life_, call, stands](const list_answer &with) {
        const auto bytes =
            static_cast<std::size_t>(answer_bytes + entry_bytes * static_cast<double>(with.members.size()));
        figures_.on_poll(with.refused ? list_poll::rejected
                         : with.whole ? list_poll::snapshot
                                      : list_poll::watch,
                         bytes);
        links_.carry(
            to_list(), direction::backward, given_.network.one_way, bytes,
            [this, life, call, with] {
                if (life == life_)
                    event([this, life, call, with] {
                        if (life == life_)
                            list_came(call, with);
                    });
            },
            stands);
    };
    links_.carry(
        to_list(), direction::forward, given_.network.one_way, static_cast<std::size_t>(answer_bytes),
        [this, stands, out, answer] {
            if (stands())
                list_token_ = service_.call(out.watch_revision, out.watch_timeout, answer);
        },
        stands);
}

void virtual_proxy::list_came(std::uint64_t call, const list_answer &with) {
    if (call != list_call_)
        return;
    if (with.refused && !calls_)
        return list_lost(call);
    ++list_call_;
    list_out_ = false;
    if (calls_) {
        if (with.refused)
            calls_->on_rejected(clock_.now(), with.come_back);
        else if (calls_->on_update(clock_.now(), facts_of(with)) && (with.whole || !with.members.empty()))
            tell(with.whole ? endpoint_update_kind::snapshot : endpoint_update_kind::delta, with.members);
        if (up())
            plan_call();
        return;
    }
    const std::uint64_t known = list_call_;
    revision_ = with.revision;
    if (with.whole || !with.members.empty())
        tell(with.whole ? endpoint_update_kind::snapshot : endpoint_update_kind::delta, with.members);
    if (up() && known == list_call_ && !list_out_)
        call_list();
}

void virtual_proxy::list_lost(std::uint64_t call) {
    if (call != list_call_)
        return;
    ++list_call_;
    list_out_ = false;
    service_.drop(list_token_);
    if (calls_) {
        calls_->on_failure(clock_.now());
        plan_call();
    }
    tell(endpoint_update_kind::poll_failed, {});
}

void virtual_proxy::list_broken() {
    if (up() && given_.list.form == list_service_kind::central && (!calls_ || list_out_))
        list_lost(list_call_);
}

void virtual_proxy::changed(const membership::member &what) {
    if (!up() || !watching_)
        return;
    if (!list_.answers() || !links_.can_connect(to_list()) || chance_.happens(given_.list.lose)) {
        watching_ = false;
        clock_.after(list_limit, [this, life = life_] {
            if (life == life_)
                event([this, life] {
                    if (life == life_)
                        tell(endpoint_update_kind::poll_failed, {});
                });
        });
        return;
    }
    clock_.after(given_.network.one_way, [this, life = life_, what] {
        if (life == life_)
            event([this, life, what] {
                if (life == life_)
                    tell(endpoint_update_kind::delta, {what});
            });
    });
}

void virtual_proxy::tell(endpoint_update_kind kind, const std::vector<membership::member> &members) {
    std::vector<endpoint_info> entries;
    counts_.lists_lost += kind == endpoint_update_kind::poll_failed;
    if (kind == endpoint_update_kind::snapshot || kind == endpoint_update_kind::cached_snapshot)
        std::fill(listed_.begin(), listed_.end(), endpoint_state::removed);
    if (kind == endpoint_update_kind::snapshot) // what a whole list leaves out is gone
        for (const auto &each : list_.all())
            if (each.state == endpoint_state::removed)
                judge_.told(number_, each.server, endpoint_state::removed);
    for (const auto &each : members) {
        endpoint_info made;
        made.endpoint = endpoint_index(each.server);
        made.id = ids_[each.server];
        made.started_at = each.started;
        made.kind = kind_index(each.server == servers_.size() ? 1 : 0);
        made.zone = zone_index(zone_of(given_, each.server));
        made.cell = cell_index(each.server);
        made.state = each.state;
        entries.push_back(made);
        listed_[each.server] = each.state;
        if (kind != endpoint_update_kind::cached_snapshot)
            judge_.told(number_, each.server, each.state);
    }
    router_->on_endpoints_updated(clock_.now(), kind, entries);
    obey();
}

} // namespace harrierpass::testbed
