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

constexpr double memory = 30;           // s after its last try in which an operation may still be executed
constexpr std::size_t most_stories = 5; // a run that breaks more of them tells nothing new
constexpr double catch_up = 0.3;        // s after a pause in which a proxy may still be late with its answers

constexpr std::array<const char *, static_cast<std::size_t>(rule::total)> names = {
    "lost", "answered_twice", "two_out", "ran_twice", "drain", "cold", "late", "wrong_body"};

constexpr std::array<const char *, 9> words = {
    "asked of proxy",      "completed by proxy",  "rejected by proxy", "aborted by proxy", "cut by proxy",
    "unanswered by proxy", "execution at server", "over at server",    "ran at server"};

template <typename Value> Value &place(std::vector<Value> &in, index at) {
    if (at >= in.size())
        in.resize(at + 1);
    return in[at];
}

} // namespace

const char *name_of(rule which) {
    return names[static_cast<std::size_t>(which)];
}

std::uint64_t referee::broken() const {
    return std::accumulate(broken_.begin(), broken_.end(), overlaps_due());
}

std::uint64_t referee::broken(rule which) const {
    return broken_[static_cast<std::size_t>(which)] + (which == rule::two_out ? overlaps_due() : 0);
}

std::uint64_t referee::overlaps_due() const {
    const double until = clock_.now() - slack_;
    return static_cast<std::uint64_t>(std::count_if(overlaps_.begin(), overlaps_.end(),
                                                    [&](const overlap &each) { return each.when <= until; }));
}

referee::record *referee::find(operation op) {
    const auto found = records_.find(op);
    return found == records_.end() ? nullptr : &found->second;
}

referee::open_try *referee::find(record &of, index attempt) {
    const auto found = std::find_if(of.tries.begin(), of.tries.end(),
                                    [&](const open_try &each) { return each.attempt == attempt; });
    return found == of.tries.end() ? nullptr : &*found;
}

void referee::note(record &to, operation op, what is, index attempt, index who) {
    judge_overlaps(clock_.now() - slack_);
    to.steps.push_back({clock_.now(), is, attempt, who});
    for (const std::uint64_t each :
         {std::bit_cast<std::uint64_t>(clock_.now()), op, static_cast<std::uint64_t>(is),
          std::uint64_t{attempt}, std::uint64_t{who}})
        hash_ = (hash_ ^ each) * 1099511628211ULL; // FNV-1a by words
    if (trace != nullptr)
        *trace << std::setprecision(17) << clock_.now() << ' ' << op << '.' << attempt << ' '
               << words[static_cast<std::size_t>(is)] << ' ' << who << '\n';
}

void referee::request_sent(operation op, index attempt, index proxy, index use_case, double end) {
    forget();
    auto &of = records_[op];
    of.use_case = use_case;
    of.tries.push_back({attempt, proxy, 0, end, clock_.now()});
    note(of, op, what::asked, attempt, proxy);
}

void referee::response_received(operation op, index attempt, reply how, bool body_fits) {
    record *const of = find(op);
    open_try *const one = of != nullptr ? find(*of, attempt) : nullptr;
    if (one == nullptr)
        return blame(rule::answered_twice, op, "an answer for a query that nobody asked");
    if (one->gone) // the client has closed its connection: nothing reaches it any more
        return;
    note(*of, op,
         how == reply::completed  ? what::completed
         : how == reply::rejected ? what::rejected
         : how == reply::aborted  ? what::aborted
                                  : what::cut,
         attempt, one->proxy);
    if (one->answered)
        blame(rule::answered_twice, op, "a second answer for one query");
    one->answered = true;
    if (how == reply::completed && !body_fits)
        blame(rule::wrong_body, op, "the answer was made for another query");
    if (how == reply::rejected && of->effects > 0 &&
        given_.use_cases[of->use_case].routing.effect == effect_kind::non_idempotent)
        blame(rule::ran_twice, op, "rejected, so that its client may ask again, after it ran");
}

void referee::response_missing(operation op, index attempt) {
    record *const of = find(op);
    open_try *const one = of != nullptr ? find(*of, attempt) : nullptr;
    if (one == nullptr || one->answered)
        return;
    note(*of, op, what::unanswered, attempt, one->proxy);
    one->answered = one->gone = true;
    // What was asked while its proxy stood still lay there unread: how long, no proxy can tell.
    const bool lay =
        one->asked >= place(paused_since_, one->proxy) && one->asked < place(paused_until_, one->proxy);
    const bool stood =
        lay || place(paused_, one->proxy) > 0 || place(paused_until_, one->proxy) + catch_up > one->end;
    // What reached a server had been read, whatever its client saw of the connection.
    const bool forwarded = std::any_of(of->runs.begin(), of->runs.end(),
                                       [&](const run_of &each) { return each.attempt == attempt; });
    const bool excused = one->excused || (one->untaken && !forwarded);
    if (!excused && !stood && !strained(link_kind::client_proxy, 0, one->proxy, one->asked))
        blame(rule::lost, op, "no answer before the client's end");
}

