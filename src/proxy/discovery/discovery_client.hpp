// SPDX-License-Identifier: Apache-2.0
// Follows discovery's list: carries out what startup/calls.hpp says. After a loss the old list stands.
#pragma once

#include "discovery/poll_schedule.hpp"
#include "proxy/configuration.hpp"
#include "proxy/request/dispatcher.hpp"
#include "proxy/upstream/upstream_pool.hpp"

#include <atomic>
#include <map>
#include <set>
#include <unordered_map>

namespace harrierpass::proxy {

// One message of discovery.
struct endpoint_list {
    struct endpoint_address {
        std::string id, host_port;
        endpoint_info info;
    };
    std::uint64_t revision = 0;
    bool is_snapshot = false;
    std::vector<endpoint_address> items;
};

// Throws bad_text; an entry that cannot be used is left out.
endpoint_list read_endpoint_list(const json &from, const configuration &names);

class discovery_client {
public:
    discovery_client(dispatcher &decides, upstream_pool &servers, counters &count, log &lines);

    void load_known_endpoints(); // the list that the configuration brought, or a snapshot of a later one
    // Out by hand: nothing new goes there from the return on, whatever the list says, until it is taken back,
    // and it is cold then. Once is enough for both. False: nobody has or had that id.
    bool disable(const std::string &id, bool unknown_too = false);
    bool enable(const std::string &id);
    struct operator_overrides {
        std::set<std::string> disabled;
        std::map<std::string, double> enabled_at; // when it came back, Unix time, s
    };
    void record_enabled(const std::string &id, double at); // another process's word; before the list is told
    operator_overrides overrides();                        // a copy
    std::pair<std::size_t, std::size_t> endpoint_counts(); // servers in the list, and of them those avoided
    void poll_now() { poll_requested_.store(true); }
    // Another configuration: its discovery is asked for the whole list, by whose coming both take force in
    // one step; until then list and configuration stand. The follower's thread is to be called after this.
    void reconfigure(std::shared_ptr<const configuration> next);
    // The configuration that is to come into force with its first list; null: none.
    std::shared_ptr<const configuration> pending_configuration();
    std::function<void(const configuration &)> on_configuration_applied; // called by the follower's thread
    void run(const std::function<bool()> &over);                         // the thread's
    // Discovery has answered, or has not in time; where one serves all proxies: there is a list.
    bool ready() const { return ready_.load(); }
    std::size_t slot_count() const { return slots_.load(); } // indices ever in use at a time

private:
    struct poll_response {
        std::optional<json> list;
        bool rejected = false;
        double retry_after = 0; // s, where it was refused and told
    };
    poll_response poll(const std::string &target, double limit, const std::function<bool()> &over);
    discovery::snapshot_facts facts_of(const endpoint_list &list);
    bool on_list(const endpoint_list &list, std::shared_ptr<const configuration> &next);
    void log_state_change(discovery::poll_state before);
    std::string list_text(); // as it stands, in discovery's form
    void save_snapshot(bool at_end);
    void end_connection(const char *reason);
    void publish(const endpoint_list &list, endpoint_update_kind kind,
                 std::shared_ptr<const configuration> next = nullptr);
    endpoint_info apply_overrides(const std::string &id, endpoint_info listed) const;
    void republish(const std::string &id);
    index index_for(const std::string &id);
    void retire(const endpoint_list &list, endpoint_update_kind kind);

    dispatcher &dispatcher_;
    upstream_pool &upstream_;
    counters &counters_;
    log &log_;
    std::mutex configuration_lock_;                           // of the next two
    std::shared_ptr<const configuration> pending_;            // to be adopted; null: none
    std::shared_ptr<const configuration> awaiting_list_ = {}; // the one that waits for its list; null: none
    std::shared_ptr<const configuration>
        configuration_; // by which lists are read now; the follower's thread's own
    std::optional<address> address_;
    tcp_socket socket_;       // to discovery
    tcp_socket spare_socket_; // for the next one: guards the list against clients that hold every descriptor
    std::vector<char> buffer_;
    std::mutex registry_lock_; // of what follows, up to places_
    operator_overrides overrides_;
    std::unordered_map<std::string, endpoint_info> endpoints_; // as the list has them, those gone left out
    std::unordered_map<std::string, index> index_of_; // also of those gone whose index nobody else has yet
    std::unordered_map<std::string, std::string> addresses_; // of those: host and port, as the list has them
    std::deque<std::string> removed_;                        // these, the first to go first
    std::atomic<index> slots_ = 0;
    std::optional<discovery::poll_schedule> schedule_; // the follower's thread's own
    std::optional<std::uint64_t> known_revision_;
    bool snapshot_outdated_ = false; // the list changed since it was kept in the snapshot's file
    double snapshot_tried_at_ = 0;   // when that was last tried
    std::atomic<bool> poll_requested_ = true, ready_ = false, reconfigured_ = false;
};

} // namespace harrierpass::proxy
