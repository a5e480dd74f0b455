// SPDX-License-Identifier: Apache-2.0
#include "proxy/desk.hpp"

#include <algorithm>
#include <chrono>

namespace harrierpass::proxy {
namespace {

double unix_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

constexpr double longest_sleep = 0.25; // s; after it the timer looks whether it is to end

} // namespace

desk::desk(std::shared_ptr<const configuration> given, router_maker made_by)
    : unix_start_(unix_now()), steady_start_(steady_now()), given_(std::move(given)),
      router_(made_by(given_->decisions, given_->seed, now())), wake_at_(unix_start_) {}

std::shared_ptr<const configuration> desk::given() {
    const std::lock_guard hold(lock_);
    return given_;
}

double desk::now() const {
    return unix_start_ + (steady_now() - steady_start_);
}

// Every report to the router goes through here: one clock, read under the lock, so that its time never runs
// back; what it decided is handed out before the next report.
template <typename What> void desk::tell(What what) {
    std::vector<index> probes;
    bool subscribes = false;
    {
        const std::lock_guard hold(lock_);
        what(now());
        hand_out(probes, subscribes);
    }
    for (const index server : probes)
        on_probe(server);
    if (subscribes)
        on_subscribe();
}

void desk::hand_out(std::vector<index> &probes, bool &subscribes) {
    for (const action &act : router_->actions) {
        ticket *const of = act.query != none ? tickets_[act.query] : nullptr;
        switch (act.kind) {
        case action_kind::send:
            of->now_ = {orders::kind::send, act.server, of->sent_++, false, 0};
            of->used_.push_back(act.server);
            ++refers_[act.server];
            break;
        case action_kind::cancel:
            of->now_.call_off = of->now_.execution == act.execution;
            break;
        case action_kind::reject:
            of->now_.what = orders::kind::reject;
            of->now_.come_back = act.time;
            break;
        case action_kind::abort:
            of->now_.what = orders::kind::abort;
            break;
        case action_kind::release:
            tickets_[act.query] = nullptr;
            free_.push_back(act.query);
            of->query_ = none;
            for (const index each : of->used_)
                --refers_[each];
            continue; // its thread is the one that reported its end
        case action_kind::probe:
            probes.push_back(act.server);
            ++refers_[act.server];
            continue;
        case action_kind::wake:
            wake_at_ = act.time;
            continue;
        case action_kind::subscribe:
            subscribes = true;
            continue;
        }
        if (!pthread_equal(of->waiter_, pthread_self()))
            call(of->waiter_);
    }
    router_->actions.clear();
}

bool desk::arrived(ticket &of, new_query from, const std::shared_ptr<const configuration> &by) {
    bool taken = false;
    tell([&](double now) {
        // Guards against an index into lists of names that are no longer in force.
        if (by != given_)
            return;
        taken = true;
        if (free_.empty()) {
            free_.push_back(static_cast<index>(tickets_.size()));
            tickets_.push_back(nullptr);
        }
        from.query = of.query_ = free_.back();
        free_.pop_back();
        of.waiter_ = pthread_self();
        tickets_[from.query] = &of;
        router_->arrived(now, from);
    });
    return taken;
}

orders desk::look(ticket &of) {
    const std::lock_guard hold(lock_);
    const orders now = of.now_;
    if (now.what == orders::kind::send)
        of.now_.what = orders::kind::running;
    return now;
}

double desk::write_by(ticket &of) {
    const std::lock_guard hold(lock_);
    const bool stands = of.query_ != none && of.now_.what == orders::kind::running && !of.now_.call_off;
    return stands ? router_->write_by(of.query_) : 0;
}

void desk::ended(ticket &of, outcome result, bool fetched) {
    tell([&](double now) {
        const index execution = of.now_.execution;
        of.now_.call_off = false;
        if (of.now_.what == orders::kind::running)
            of.now_ = {};
        if (of.query_ != none)
            router_->ended(now, of.query_, execution, result, result == outcome::completed, fetched);
    });
}

void desk::dropped(ticket &of, outcome result) {
    tell([&](double now) {
        if (of.query_ != none)
            router_->ended(now, of.query_, of.now_.execution, result, true, false);
    });
}

void desk::begun(ticket &of, bool fetched) {
    tell([&](double now) {
        if (of.query_ != none)
            router_->begun(now, of.query_, fetched);
    });
}

void desk::written(ticket &of, double statement_end) {
    tell([&](double now) {
        if (of.query_ != none)
            router_->written(now, of.query_, statement_end);
    });
}

void desk::left(ticket &of) {
    tell([&](double now) {
        if (of.query_ != none)
            router_->left(now, of.query_);
    });
}

bool desk::finished(ticket &of) {
    const std::lock_guard hold(lock_);
    return of.query_ == none;
}

void desk::make_places(std::span<const list_entry> entries) {
    for (const auto &each : entries)
        if (each.server >= refers_.size())
            refers_.resize(each.server + 1);
}

void desk::listed(list_kind kind, std::span<const list_entry> entries) {
    tell([&](double now) {
        make_places(entries);
        router_->listed(now, kind, entries);
    });
}

void desk::adopt(std::shared_ptr<const configuration> next, std::span<const list_entry> entries) {
    tell([&](double now) {
        make_places(entries);
        given_ = std::move(next);
        router_->adopt(now, given_->decisions);
        router_->listed(now, list_kind::whole, entries);
    });
}

void desk::probed(index server, std::optional<bool> answered) {
    tell([&](double now) {
        --refers_[server];
        if (answered)
            router_->probed(now, server, *answered);
    });
}

bool desk::refers(index server) {
    const std::lock_guard hold(lock_);
    return server < refers_.size() && refers_[server] > 0;
}

std::size_t desk::avoided(std::span<const index> of) {
    const std::lock_guard hold(lock_);
    return static_cast<std::size_t>(
        std::count_if(of.begin(), of.end(), [&](index each) { return router_->avoids(each); }));
}

subset_view desk::subset() {
    const std::lock_guard hold(lock_);
    return router_->subset();
}

void desk::run_timer(const std::function<bool()> &over) {
    while (!over()) {
        double due;
        {
            const std::lock_guard hold(lock_);
            due = wake_at_;
            if (due <= now())
                wake_at_ = now() + longest_sleep; // should the router fail to say when
        }
        if (const double wait = due - now(); wait > 0) {
            wait_on({}, std::min(wait, longest_sleep));
            continue;
        }
        try {
            tell([&](double now) { router_->woken(now); });
        } catch (const std::bad_alloc &) { // the next sweep finds what this one left
        }
    }
}

} // namespace harrierpass::proxy