void referee::operation_finished(operation op) {
    if (record *const of = find(op)) {
        of->settled = true;
        settled_.emplace_back(clock_.now(), op);
    }
}

void referee::request_not_accepted(operation op, index attempt) {
    if (record *const of = find(op))
        if (open_try *const one = find(*of, attempt))
            one->untaken = true;
}

void referee::foreign_request_seen(operation op, index attempt, index use_case) {
    record *const known = find(op);
    if (!strangers || (known != nullptr && find(*known, attempt) != nullptr))
        return;
    forget();
    auto &of = records_[op];
    of.use_case = use_case;
    of.tries.push_back({attempt, 0, 0, std::numeric_limits<double>::infinity(), clock_.now()});
    if (!std::exchange(of.settled, true))
        settled_.emplace_back(clock_.now(), op);
}

void referee::attempt_received(operation op, index attempt, index server, double sent) {
    ++executions_;
    if (on_received)
        on_received(server);
    record *const of = find(op);
    open_try *const one = of != nullptr ? find(*of, attempt) : nullptr;
    if (one == nullptr) // of a process that holds it longer than anybody remembers
        return blame(rule::late, op, "sent to a server long after its client's end");
    note(*of, op, what::received, attempt, server);
    of->runs.push_back(
        {attempt, server, clock_.now(), strained(link_kind::proxy_server, one->proxy, server, sent)});
    // One that the server could not see end, for a link's sake, is over for its proxy.
    if (one->out > 0 && strained(link_kind::proxy_server, one->proxy, one->out_at, sent))
        one->out = 0;
    one->out_at = server;
    // Nor is one that lay in a link while its proxy gave it up and sent the next.
    // A proxy ends the earlier one's connection first, and its server may see that a moment later than this.
    if (one->out++ > 0 && !strained(link_kind::proxy_server, one->proxy, server, sent)) {
        overlaps_.push_back({op, attempt, server, clock_.now()});
        if (slack_ <= 0)
            finish();
    }
    // What was stopped in its tracks by a fault sends late without a fault of its own.
    const bool stood = place(paused_, one->proxy) > 0 || place(paused_until_, one->proxy) + catch_up > sent ||
                       strained(link_kind::proxy_server, one->proxy, server, sent);
    // What a link held before its proxy could read it is older than the proxy can know: its deadline is a
    // span.
    const bool lay = strained(link_kind::client_proxy, 0, one->proxy, one->asked);
    if (sent > one->end + slack_ && !stood && !lay && !one->excused && !one->untaken)
        blame(rule::late, op, "sent to a server after its client's end");
    const auto &known = place(place(told_, one->proxy), server);
    if (known.as != endpoint_state::ready && sent > known.when + given_.list.drain_grace + slack_ && !stood &&
        !strained(link_kind::proxy_list, one->proxy, 0, sent))
        blame(rule::drain, op,
              "sent to server " + std::to_string(server) + " longer than the grace after its " +
                  (known.as == endpoint_state::removed ? "end" : "drain") + " was told");
}

void referee::judge_overlaps(double until) {
    while (!overlaps_.empty() && overlaps_.front().when <= until) {
        const overlap first = overlaps_.front();
        overlaps_.pop_front();
        blame(rule::two_out, first.op, "a second execution while one is out");
    }
}

void referee::finish() {
    judge_overlaps(std::numeric_limits<double>::infinity());
}

void referee::attempt_ended(operation op, index attempt, index server) {
    record *const of = find(op);
    if (of == nullptr)
        return;
    judge_overlaps(clock_.now() - slack_);
    std::erase_if(overlaps_, [&](const overlap &each) {
        return each.op == op && each.attempt == attempt && each.server != server;
    });
    if (open_try *const one = find(*of, attempt); one != nullptr && one->out > 0)
        --one->out;
    note(*of, op, what::over, attempt, server);
}

