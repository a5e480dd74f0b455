// SPDX-License-Identifier: Apache-2.0
// The list service as a model without I/O: what a call costs, what waits, what is refused. The agent of a
// platform answers at once and at no cost; a central service has workers, a price a whole list and a price a
// watch that is opened, and beyond a bounded queue it refuses and says when to come back.
#pragma once

#include "testbed/model/membership.hpp"
#include "testbed/model/servers.hpp"

#include <map>
#include <optional>

namespace harrierpass::testbed {

// What a poll or a watch is answered with.
struct list_answer {
    bool refused = false, whole = false;
    double retry_after = 0; // s, where it was refused
    std::uint64_t revision = 0;
    std::vector<member_list::member> members; // whole: those that are here
};

// The service; polls are numbered from 1.
class list_service {
public:
    list_service(timeline &clock, const list_service_settings &settings, member_list &list);

    // A call for the whole list, or a watch from a revision on that waits for so many seconds. `done` is
    // called once, or never: the service is silent, or the call was dropped.
    using done_to = std::function<void(const list_answer &)>;
    std::uint64_t call(std::optional<std::uint64_t> since, double wait, const done_to &done);
    void drop(std::uint64_t call); // its connection ended
    void changed();                // the list: open watches are answered
    void die();                    // all calls are gone with the process, and nobody is there
    void rise() { up_ = true; }    // another process is
    bool up() const { return up_; }
    std::size_t watches() const { return watching_.size(); }

private:
    struct watch {
        std::uint64_t since;
        done_to done;
    };
    void open(std::uint64_t call, std::uint64_t since, double wait, const done_to &done);
    list_answer changes(std::uint64_t since) const;

    timeline &clock_;
    const list_service_settings &settings_;
    member_list &list_;
    cores workers_;
    std::map<std::uint64_t, watch> watching_; // by call, in their order
    std::map<std::uint64_t, bool> waiting_;   // calls that a worker has or will have
    std::uint64_t next_ = 1, incarnation_ = 0;
    bool up_ = true;
};

} // namespace harrierpass::testbed
