// SPDX-License-Identifier: Apache-2.0
// When a proxy calls the list service, what it asks for, and what it does with the answer. No I/O: who
// carries it out asks due(), makes the call that begin() says, and reports what came of it. One call is out
// at a time.
//
// state     input                    next      effect
// empty     start                    empty     the whole list, by chance within the first window
// known     start                    known     a watch from its revision, by chance within the first window;
// the
//                                              proxy serves meanwhile
// any       an answer believed       current   taken; the next watch after a breath
// any       a list in doubt          doubtful  what stands goes on; the whole list is asked for, by chance
// within
//                                              the first window
// doubtful  as many more alike       current   taken
// doubtful  another answer           by that   the doubt is forgotten
// any       refused                  as it is  not before it was told, and then by chance within a window
// that
//                                              grows with each refusal
// any       lost                     as it is  by chance within a gap that doubles up to a cap; with a list,
// a
//                                              watch from its revision
// any       another service          empty     the whole list at once, and nothing is doubted until it has
// come
//
// With an agent beside the proxy nothing is spread or doubted: the first call is made at once and for the
// whole list, the next watch follows each answer, and after a loss the router says when to ask again
// (asked()).
#pragma once

#include "discovery/poll_intervals.hpp"
#include "discovery/snapshot_plausibility.hpp"

#include <optional>
#include <random>

namespace harrierpass::discovery {

enum class poll_state : std::uint8_t { no_endpoints, cached_endpoints, current, awaiting_confirmation };
const char *name_of(poll_state of);

struct endpoint_poll {
    std::optional<std::uint64_t> watch_revision; // a watch from this revision on; none: the whole list
    double watch_timeout = 0;                    // s that the service may hold it
    double timeout = 0;                          // s until it counts as lost, the wait included
};

class poll_schedule {
public:
    // `known`: the revision of the list that the proxy starts with, if it has one.
    poll_schedule(const poll_settings &given, std::uint32_t seed, double now,
                  std::optional<std::uint64_t> known);

    double next_poll_at() const { return next_poll_at_; } // infinity: not before asked()
    endpoint_poll start_poll(double now);                 // the call that is due
    bool on_update(double now,
                   const snapshot_facts &what);     // true: believed, to be taken; else it stands aside
    void on_rejected(double now, double come_back); // s; 0: not told
    void on_failure(double now);
    void request_poll(double now); // the router's wish; only an agent's calls wait for it
    void on_settings_changed(double now, const poll_settings &given);

    poll_state state() const { return state_; }
    snapshot_doubt latest_doubt() const { return doubt_; } // of the latest answer
    std::uint64_t revision() const { return revision_; }
    const poll_intervals &intervals() const { return intervals_; }

private:
    double random_fraction(); // by chance, in [0, 1)
    void schedule_poll(double now, double delay);
    double available_tokens(double now) const; // the calls that may still be made, by then
    bool is_agent() const { return service_kind_ == list_service_kind::agent; }

    list_service_kind service_kind_;
    poll_intervals intervals_;
    std::minstd_rand random_;
    poll_state state_ = poll_state::no_endpoints;
    snapshot_doubt doubt_ = snapshot_doubt::none;
    index confirmations_ = 0; // answers in the same doubt, one after the other
    std::uint64_t revision_ = 0, doubted_revision_ = 0;
    double next_poll_at_ = 0, backoff_ = 0, rejected_window_ = 0;
    double tokens_ = 0, tokens_updated_at_ = 0; // calls that may still be made; when that was counted
};

} // namespace harrierpass::discovery