void referee::effect_executed(operation op, index attempt, index server) {
    ++effects_;
    record *const of = find(op);
    if (of == nullptr)
        return;
    note(*of, op, what::ran, attempt, server);
    ++of->effects;
    const auto &use = given_.use_cases[of->use_case].routing;
    const auto now = std::find_if(of->runs.begin(), of->runs.end(), [&](const run_of &each) {
        return each.attempt == attempt && each.server == server && !each.ran;
    });
    if (now == of->runs.end())
        return blame(rule::ran_twice, op, "ran more often than it was sent");
    now->ran = true;
    if (of->effects < 2 || use.effect == effect_kind::idempotent)
        return;
    if (use.effect == effect_kind::non_idempotent)
        return blame(rule::ran_twice, op, "a non-idempotent operation ran again");
    for (const auto &each : of->runs)
        if (each.ran && &each != &*now && !each.held && !now->held &&
            (deduplication_group_of(given_, of->use_case, each.server) !=
                 deduplication_group_of(given_, of->use_case, server) ||
             std::abs(each.received - now->received) >= use.deduplication_window))
            return blame(rule::ran_twice, op,
                         "a deduplicated operation was sent where, or when, no server knew of it");
    ++late_effects_;
}

void referee::server_overloaded(index server) {
    ++broken_[static_cast<std::size_t>(rule::cold)];
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << clock_.now() << " s: rule cold: server " << server
         << " was cold and was sent more than it could bear\n";
    if (stories_.size() < most_stories)
        stories_.push_back(text.str());
}

void referee::server_process_died(index server) {
    for (auto &[op, of] : records_)
        for (auto &one : of.tries)
            if (one.out > 0 && one.out_at == server)
                one.out = 0;
}

void referee::endpoint_state_notified(index proxy, index server, endpoint_state as) {
    auto &known = place(place(told_, proxy), server);
    if (known.as == endpoint_state::ready || as == endpoint_state::ready) // the first word of an end counts
        known = {as, clock_.now()};
    known.as = as;
}

void referee::proxy_restarted(index proxy, bool killed) {
    for (auto &each : place(told_, proxy)) // the next process has heard of nothing
        each = {};
    for (auto &[op, of] : records_)
        for (auto &one : of.tries)
            one.excused = one.excused || (killed && one.proxy == proxy);
}

void referee::proxy_paused(index proxy, bool begins) {
    auto &held = place(paused_, proxy);
    if (begins && held == 0)
        place(paused_since_, proxy) = clock_.now();
    held += begins ? 1 : held > 0 ? static_cast<index>(-1) : 0;
    place(paused_until_, proxy) = clock_.now();
}

void referee::link_fault_changed(link_kind kind, index near, index far, bool begins) {
    auto &of = links_[{kind, near, far}];
    if (begins && !of.now)
        of.since = clock_.now();
    of.now = begins;
    of.until = clock_.now();
    if (begins || kind != link_kind::proxy_list)
        return;
    // What the list said meanwhile reaches its proxy now.
    for (auto &known : place(told_, near))
        if (known.as != endpoint_state::ready && known.when >= of.since)
            known.when = clock_.now();
}

// Whether a link was in trouble at some time from `at` on, or just before.
bool referee::strained(link_kind kind, index near, index far, double at) const {
    const auto found = links_.find({kind, near, far});
    return found != links_.end() && (found->second.now || found->second.until + catch_up > at);
}

void referee::blame(rule which, operation op, const std::string &why) {
    ++broken_[static_cast<std::size_t>(which)];
    if (stories_.size() >= most_stories)
        return;
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << clock_.now() << " s: rule " << name_of(which) << ": " << why
         << '\n'
         << story(op);
    stories_.push_back(text.str());
}

std::string referee::story(operation op) const {
    std::ostringstream text;
    text << std::fixed << std::setprecision(4);
    const auto found = records_.find(op);
    if (found == records_.end())
        return "  operation " + std::to_string(op) + ": nothing is known of it any more\n";
    text << "  operation " << op << ", use case " << given_.use_cases[found->second.use_case].name << '\n';
    auto steps = found->second.steps;
    std::stable_sort(steps.begin(), steps.end(),
                     [](const step &one, const step &two) { return one.when < two.when; });
    for (const auto &each : steps)
        text << "  " << std::setw(10) << each.when << "  try " << each.attempt << "  "
             << words[static_cast<std::size_t>(each.is)] << ' ' << each.who << '\n';
    for (const auto &each : found->second.tries)
        text << "  try " << each.attempt << " ends at " << each.end << '\n';
    return text.str();
}

// Guards the memory of long runs.
void referee::forget() {
    while (!settled_.empty() && settled_.front().first + memory < clock_.now()) {
        records_.erase(settled_.front().second);
        settled_.pop_front();
    }
}

} // namespace harrierpass::testbed
