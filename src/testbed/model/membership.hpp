// SPDX-License-Identifier: Apache-2.0
// The list of servers as discovery has it: what happened is published late, in numbered revisions, and can be
// silent, stale or flap. Without I/O; the virtual proxies and the HTTP port read the same object.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"
#include "testbed/model/timeline.hpp"

#include <functional>
#include <vector>

namespace harrierpass::testbed {

// What is published, whoever keeps it: the list itself, or a copy in a process of its own.
class member_list {
public:
    struct member {
        index server = none; // the fleet's number; the origin's is the fleet's size
        endpoint_state state = endpoint_state::removed;
        double started = 0;
        std::uint64_t revision = 0; // of its last change
    };
    member_list(const experiment &settings, index servers);
    virtual ~member_list() = default;

    std::uint64_t revision() const { return revision_; }
    const std::vector<member> &all() const { return members_; }
    std::vector<member> since(std::uint64_t revision) const;
    // The list that a proxy starts with, where it starts with one; an old one is of revision 0.
    std::vector<member> initial_members_of(const experiment &settings, index proxy) const;
    void publish(member what);     // as the next revision
    void load(const member &what); // as it stands elsewhere, with its revision; nobody is told
    void silent(bool begins) { silent_ += begins ? 1 : static_cast<index>(-1); }
    bool answers() const { return silent_ == 0; }

    std::function<void(const member &)> on_change; // published

protected:
    std::vector<member> members_;
    std::uint64_t revision_ = 1;
    index silent_ = 0;
};

// The list that the experiment changes: changes are published after a delay, in order for each server.
class membership : public member_list {
public:
    membership(timeline &clock, const experiment &settings, index servers, std::uint32_t seed);

    // What happened; it is published later.
    void record_change(index server, endpoint_state state, double started);
    void stale(bool begins);
    const member &actual(index server) const { return actual_[server]; }

private:
    timeline &clock_;
    const list_service_settings &settings_;
    random_generator random_;
    std::vector<member> actual_;
    std::vector<member> withheld_; // while stale
    std::vector<double> due_;      // by server: when its last change is published; they keep their order
    index stale_ = 0;
};

} // namespace harrierpass::testbed
