// SPDX-License-Identifier: Apache-2.0
// Model of the endpoint list that discovery publishes: changes appear after a delay, in numbered revisions,
// and faults can make the list silent, stale or flapping. Does no I/O; virtual proxies and the HTTP port of
// the list service share it.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"
#include "testbed/model/timeline.hpp"

#include <functional>
#include <vector>

namespace harrierpass::testbed {

// The published list: the original, or its copy in another process.
class member_list {
public:
    struct member {
        index server = none; // index in the fleet; the origin's index is the fleet's size
        endpoint_state state = endpoint_state::removed;
        double started = 0;
        std::uint64_t revision = 0; // of its last change
    };
    member_list(const experiment &settings, index servers);
    virtual ~member_list() = default;

    std::uint64_t revision() const { return revision_; }
    const std::vector<member> &all() const { return members_; }
    std::vector<member> since(std::uint64_t revision) const;
    // The list that a proxy starts with, for experiments with an initial list. A stale one has revision 0.
    std::vector<member> initial_members_of(const experiment &settings, index proxy) const;
    void publish(member change);     // under the next revision
    void load(const member &change); // copies a member with its revision; does not call on_change
    void set_silent(bool begins) { silent_ += begins ? 1 : static_cast<index>(-1); }
    bool responding() const { return silent_ == 0; }

    std::function<void(const member &)> on_change; // called by publish()

protected:
    std::vector<member> members_;
    std::uint64_t revision_ = 1;
    index silent_ = 0;
};

// The list that the experiment changes. Publishes changes after a random delay, in order for each server.
class membership : public member_list {
public:
    membership(timeline &clock, const experiment &settings, index servers, std::uint32_t seed);

    // Records a server's new state, which is published after the delay.
    void record_change(index server, endpoint_state state, double started);
    void set_stale(bool begins);
    const member &actual(index server) const { return actual_[server]; }

private:
    timeline &clock_;
    const list_service_settings &settings_;
    random_generator random_;
    std::vector<member> actual_;
    std::vector<member> withheld_; // changes that are held back while the list is stale
    // By server: publishing time of its last change, which keeps its changes in order.
    std::vector<double> publish_due_;
    index stale_ = 0;
};

} // namespace harrierpass::testbed
