// SPDX-License-Identifier: Apache-2.0
#include "lab/runs/virtual_proxy.hpp"

#include "lab/world/ids.hpp"

#include <algorithm>

namespace harrierpass::lab {
namespace {

constexpr double list_limit = 1;    // s for discovery to answer
constexpr double probe_limit = 0.5; // s for a server's answer to a probe
constexpr double start_time = 0.05; // s from a proxy's start to its first list
constexpr double own_margin = 0.01; // s after the client's end; the router gives its final answer before
constexpr index plant_every = 50;   // every so many chances a planted fault is done

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
    found_after.add(that.found_after);
}

virtual_proxy::virtual_proxy(timeline &clock, const experiment &given, const variant_spec &as, index number,
                             fleet &servers, membership &list, referee &judge, std::uint32_t seed)
    : clock_(clock), given_(given), as_(as), number_(number), servers_(servers), list_(list), judge_(judge),
      chance_(seed) {
    for (index i = 0; i <= servers.size(); ++i)
        ids_.push_back(i == servers.size() ? "origin" : server_id(i));
}

void virtual_proxy::start() {
    router_ = make_decider(as_.by, settings_for(given_, number_), chance_.seed(), clock_.now());
    watching_ = false;
    clock_.after(start_time, [this, life = life_] {
        if (life == life_)
            subscribe();
    });
    obey();
}

void virtual_proxy::kill() {
    ++life_;
    judge_.restarted(number_);
    for (index i = 0; i < held_.size(); ++i)
        if (auto &of = held_[i]; of.live) {
            end_out(of);
            if (!of.answered && !of.gone)
                on_answer(of.is, reply::cut, 0, false);
        }
    held_.clear();
    free_.clear();
    released_.clear();
    late_.clear();
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
    return server < servers_.size() && zone_of(given_, server) != zone_of(given_, number_)
               ? given_.network.cross_zone
               : given_.network.one_way;
}

bool virtual_proxy::planted(plant which, index every) {
    return as_.breaks == which && ++plants_ % every == 0;
}

void virtual_proxy::take(const asking &query) {
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
        new_query made;
        made.query = at;
        made.use_case = query.use_case;
        made.tenant = query.tenant;
        made.has_key = query.keyed;
        made.write = query.write;
        made.key = query.key;
        made.statement_end = query.end;
        clock_.at(query.end + own_margin, [this, life = life_, at, serial = of.serial] {
            if (life == life_)
                event([this, life, at, serial] {
                    if (life == life_)
                        time_up(at, serial);
                });
        });
        router_->arrived(clock_.now(), made);
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
        router_->left(clock_.now(), query);
        router_->ended(clock_.now(), query, of.sent - 1, outcome::canceled, true, false);
    } else {
        router_->left(clock_.now(), query);
    }
    obey();
}

void virtual_proxy::leave(operation op, index attempt) {
    event([this, op, attempt] {
        for (index i = 0; up() && i < held_.size(); ++i)
            if (auto &of = held_[i]; of.live && of.is.op == op && of.is.attempt == attempt && !of.gone) {
                of.gone = true;
                if (!of.answered)
                    router_->left(clock_.now(), i);
                return obey();
            }
    });
}

