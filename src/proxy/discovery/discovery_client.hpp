// SPDX-License-Identifier: Apache-2.0
// Keeps the endpoint list up to date: polls the discovery service according to discovery/poll_schedule.hpp
// and publishes plausible lists to the router and the upstream pool. After a failed poll the current list
// stays in force.
//
// A poll without a response in time has failed, and the next one is sent on another connection, as the first
// one may be broken. But the service may only be slow: the connection stays open in the background, and the
// response counts when it comes (discovery/late_polls.hpp).
//
// Threads: run() is the polling thread. The operators' functions, reconfigure() and the functions that only
// return data may be called from any thread.
#pragma once

#include "base/counters.hpp"
#include "base/log.hpp"
#include "discovery/poll_schedule.hpp"
#include "net/sockets.hpp"
#include "proxy/configuration.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/endpoint_registry.hpp"
#include "proxy/discovery/operator_overrides.hpp"
#include "proxy/discovery/poll_call.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace harrierpass::proxy {

// One per proxy. Owns the poll schedule, the endpoint registry and the operator overrides.
class discovery_client {
public:
    // All four arguments must outlive the client. Throws parse_error if the address of the service is
    // invalid.
    discovery_client(dispatcher &routing, upstream_pool &upstreams, counters &counts, log &logger);

    // Publishes the newer of the lists in the configuration and in the snapshot file. Call before run().
    void load_known_endpoints();

    // Disables an endpoint: after the return no new attempt or health check is written to it, whatever its
    // state in the list. Idempotent. Returns false if no endpoint with that id is or was listed and
    // `allow_unknown` is not set.
    bool disable(const std::string &id, bool allow_unknown = false);

    // Enables a disabled endpoint, which then warms up. Idempotent. Returns false if no endpoint with
    // that id is or was listed.
    bool enable(const std::string &id);

    // Records that another process of this proxy enabled the endpoint at `enabled_at` (Unix time, s), unless
    // it is disabled. Call before load_known_endpoints().
    void record_enabled(const std::string &id, double enabled_at);

    // Records whether clients are sent to other proxies.
    void set_draining(bool draining);

    // Adopts the operators' commands that are newer than the known ones, and applies them as disable() and
    // enable() do.
    void merge_overrides(const operator_overrides &other);

    // A copy of the operator overrides.
    [[nodiscard]] operator_overrides overrides();

    // Changes with each change of the operator overrides.
    [[nodiscard]] std::uint64_t override_changes();

    // The number of listed endpoints, and how many of them are disabled or avoided. Origin endpoints do not
    // count.
    [[nodiscard]] std::pair<std::size_t, std::size_t> endpoint_counts();

    // Requests a poll as soon as the schedule allows.
    void poll_now() { poll_requested_.store(true); }

    // Polls the service of the new configuration for a snapshot. The snapshot and the configuration come into
    // force in one step; until then the old ones stay in force. Throws parse_error if the address is invalid.
    // The caller has to wake the polling thread afterwards.
    void reconfigure(std::shared_ptr<const configuration> next);

    // The configuration that waits for its first list, or null.
    [[nodiscard]] std::shared_ptr<const configuration> pending_configuration();

    // Called by the polling thread when a new configuration is in force. Set before run().
    std::function<void(const configuration &)> on_configuration_applied;

    // Loop of the polling thread; returns once `stopped` returns true.
    void run(const std::function<bool()> &stopped);

    // Whether clients can be served. With an agent: there is an endpoint list, or the first poll has failed;
    // if no endpoint is known, a slow response to it is waited for, for a limited time. With a shared
    // service: there is an endpoint list.
    [[nodiscard]] bool ready() const { return ready_.load(); }

    // The largest number of endpoint slots in use at a time.
    [[nodiscard]] std::size_t slot_count() const { return registry_.slot_count(); }

private:
    // The result of a poll. Without a list and without a rejection, the poll has failed.
    struct poll_response {
        std::optional<json> list;
        bool rejected = false;
        double retry_after = 0; // s; 0: not stated
    };

