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

constexpr double record_lifetime = 30;   // s after its last try in which an operation may still be executed
constexpr std::size_t max_histories = 5; // a run that breaks more of them tells nothing new
constexpr double catch_up_time = 0.3; // s after a pause in which a proxy may still be late with its answers

constexpr std::array<const char *, static_cast<std::size_t>(rule::total)> rule_names = {
    "lost", "answered_twice", "two_out", "ran_twice", "drain", "cold", "late", "wrong_body"};

constexpr std::array<const char *, 9> step_names = {
    "asked of proxy",      "completed by proxy",  "rejected by proxy", "aborted by proxy", "cut by proxy",
    "unanswered by proxy", "execution at server", "over at server",    "ran at server"};

template <typename Value> Value &grown_at(std::vector<Value> &in, index at) {
    if (at >= in.size())
        in.resize(at + 1);
    return in[at];
}

} // namespace

const char *name_of(rule which) {
    return rule_names[static_cast<std::size_t>(which)];
}

std::uint64_t rule_checker::broken() const {
    return std::accumulate(broken_.begin(), broken_.end(), overlaps_due());
}

std::uint64_t rule_checker::broken(rule which) const {
    return broken_[static_cast<std::size_t>(which)] + (which == rule::two_out ? overlaps_due() : 0);
}

std::uint64_t rule_checker::overlaps_due() const {
    const double until = clock_.now() - slack_;
    return static_cast<std::uint64_t>(std::count_if(overlaps_.begin(), overlaps_.end(),
                                                    [&](const overlap &each) { return each.when <= until; }));
}

rule_checker::record *rule_checker::find(operation op) {
    const auto found = records_.find(op);
    return found == records_.end() ? nullptr : &found->second;
}

rule_checker::open_attempt *rule_checker::find(record &of, index attempt) {
    const auto found = std::find_if(of.tries.begin(), of.tries.end(),
                                    [&](const open_attempt &each) { return each.attempt == attempt; });
    return found == of.tries.end() ? nullptr : &*found;
}

void rule_checker::record_step(record &to, operation op, step_kind is, index attempt, index who) {
    check_overlaps(clock_.now() - slack_);
    to.steps.push_back({clock_.now(), is, attempt, who});
    for (const std::uint64_t each :
         {std::bit_cast<std::uint64_t>(clock_.now()), op, static_cast<std::uint64_t>(is),
          std::uint64_t{attempt}, std::uint64_t{who}})
        hash_ = (hash_ ^ each) * 1099511628211ULL; // FNV-1a by words
    if (trace != nullptr)
        *trace << std::setprecision(17) << clock_.now() << ' ' << op << '.' << attempt << ' '
               << step_names[static_cast<std::size_t>(is)] << ' ' << who << '\n';
}

void rule_checker::request_sent(operation op, index attempt, index proxy, index use_case, double end) {
    drop_old_records();
    auto &of = records_[op];
    of.use_case = use_case;
    of.tries.push_back({attempt, proxy, 0, end, clock_.now()});
    record_step(of, op, step_kind::asked, attempt, proxy);
}

void rule_checker::response_received(operation op, index attempt, reply how, bool body_fits) {
    record *const of = find(op);
    open_attempt *const one = of != nullptr ? find(*of, attempt) : nullptr;
    if (one == nullptr)
        return record_violation(rule::answered_twice, op, "an answer for a query that nobody asked");
    if (one->gone) // the client has closed its connection: nothing reaches it any more
        return;
    record_step(*of, op,
                how == reply::completed  ? step_kind::completed
                : how == reply::rejected ? step_kind::rejected
                : how == reply::aborted  ? step_kind::aborted
                                         : step_kind::cut,
                attempt, one->proxy);
    if (one->answered)
        record_violation(rule::answered_twice, op, "a second answer for one query");
    one->answered = true;
    if (how == reply::completed && !body_fits)
        record_violation(rule::wrong_body, op, "the answer was made for another query");
    if (how == reply::rejected && of->effects > 0 &&
        experiment_.use_cases[of->use_case].routing.effect == effect_kind::non_idempotent)
        record_violation(rule::ran_twice, op, "rejected, so that its client may ask again, after it ran");
}

void rule_checker::response_missing(operation op, index attempt) {
    record *const of = find(op);
    open_attempt *const one = of != nullptr ? find(*of, attempt) : nullptr;
    if (one == nullptr || one->answered)
        return;
    record_step(*of, op, step_kind::unanswered, attempt, one->proxy);
    one->answered = one->gone = true;
    // What was asked while its proxy stood still lay there unread: how long, no proxy can tell.
    const bool lay =
        one->asked >= grown_at(paused_since_, one->proxy) && one->asked < grown_at(paused_until_, one->proxy);
    const bool stood = lay || grown_at(paused_, one->proxy) > 0 ||
                       grown_at(paused_until_, one->proxy) + catch_up_time > one->end;
    // What reached a server had been read, whatever its client saw of the connection.
    const bool forwarded = std::any_of(of->runs.begin(), of->runs.end(),
                                       [&](const received_attempt &each) { return each.attempt == attempt; });
    const bool excused = one->excused || (one->untaken && !forwarded);
    if (!excused && !stood && !link_impaired(link_kind::client_proxy, 0, one->proxy, one->asked))
        record_violation(rule::lost, op, "no answer before the client's end");
}