void virtual_proxy::obey() {
    // A report made while obeying may add further actions.
    for (std::size_t i = 0; up() && i < router_->actions.size(); ++i) {
        const action act = router_->actions[i];
        switch (act.kind) {
        case action_kind::send:
            send(act.query, act.server);
            break;
        case action_kind::cancel:
            if (auto &of = held_[act.query]; of.out_at != none && of.sent == act.execution + 1) {
                ++counts_.called_off;
                counts_.false_called_off += suspects(of.out_at);
                const index number = act.execution;
                const auto serial = of.serial;
                clock_.after(0, [this, life = life_, query = act.query, number, serial] {
                    if (life == life_)
                        come(query, number, serial, outcome::canceled, false);
                });
            }
            break;
        case action_kind::reject:
            ++counts_.rejected;
            answer(act.query, reply::rejected, act.time);
            break;
        case action_kind::abort:
            ++counts_.aborted;
            answer(act.query, reply::aborted, 0);
            break;
        case action_kind::release:
            released_.push_back(act.query);
            break;
        case action_kind::probe:
            probe(act.server);
            break;
        case action_kind::wake:
            wake_at_ = act.time;
            clock_.at(act.time, [this, life = life_, at = act.time] {
                if (life == life_ && at == wake_at_)
                    event([this, life] {
                        if (life != life_)
                            return;
                        router_->woken(clock_.now());
                        obey();
                    });
            });
            break;
        case action_kind::subscribe:
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

// Its connection ends: nothing that comes of it is heard any more.
void virtual_proxy::end_out(held &of) {
    if (of.out_at != none)
        judge_.over(of.is.op, of.is.attempt, of.out_at);
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
                    : list_.all()[i].state == listing::draining && servers_.at(i).up())
                to = i;
        }
    of.out_at = to;
    of.life = to < servers_.size() ? servers_.at(to).life() : 0;
    ++counts_.sent;
    reach(query, to, number, of.serial, clock_.now(), false);
    // What its caps would hold back: four times the work.
    for (int more = 0; more < 3 && as_.breaks == plant::push_cold && to != server; ++more)
        reach(query, to, number, of.serial, clock_.now(), true);
    if (planted(plant::two_out, plant_every))
        reach(query, (to + 1) % servers_.size(), number, of.serial, clock_.now(), true);
}

void virtual_proxy::reach(index query, index server, index number, std::uint64_t serial, double sent,
                          bool extra) {
    const auto &is = held_[query].is;
    job what{is.op, is.attempt, is.use_case, is.write, is.keyed, is.key, held_[query].missed_at};
    const double there = way(server);
    const auto back = [this, life = life_, query, number, serial](double wait, outcome result, bool fetched) {
        clock_.after(wait, [this, life, query, number, serial, result, fetched] {
            if (life == life_)
                event([this, life, query, number, serial, result, fetched] {
                    if (life == life_)
                        come(query, number, serial, result, fetched);
                });
        });
    };
    const auto answered = [back, there](const result &with) {
        const bool fetched = with.says == note::miss || with.says == note::pending;
        switch (with.is) {
        case result::kind::completed:
            return back(there, outcome::completed, fetched);
        case result::kind::queue_full:
            return back(there, outcome::queue_full, false);
        case result::kind::missed:
            return back(there, outcome::miss, false);
        case result::kind::error:
        case result::kind::spoilt:
            return back(there, outcome::error, false);
        }
    };
    if (server < servers_.size()) {
        auto &to = servers_.at(server);
        if (to.silent()) // never comes up
            return back(given_.network.dial_limit, outcome::connect_error, false);
        if (!to.up())
            return back(2 * there, outcome::connect_error, false);
    }
    clock_.after(
        there, [this, server, what, sent, extra, answered, back, query, number, serial, there, life = life_] {
            const bool at_origin = server == servers_.size();
            if (!at_origin && (servers_.at(server).silent() || !servers_.at(server).up())) {
                if (!servers_.at(server).up())
                    back(there, outcome::connect_error, false);
                return;
            }
            judge_.received(what.op, what.attempt, server, sent);
            if (!extra &&
                (life != life_ || held_.size() <= query || held_[query].serial != serial ||
                 !held_[query].live || held_[query].sent != number + 1 || held_[query].out_at != server))
                judge_.over(what.op, what.attempt, server); // given up while it was on its way
            if (at_origin)
                servers_.receive_at_origin(what, answered);
            else
                servers_.at(server).receive(what, answered);
        });
}

void virtual_proxy::broken(index server) {
    for (index i = 0; up() && i < held_.size(); ++i)
        if (const auto &of = held_[i]; of.live && of.out_at == server)
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
    if (result == outcome::miss)
        of.missed_at = server;
    end_out(of);
    counts_.resets += result == outcome::reset;
    counts_.errors += result == outcome::error;
    counts_.full += result == outcome::queue_full;
    counts_.connect_errors += result == outcome::connect_error;
    const bool completed = result == outcome::completed;
    if (completed && planted(plant::run_twice, plant_every)) {
        reach(query, server, number, serial, clock_.now(), true);
    }
    if (completed && planted(plant::late, plant_every)) {
        const asking is = of.is;
        clock_.at(is.end + 0.5, [this, is, server] {
            judge_.received(is.op, is.attempt, server, clock_.now());
            judge_.over(is.op, is.attempt, server);
        });
    }
    if (completed && !of.answered) {
        ++counts_.completed;
        answer(query, reply::completed, 0);
    }
    router_->ended(clock_.now(), query, number, result, completed, fetched);
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
            router_->ended(clock_.now(), query, number, outcome::canceled, true, false);
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
            router_->probed(clock_.now(), server, answered);
            obey();
        });
    };
    if (server >= servers_.size())
        return clock_.after(2 * way(server), [over] { over(true); });
    const auto &to = servers_.at(server);
    const bool answered = to.answers_probes();
    clock_.after(answered || !to.up() ? 2 * way(server) : probe_limit, [over, answered] { over(answered); });
}

// ---- The list

void virtual_proxy::subscribe() {
    watching_ = false;
    const double wait = given_.network.one_way * 2;
    clock_.after(wait, [this, life = life_] {
        if (life != life_ || !up())
            return;
        if (!list_.answers() || chance_.happens(given_.list.lose))
            return clock_.after(list_limit, [this, life] {
                if (life == life_)
                    event([this, life] {
                        if (life == life_)
                            tell(list_kind::lost, {});
                    });
            });
        event([this, life] {
            if (life != life_)
                return;
            watching_ = true;
            std::vector<membership::member> all;
            for (const auto &each : list_.all())
                if (each.state != listing::gone)
                    all.push_back(each);
            tell(list_kind::whole, all);
        });
    });
}

void virtual_proxy::changed(const membership::member &what) {
    if (!up() || !watching_)
        return;
    if (!list_.answers() || chance_.happens(given_.list.lose)) {
        watching_ = false;
        clock_.after(list_limit, [this, life = life_] {
            if (life == life_)
                event([this, life] {
                    if (life == life_)
                        tell(list_kind::lost, {});
                });
        });
        return;
    }
    clock_.after(given_.network.one_way, [this, life = life_, what] {
        if (life == life_)
            event([this, life, what] {
                if (life == life_)
                    tell(list_kind::changes, {what});
            });
    });
}

void virtual_proxy::tell(list_kind kind, const std::vector<membership::member> &members) {
    std::vector<list_entry> entries;
    if (kind == list_kind::whole) // what a whole list leaves out is gone
        for (const auto &each : list_.all())
            if (each.state == listing::gone)
                judge_.told(number_, each.server, listing::gone);
    for (const auto &each : members) {
        list_entry made;
        made.server = each.server;
        made.id = ids_[each.server];
        made.started = each.started;
        made.kind = each.server == servers_.size() ? 1 : 0;
        made.zone = zone_of(given_, each.server);
        made.cell = each.server;
        made.state = each.state;
        entries.push_back(made);
        judge_.told(number_, each.server, each.state);
    }
    router_->listed(clock_.now(), kind, entries);
    obey();
}

} // namespace harrierpass::lab
