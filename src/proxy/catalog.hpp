// SPDX-License-Identifier: Apache-2.0
// Follows discovery's list: carries out what startup/calls.hpp says. After a loss the old list stands.
#pragma once

#include "proxy/desk.hpp"
#include "proxy/settings.hpp"
#include "proxy/upstream.hpp"
#include "startup/calls.hpp"

#include <atomic>
#include <map>
#include <set>
#include <unordered_map>

namespace harrierpass::proxy {

// One message of discovery.
struct server_list {
    struct item {
        std::string id, host_port;
        list_entry as;
    };
    std::uint64_t revision = 0;
    bool whole = false;
    std::vector<item> items;
};

// Throws bad_text; an entry that cannot be used is left out.
server_list read_list(const json &from, const configuration &names);

class catalog {
public:
    catalog(desk &decides, upstream &servers, counters &count, log &lines);

    void use_known(); // the list that the configuration brought, or a snapshot of a later one
    // Out by hand: nothing new goes there from the return on, whatever the list says, until it is taken back,
    // and it is cold then. Once is enough for both. False: nobody has or had that id.
    bool take_out(const std::string &id, bool unknown_too = false);
    bool take_back(const std::string &id);
    struct by_hand {
        std::set<std::string> out;
        std::map<std::string, double> back; // when it came back, Unix time, s
    };
    void came_back(const std::string &id, double at); // another process's word; before the list is told
    by_hand hands();                                  // a copy
    std::pair<std::size_t, std::size_t> standing();   // servers in the list, and of them those avoided
    void ask() { asked_.store(true); }
    // Another configuration: its discovery is asked for the whole list, by whose coming both take force in
    // one step; until then list and configuration stand. The follower's thread is to be called after this.
    void move_to(std::shared_ptr<const configuration> next);
    // The configuration that is to come into force with its first list; null: none.
    std::shared_ptr<const configuration> next();
    std::function<void(const configuration &)> on_adopted; // called by the follower's thread
    void run(const std::function<bool()> &over);           // the thread's
    // Discovery has answered, or has not in time; where one serves all proxies: there is a list.
    bool ready() const { return ready_.load(); }
    std::size_t places() const { return places_.load(); } // indices ever in use at a time

private:
    struct answer {
        std::optional<json> list;
        bool refused = false;
        double come_back = 0; // s, where it was refused and told
    };
    answer fetch(const std::string &target, double limit, const std::function<bool()> &over);
    startup::list_facts facts_of(const server_list &list);
    bool told(const server_list &list, std::shared_ptr<const configuration> &next);
    void say_state(startup::state before);
    std::string list_text(); // as it stands, in discovery's form
    void save(bool at_end);
    void end_connection(const char *reason);
    void tell(const server_list &list, list_kind kind, std::shared_ptr<const configuration> next = nullptr);
    list_entry as_used(const std::string &id, list_entry listed) const;
    void tell_again(const std::string &id);
    index index_for(const std::string &id);
    void bury(const server_list &list, list_kind kind);

    desk &desk_;
    upstream &upstream_;
    counters &counters_;
    log &log_;
    std::mutex lock_;                                   // of the next two
    std::shared_ptr<const configuration> next_;         // to be adopted; null: none
    std::shared_ptr<const configuration> waiting_ = {}; // the one that waits for its list; null: none
    std::shared_ptr<const configuration> given_; // by which lists are read now; the follower's thread's own
    std::optional<address> where_;
    tcp_socket socket_; // to discovery
    tcp_socket spare_;  // for the next one: guards the list against clients that hold every descriptor
    std::vector<char> buffer_;
    std::mutex members_; // of what follows, up to places_
    by_hand hands_;
    std::unordered_map<std::string, list_entry> listed_; // as the list has them, those gone left out
    std::unordered_map<std::string, index> index_of_;    // also of those gone whose index nobody else has yet
    std::unordered_map<std::string, std::string> places_of_; // of those: host and port, as the list has them
    std::deque<std::string> gone_;                           // these, the first to go first
    std::atomic<index> places_ = 0;
    std::optional<startup::list_calls> calls_; // the follower's thread's own
    std::optional<std::uint64_t> known_revision_;
    bool unsaved_ = false; // the list changed since it was kept in the snapshot's file
    double saved_at_ = 0;  // when that was last tried
    std::atomic<bool> asked_ = true, ready_ = false, moved_ = false;
};

} // namespace harrierpass::proxy