void rule_checker::operation_finished(operation op) {
    if (record *const of = find(op)) {
        of->settled = true;
        settled_.emplace_back(clock_.now(), op);
    }
}

void rule_checker::request_not_accepted(operation op, index attempt) {
    if (record *const of = find(op))
        if (open_attempt *const one = find(*of, attempt))
            one->untaken = true;
}

void rule_checker::foreign_request_seen(operation op, index attempt, index use_case) {
    record *const known = find(op);
    if (!allow_unknown_requests || (known != nullptr && find(*known, attempt) != nullptr))
        return;
    drop_old_records();
    auto &of = records_[op];
    of.use_case = use_case;
    of.tries.push_back({attempt, 0, 0, std::numeric_limits<double>::infinity(), clock_.now()});
    if (!std::exchange(of.settled, true))
        settled_.emplace_back(clock_.now(), op);
}

void rule_checker::attempt_received(operation op, index attempt, index server, double sent) {
    ++executions_;
    if (on_received)
        on_received(server);
    record *const of = find(op);
    open_attempt *const one = of != nullptr ? find(*of, attempt) : nullptr;
    if (one == nullptr) // of a process that holds it longer than anybody remembers
        return record_violation(rule::late, op, "sent to a server long after its client's end");
    record_step(*of, op, step_kind::received, attempt, server);
    of->runs.push_back(
        {attempt, server, clock_.now(), link_impaired(link_kind::proxy_server, one->proxy, server, sent)});
    // One that the server could not see end, for a link's sake, is over for its proxy.
    if (one->out > 0 && link_impaired(link_kind::proxy_server, one->proxy, one->out_at, sent))
        one->out = 0;
    one->out_at = server;
    // Nor is one that lay in a link while its proxy gave it up and sent the next.
    // A proxy ends the earlier one's connection first, and its server may see that a moment later than this.
    if (one->out++ > 0 && !link_impaired(link_kind::proxy_server, one->proxy, server, sent)) {
        overlaps_.push_back({op, attempt, server, clock_.now()});
        if (slack_ <= 0)
            finish();
    }
    // What was stopped in its tracks by a fault sends late without a fault of its own.
    const bool stood = grown_at(paused_, one->proxy) > 0 ||
                       grown_at(paused_until_, one->proxy) + catch_up_time > sent ||
                       link_impaired(link_kind::proxy_server, one->proxy, server, sent);
    // What a link held before its proxy could read it is older than the proxy can know: its deadline is a
    // span.
    const bool lay = link_impaired(link_kind::client_proxy, 0, one->proxy, one->asked);
    if (sent > one->end + slack_ && !stood && !lay && !one->excused && !one->untaken)
        record_violation(rule::late, op, "sent to a server after its client's end");
    const auto &known = grown_at(grown_at(announced_states_, one->proxy), server);
    if (known.as != endpoint_state::ready && sent > known.when + experiment_.list.drain_grace + slack_ &&
        !stood && !link_impaired(link_kind::proxy_list, one->proxy, 0, sent))
        record_violation(rule::drain, op,
                         "sent to server " + std::to_string(server) + " longer than the grace after its " +
                             (known.as == endpoint_state::removed ? "end" : "drain") + " was told");
}

void rule_checker::check_overlaps(double until) {
    while (!overlaps_.empty() && overlaps_.front().when <= until) {
        const overlap first = overlaps_.front();
        overlaps_.pop_front();
        record_violation(rule::two_out, first.op, "a second execution while one is out");
    }
}

void rule_checker::finish() {
    check_overlaps(std::numeric_limits<double>::infinity());
}

void rule_checker::attempt_ended(operation op, index attempt, index server) {
    record *const of = find(op);
    if (of == nullptr)
        return;
    check_overlaps(clock_.now() - slack_);
    std::erase_if(overlaps_, [&](const overlap &each) {
        return each.op == op && each.attempt == attempt && each.server != server;
    });
    if (open_attempt *const one = find(*of, attempt); one != nullptr && one->out > 0)
        --one->out;
    record_step(*of, op, step_kind::over, attempt, server);
}

