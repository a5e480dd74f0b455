// SPDX-License-Identifier: Apache-2.0
// The router behind one lock, with its clock and its timer. Threads report what they saw; what the router
// decides is handed to the query it names, and that query's thread is called out of its wait.
#pragma once

#include "net/threads.hpp"
#include "proxy/settings.hpp"
#include "subsets/chooser.hpp"

#include <functional>
#include <mutex>
#include <optional>

namespace harrierpass::proxy {

// What the router wants of a query now.
struct orders {
    enum class kind : std::uint8_t { hold, send, running, reject, abort };
    kind what = kind::hold;
    index server = none;   // send, running
    index execution = 0;   // its number: send, running
    bool call_off = false; // running: give the execution up
    double come_back = 0;  // reject: advised wait, s
};

// A query as its thread and the desk both know it; the thread reads it through the desk.
class ticket {
    friend class desk;
    index query_ = none;
    pthread_t waiter_{};
    orders now_;
    index sent_ = 0;
    std::vector<index> used_; // the servers of its executions
};

// How a desk comes by its router; other than make_router() for comparisons only.
using router_maker = std::unique_ptr<router> (*)(const settings &given, std::uint32_t seed, double now);

class desk {
public:
    desk(std::shared_ptr<const configuration> given, router_maker made_by = subsets::make_chooser);

    // The configuration in force. It may change between two calls; a copy of the pointer stays as it is.
    std::shared_ptr<const configuration> given();
    // Another one is in force from now on, and the whole list as read by it: both in one step.
    void adopt(std::shared_ptr<const configuration> next, std::span<const list_entry> entries);

    double now() const; // Unix time, s; goes forward only

    // What the router asks of others; neither may block.
    std::function<void(index server)> on_probe;
    std::function<void()> on_subscribe;

    // For the thread that sees the query through: every ticket that arrived must end as finished() says.
    // False, and nothing done, where another configuration is in force than the one it was read by.
    bool arrived(ticket &of, new_query from, const std::shared_ptr<const configuration> &by);
    orders look(ticket &of); // a send is handed out once, and is running from then on
    // Until when (s) the execution that is running may be written, to its last byte; 0: not any more.
    double write_by(ticket &of);
    void ended(ticket &of, outcome result, bool fetched);
    void dropped(ticket &of, outcome result);       // as ended(), and the query has had its final answer
    void begun(ticket &of, bool fetched);           // the answer goes on to the client as it comes
    void written(ticket &of, double statement_end); // a long body is out; the client's time starts
    void left(ticket &of);
    bool finished(ticket &of);

    void listed(list_kind kind, std::span<const list_entry> entries);
    void probed(index server, std::optional<bool> answered); // empty: the probe was not made
    bool refers(index server);                         // a query in hand was sent there, or a probe is out
    std::size_t avoided(std::span<const index> of);    // of these servers, those that the router avoids
    subset_view subset();                              // which servers this proxy uses now
    void run_timer(const std::function<bool()> &over); // the timer's thread; until `over`

private:
    template <typename What> void tell(What what);
    void hand_out(std::vector<index> &probes, bool &subscribes);
    void make_places(std::span<const list_entry> entries);

    const double unix_start_;
    const double steady_start_;
    std::mutex lock_;
    std::shared_ptr<const configuration> given_;
    std::unique_ptr<router> router_;
    std::vector<ticket *> tickets_; // by the router's index
    std::vector<index> free_;
    std::vector<index> refers_; // by server: sends of queries in hand, probes out
    double wake_at_;
};

} // namespace harrierpass::proxy
