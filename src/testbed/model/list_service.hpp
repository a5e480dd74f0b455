// SPDX-License-Identifier: Apache-2.0
// Model of the endpoint list service. Does no I/O. An agent responds to a poll at once and at no cost. A
// central service has workers, a cost for each snapshot and each watch, and a bounded queue; beyond it, it
// rejects polls with a Retry-After.
#pragma once

#include "testbed/model/membership.hpp"
#include "testbed/model/servers.hpp"

#include <map>
#include <optional>

namespace harrierpass::testbed {

// Response to a poll: a rejection, a snapshot, or the delta of a watch.
struct list_response {
    bool refused = false, is_snapshot = false;
    double retry_after = 0; // seconds; set if the poll was refused
    std::uint64_t revision = 0;
    std::vector<member_list::member> members; // snapshot: without removed servers; delta: changed members
};

// The list service of a run, or of one proxy's agent. Polls are numbered from 1.
class list_service {
public:
    list_service(timeline &clock, const list_service_settings &settings, member_list &list);

    // Requests a snapshot or, with `since`, opens a watch for changes after that revision for up to `wait`
    // seconds. Calls `done` at most once: not if the service is silent or the poll is cancelled. Returns the
    // poll's number.
    using response_callback = std::function<void(const list_response &)>;
    std::uint64_t poll(std::optional<std::uint64_t> since, double wait, const response_callback &done);
    void cancel(std::uint64_t poll_number); // the poll's connection has ended
    void on_list_changed();                 // responds to all open watches
    void stop();                   // the process ends: all polls are lost, and new ones get no response
    void restart() { up_ = true; } // starts a new process
    bool up() const { return up_; }
    std::size_t watches() const { return watches_.size(); }

private:
    struct watch {
        std::uint64_t since;
        response_callback done;
    };
    void open_watch(std::uint64_t poll_number, std::uint64_t since, double wait,
                    const response_callback &done);
    list_response changes(std::uint64_t since) const;

    timeline &clock_;
    const list_service_settings &settings_;
    member_list &list_;
    cores workers_;
    std::map<std::uint64_t, watch> watches_; // by poll number, in ascending order
    std::map<std::uint64_t, bool> pending_;  // polls that are queued or that a worker handles
    std::uint64_t next_poll_ = 1, incarnation_ = 0;
    bool up_ = true;
};

} // namespace harrierpass::testbed
