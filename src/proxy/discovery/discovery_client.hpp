// SPDX-License-Identifier: Apache-2.0
// Follows the endpoint list of the discovery service: polls it as discovery/poll_schedule.hpp says, and
// publishes what it believes to the router and the connection pool. After a failed poll the last list stays
// in force.
//
// Threads: run() is the polling thread. Operators' calls, reconfigure() and the queries may come from any
// thread.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "discovery/poll_schedule.hpp"
#include "net/sockets.hpp"
#include "proxy/configuration.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/endpoint_registry.hpp"
#include "proxy/discovery/operator_overrides.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harrierpass::proxy {

// One for each proxy. Owns the poll schedule, the registry and the overrides.
class discovery_client {
public:
    // All four must outlive it. Throws parse_error where the service's address cannot be used.
    discovery_client(dispatcher &routing, upstream_pool &upstreams, counters &counts, log &logger);

    // Publishes the newer of the configuration's list and the snapshot file's. Before run().
    void load_known_endpoints();

    // Disables an endpoint: from the return on no new attempt or health check is written to it, whatever the
    // list says. Idempotent. False: no endpoint has or had that id, and `unknown_too` is not set.
    bool disable(const std::string &id, bool unknown_too = false);

    // Enables a disabled endpoint, which then warms up. Idempotent. False: no endpoint has or had that id.
    bool enable(const std::string &id);

    // Another process of this proxy enabled the endpoint at that time (Unix time, s). Before
    // load_known_endpoints().
    void record_enabled(const std::string &id, double enabled_at);

    // A copy of what operators have disabled and enabled.
    [[nodiscard]] operator_overrides overrides();

    // How many endpoints are listed, and how many of them are disabled or avoided; without the origin.
    [[nodiscard]] std::pair<std::size_t, std::size_t> endpoint_counts();

    // Asks for a poll as soon as the schedule allows.
    void poll_now() { poll_requested_.store(true); }

    // Polls the new configuration's service for a snapshot. With it list and configuration come into force in
    // one step; until then the old ones stand. Throws parse_error where the address cannot be used. Wake the
    // polling thread afterwards.
    void reconfigure(std::shared_ptr<const configuration> next);

    // The configuration that waits for its first list; null: none.
    [[nodiscard]] std::shared_ptr<const configuration> pending_configuration();

    // Called by the polling thread when a new configuration is in force. Set before run().
    std::function<void(const configuration &)> on_configuration_applied;

    // The polling thread's loop, until `stopped`.
    void run(const std::function<bool()> &stopped);

    // Whether clients can be served. With an agent: the first poll is over, whatever its result. With a
    // shared service: there is a list.
    [[nodiscard]] bool ready() const { return ready_.load(); }

    // Slots that endpoints ever held at a time.
    [[nodiscard]] std::size_t slot_count() const { return registry_.slot_count(); }

private:
    // The service's answer to a poll; neither a list nor a rejection: it failed.
    struct poll_response {
        std::optional<json> list;
        bool rejected = false;
        double retry_after = 0; // s; 0: not stated
    };

    // Starts the poll schedule from the list that is there.
    void start_schedule();
    // Turns to the configuration that reconfigure() left, and to its service.
    void use_pending_configuration();
    // Makes the poll that is due and carries out its result; `interrupted` ends the wait.
    void poll_once(const std::function<bool()> &interrupted);
    // Sends a poll over the kept connection or a new one, within `timeout` s. Throws parse_error where the
    // response is no JSON.
    poll_response send_poll(const std::string &target, double timeout,
                            const std::function<bool()> &interrupted);
    bool handle_response(const poll_response &response); // false: it failed
    // Reports a failed poll to schedule and router.
    void on_poll_failed(const discovery::endpoint_poll &failed);
    bool on_list(const endpoint_list &list); // false: implausible
    // Sets a list aside; the drains in it may be obeyed.
    void on_implausible_list(const endpoint_list &list);
    // What the plausibility of a list is assessed by.
    discovery::snapshot_facts facts_of(const endpoint_list &list);
    // Puts a list into force: in the registry, the connection pool and the router.
    void publish(const endpoint_list &list, endpoint_update_kind kind);
    // Applies a list to the registry and the pool; returns its entries with slots and overrides. The caller
    // holds registry_lock_.
    std::vector<endpoint_info> apply_to_registry(const endpoint_list &list);
    // Sends the entry of a listed endpoint to the router again, by the present overrides. The caller holds
    // registry_lock_.
    void republish(const std::string &id);
    // Writes the snapshot file if the list has changed: at most once a second, or at once at the end.
    void save_snapshot(bool at_end);
    // The list in force, as a snapshot.
    endpoint_list current_list();
    // Whether polls go to a list service shared by all proxies, and not to an agent.
    bool is_shared_service() const;
    // Logs the schedule's state if it is not the one before.
    void log_state_change(discovery::poll_state before);
    // Closes the kept connection, if there is one; `reason` is for the log.
    void close_connection(const char *reason);

    dispatcher &dispatcher_;
    upstream_pool &upstream_;
    counters &counters_;
    log &log_;

    // Protects pending_ and awaiting_list_. The polling thread alone writes awaiting_list_, and reads it
    // without the lock.
    std::mutex configuration_lock_;
    std::shared_ptr<const configuration> pending_;       // the polling thread has not seen it; null: none
    std::shared_ptr<const configuration> awaiting_list_; // its first list has not come yet; null: none

    // Held over each change of registry and overrides, and over its report to dispatcher and connection pool:
    // both see the changes in the same order. Taken before the locks of those two.
    std::mutex registry_lock_;
    operator_overrides overrides_;
    endpoint_registry registry_;

    // The polling thread's own.
    std::shared_ptr<const configuration> configuration_; // by which lists are read
    std::optional<address> address_;
    tcp_socket socket_;       // the kept connection to the service
    tcp_socket spare_socket_; // for the next one, so that clients cannot take its descriptor
    std::vector<char> buffer_;
    std::optional<discovery::poll_schedule> schedule_;
    std::optional<std::uint64_t> known_revision_; // of the list that it started with
    bool snapshot_outdated_ = false;              // the list has changed since the file was written
    double snapshot_tried_at_ = 0;                // Unix time, s

    std::atomic<bool> poll_requested_ = true;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> reconfigured_ = false; // there is a pending_ configuration
};

} // namespace harrierpass::proxy
