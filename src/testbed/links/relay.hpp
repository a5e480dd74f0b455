// SPDX-License-Identifier: Apache-2.0
// The named links on loopback. TCP: each pair has an address of its own, where the near end finds the far
// one; one connection in is one connection out, and ends, half ends and resets go through as they came.
// Datagrams: each ordered pair of proxies has an address, and one socket serves them all. What is made of
// the bytes follows the table of conditions; there is no policy here.
//
//   condition        what the relay does
//   dropped          reads nothing in that direction; the listener's filter drops what would connect, so the
//                    system here answers nothing. What was held goes on when it is over, or, where its
//                    sender has ended meanwhile, the receiver's connection is reset
//   resets           both ends get a reset, also what connects while it lasts
//   half open        the far end gets a reset; the near end hears nothing until it is over, then a reset
//   delay, pace      each piece waits, in its order
//   far end refuses  the listener is closed, so the system here refuses
#pragma once

#include "net/sockets.hpp"
#include "testbed/links/conditions.hpp"
#include "testbed/loop/loop.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace harrierpass::testbed {

enum class far_state : std::uint8_t { up, refuses, silent };

class relay {
public:
    // Throws std::system_error where there are no descriptors. `seed`: of jitter.
    relay(loop &in, const link_table &table, std::uint32_t seed);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    // Opens the link before a far end and tells the address where the near end finds it.
    address open(const link_id &which, const address &far);
    void move(const link_id &which, const address &far); // it is elsewhere now, as after a restart
    void far_end(link_kind kind, index far, far_state is);
    void changed(const link_id &which, const link_now &before, const link_now &now); // for the table
    std::size_t connections() const { return pairs_.size(); }
    std::uint64_t carried() const { return carried_; } // bytes

private:
    struct piece {
        double due;
        std::string bytes;
    };
    struct flow { // one direction of a connection
        std::deque<piece> waits;
        std::size_t held = 0; // bytes
        double last_due = 0;
        bool ended = false, passed = false; // its sender's half is over; that was passed on
    };
    struct side {
        tcp_socket socket;
        bool connecting = false, watched = false, gone = false; // gone: broke while nobody could be told
    };
    struct pair {
        std::uint64_t tag;
        link_id of;
        side near, far;
        flow flows[2];    // by direction
        bool cut = false; // half open: the far end is dead
    };
    struct link {
        link_id id;
        address at, far;
        tcp_socket listening;
        bool filtered = false;
    };

    link &find(const link_id &which) { return links_.at(key(which)); }
    static std::uint64_t key(const link_id &which);
    void listen(link &on);
    void shut(link &on);
    void follow(link &on);
    void accept(const link_id &which);
    void came(std::uint64_t tag, bool near, std::uint32_t events);
    void take(pair &of, direction to);
    void push(std::uint64_t tag, direction to);
    void ask(pair &of);
    void watch(pair &of, bool near);
    void finish(std::uint64_t tag, bool reset_near, bool reset_far);
    far_state far_of(const link_id &which) const;

    loop &loop_;
    const link_table &table_;
    random_generator chance_;
    std::map<std::uint64_t, link> links_;
    std::map<std::uint64_t, std::unique_ptr<pair>> pairs_; // by tag
    std::map<std::pair<link_kind, index>, far_state> far_;
    std::uint64_t next_ = 1, carried_ = 0;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

// Datagrams between proxies. What is sent to `as_seen(p, q)` from p's own address reaches q from
// `as_seen(q, p)`; from elsewhere it reaches nobody.
class datagram_relay {
public:
    datagram_relay(loop &in, const link_table &table, std::vector<address> proxies, std::uint32_t seed);
    ~datagram_relay();
    datagram_relay(const datagram_relay &) = delete;
    datagram_relay &operator=(const datagram_relay &) = delete;
    address as_seen(index by, index other) const;
    address all_as_seen(index by) const; // what goes there goes to every other proxy

    struct counts {
        std::uint64_t sent = 0, bytes = 0, delivered = 0, lost = 0, doubled = 0, reordered = 0, foreign = 0,
                      too_long = 0;
    };
    const counts &seen() const { return counts_; }

private:
    void read();
    void carry(index from, index to, const std::string &what);
    void deliver(index from, index to, const std::string &what);
    address seen_at(std::uint32_t number) const;

    loop &loop_;
    const link_table &table_;
    const std::vector<address> proxies_;
    random_generator chance_;
    tcp_socket socket_;
    int port_ = 0;
    counts counts_;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