void rule_checker::effect_executed(operation op, index attempt, index server) {
    ++effects_;
    record *const of = find(op);
    if (of == nullptr)
        return;
    record_step(*of, op, step_kind::ran, attempt, server);
    ++of->effects;
    const auto &use = experiment_.use_cases[of->use_case].routing;
    const auto now = std::find_if(of->runs.begin(), of->runs.end(), [&](const received_attempt &each) {
        return each.attempt == attempt && each.server == server && !each.ran;
    });
    if (now == of->runs.end())
        return record_violation(rule::ran_twice, op, "ran more often than it was sent");
    now->ran = true;
    if (of->effects < 2 || use.effect == effect_kind::idempotent)
        return;
    if (use.effect == effect_kind::non_idempotent)
        return record_violation(rule::ran_twice, op, "a non-idempotent operation ran again");
    for (const auto &each : of->runs)
        if (each.ran && &each != &*now && !each.held && !now->held &&
            (deduplication_group_of(experiment_, of->use_case, each.server) !=
                 deduplication_group_of(experiment_, of->use_case, server) ||
             std::abs(each.received - now->received) >= use.deduplication_window))
            return record_violation(rule::ran_twice, op,
                                    "a deduplicated operation was sent where, or when, no server knew of it");
    ++late_effects_;
}

void rule_checker::server_overloaded(index server) {
    ++broken_[static_cast<std::size_t>(rule::cold)];
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << clock_.now() << " s: rule cold: server " << server
         << " was cold and was sent more than it could bear\n";
    if (histories_.size() < max_histories)
        histories_.push_back(text.str());
}

void rule_checker::server_process_died(index server) {
    for (auto &[op, of] : records_)
        for (auto &one : of.tries)
            if (one.out > 0 && one.out_at == server)
                one.out = 0;
}

void rule_checker::endpoint_state_notified(index proxy, index server, endpoint_state as) {
    auto &known = grown_at(grown_at(announced_states_, proxy), server);
    if (known.as == endpoint_state::ready || as == endpoint_state::ready) // the first word of an end counts
        known = {as, clock_.now()};
    known.as = as;
}

void rule_checker::proxy_restarted(index proxy, bool killed) {
    for (auto &each : grown_at(announced_states_, proxy)) // the next process has heard of nothing
        each = {};
    for (auto &[op, of] : records_)
        for (auto &one : of.tries)
            one.excused = one.excused || (killed && one.proxy == proxy);
}

void rule_checker::proxy_paused(index proxy, bool begins) {
    auto &held = grown_at(paused_, proxy);
    if (begins && held == 0)
        grown_at(paused_since_, proxy) = clock_.now();
    held += begins ? 1 : held > 0 ? static_cast<index>(-1) : 0;
    grown_at(paused_until_, proxy) = clock_.now();
}

void rule_checker::link_fault_changed(link_kind kind, index near, index far, bool begins) {
    auto &of = links_[{kind, near, far}];
    if (begins && !of.now)
        of.since = clock_.now();
    of.now = begins;
    of.until = clock_.now();
    if (begins || kind != link_kind::proxy_list)
        return;
    // What the list said meanwhile reaches its proxy now.
    for (auto &known : grown_at(announced_states_, near))
        if (known.as != endpoint_state::ready && known.when >= of.since)
            known.when = clock_.now();
}

// Whether a link was in trouble at some time from `at` on, or just before.
bool rule_checker::link_impaired(link_kind kind, index near, index far, double at) const {
    const auto found = links_.find({kind, near, far});
    return found != links_.end() && (found->second.now || found->second.until + catch_up_time > at);
}

void rule_checker::record_violation(rule which, operation op, const std::string &why) {
    ++broken_[static_cast<std::size_t>(which)];
    if (histories_.size() >= max_histories)
        return;
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << clock_.now() << " s: rule " << name_of(which) << ": " << why
         << '\n'
         << history(op);
    histories_.push_back(text.str());
}

std::string rule_checker::history(operation op) const {
    std::ostringstream text;
    text << std::fixed << std::setprecision(4);
    const auto found = records_.find(op);
    if (found == records_.end())
        return "  operation " + std::to_string(op) + ": nothing is known of it any more\n";
    text << "  operation " << op << ", use case " << experiment_.use_cases[found->second.use_case].name
         << '\n';
    auto steps = found->second.steps;
    std::stable_sort(steps.begin(), steps.end(),
                     [](const step &one, const step &two) { return one.when < two.when; });
    for (const auto &each : steps)
        text << "  " << std::setw(10) << each.when << "  try " << each.attempt << "  "
             << step_names[static_cast<std::size_t>(each.is)] << ' ' << each.who << '\n';
    for (const auto &each : found->second.tries)
        text << "  try " << each.attempt << " ends at " << each.end << '\n';
    return text.str();
}

// Guards the memory of long runs.
void rule_checker::drop_old_records() {
    while (!settled_.empty() && settled_.front().first + record_lifetime < clock_.now()) {
        records_.erase(settled_.front().second);
        settled_.pop_front();
    }
}

} // namespace harrierpass::testbed