    // Starts the poll schedule from the known list, if any.
    void start_schedule();
    // Switches to the configuration passed to reconfigure(), and to its service. Has no effect if there is
    // none.
    void use_pending_configuration();
    // Sends the poll that is due, unless one is active.
    void start_due_poll();
    // Opens a call on the idle connection or a new one. Returns null if no connection can be opened now.
    std::unique_ptr<poll_call> open_call(const discovery::endpoint_poll &poll);
    // Waits until a call can proceed, a poll is due or a condition has to be checked.
    void await_calls();
    // Lets all calls proceed and handles those that have ended. An active call that has taken too long counts
    // as failed and becomes a late one.
    void handle_calls();
    // Gives up late calls as long as there are too many.
    void discard_surplus_calls();
    // Handles the response to a late call. Returns whether its list was adopted.
    bool handle_late_response(poll_call &call);
    // Handles the response to a call. Returns false if the poll has failed.
    bool handle_response(poll_call &call);
    bool handle_response(const poll_call &call, const poll_response &response);
    // Reads the response and keeps the connection if it can be used again. Throws parse_error if the response
    // is not JSON.
    poll_response read_response(poll_call &call);
    // Whether the response to the call adds nothing to the list in force, as a list that came meanwhile is
    // newer.
    [[nodiscard]] bool is_outdated(const poll_call &call, const endpoint_list &list) const;
    // Sets ready() once clients can be served.
    void update_readiness();
    // Reports a failed poll to the schedule and the router.
    void on_poll_failed(const discovery::endpoint_poll &failed);
    // Publishes a list if it is plausible. Returns false if it is not.
    bool handle_list(const endpoint_list &list);
    // Discards a list; may still apply the draining states in it.
    void handle_implausible_list(const endpoint_list &list);
    // The facts by which the plausibility of a list is assessed.
    discovery::snapshot_facts facts_of(const endpoint_list &list);
    // Puts a list into force in the registry, the upstream pool and the router.
    void publish(const endpoint_list &list, endpoint_update_kind kind);
    // Applies a list to the registry and the upstream pool; returns its entries with slots and overrides. The
    // caller holds registry_lock_.
    std::vector<endpoint_info> apply_to_registry(const endpoint_list &list);
    // Records that further commands of operators are newer than all that any process has been told. The
    // caller holds registry_lock_.
    void begin_command();
    // Applies the override of an endpoint, which has changed. The caller holds registry_lock_.
    void apply_override(const std::string &id);
    // Sends the entry of a listed endpoint, with the current overrides, to the router again. The caller holds
    // registry_lock_.
    void republish(const std::string &id);
    // Writes the snapshot file if the list has changed: at most once a second, or immediately if `at_end`.
    void save_snapshot(bool at_end);
    // The list in force as a snapshot.
    endpoint_list current_list();
    // Whether a list service shared by all proxies is polled, rather than an agent.
    bool is_shared_service() const;
    // Logs the state of the schedule if it differs from `before`.
    void log_state_change(discovery::poll_state before);
    // Closes the idle connection to the service, if there is one; `reason` is for the log.
    void close_connection(const char *reason);
    // Logs the end of a connection to the service.
    void log_connection_end(const char *reason);

    dispatcher &dispatcher_;
    upstream_pool &upstream_;
    counters &counters_;
    log &log_;

    // Protects pending_, which says by itself whether there is a new configuration, and awaiting_list_. The
    // polling thread alone writes awaiting_list_, and reads it
    // without the lock.
    std::mutex configuration_lock_;
    std::shared_ptr<const configuration> pending_;       // not yet used by the polling thread; may be null
    std::shared_ptr<const configuration> awaiting_list_; // waits for its first list; may be null

    // Held during each change of the registry or the overrides and its report to the dispatcher and the
    // upstream pool, so that both see the changes in the same order. Acquired before the locks of these two.
    std::mutex registry_lock_;
    operator_overrides overrides_;
    endpoint_registry registry_;

    // Used by the polling thread only.
    std::shared_ptr<const configuration> configuration_; // for reading lists
    std::optional<address> address_;
    tcp_socket idle_connection_;        // a connection to the service without a call
    tcp_socket spare_socket_;           // for the next connection, so that clients cannot take its descriptor
    std::unique_ptr<poll_call> active_; // the poll that the schedule knows to be in flight; may be null
    std::list<std::unique_ptr<poll_call>> late_; // polls without a response in time, the earliest first
    std::size_t reserved_connections_ = 0;       // told to the upstream pool
    std::optional<discovery::poll_schedule> schedule_;
    double adopted_at_ = 0;           // Unix time, s; the list in force came then
    double first_list_wanted_by_ = 0; // Unix time, s; see ready()
    bool has_failed_poll_ = false;
    std::optional<std::uint64_t> known_revision_; // revision of the list loaded at startup
    bool snapshot_outdated_ = false;              // the list has changed since the last write
    double last_snapshot_attempt_at_ = 0;         // Unix time, s

    std::atomic<bool> poll_requested_ = true;
    std::atomic<bool> ready_ = false;
};

} // namespace harrierpass::proxy
