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
    void set_far_address(const link_id &which, const address &far); // it is elsewhere now, as after a restart
    void set_far_state(link_kind kind, index far, far_state is);
    void on_conditions_changed(const link_id &which, const link_conditions &before,
                               const link_conditions &now); // for the table
    std::size_t connections() const { return connections_.size(); }
    std::uint64_t forwarded_bytes() const { return forwarded_bytes_; } // bytes

private:
    struct chunk {
        double due;
        std::string bytes;
    };
    struct byte_stream { // one direction of a connection
        std::deque<chunk> chunks;
        std::size_t queued_bytes = 0; // bytes
        double last_due = 0;
        bool sender_ended = false, end_forwarded = false; // its sender's half is over; that was passed on
    };
    struct side {
        tcp_socket socket;
        bool connecting = false, watched = false, gone = false; // gone: broke while nobody could be told
    };
    struct proxied_connection {
        std::uint64_t tag;
        link_id of;
        side near, far;
        byte_stream streams[2];    // by direction
        bool far_end_dead = false; // half open: the far end is dead
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
    void close_listener(link &on);
    void update_listener(link &on);
    void accept(const link_id &which);
    void on_events(std::uint64_t tag, bool near, std::uint32_t events);
    void read_from_sender(proxied_connection &of, direction to);
    void write_to_receiver(std::uint64_t tag, direction to);
    void update_interest(proxied_connection &of);
    void update_interest_of(proxied_connection &of, bool near);
    void finish(std::uint64_t tag, bool reset_near, bool reset_far);
    far_state far_state_of(const link_id &which) const;

    loop &loop_;
    const link_table &table_;
    chance random_;
    std::map<std::uint64_t, link> links_;
    std::map<std::uint64_t, std::unique_ptr<proxied_connection>> connections_; // by tag
    std::map<std::pair<link_kind, index>, far_state> far_;
    std::uint64_t next_ = 1, forwarded_bytes_ = 0;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

// Datagrams between proxies. What is sent to `as_seen(p, q)` from p's own address reaches q from
// `as_seen(q, p)`; from elsewhere it reaches nobody.
class datagram_relay {
public:
    datagram_relay(loop &in, const link_table &table, std::vector<address> proxies, std::uint32_t seed);
    ~datagram_relay();
    datagram_relay(const datagram_relay &) = delete;
    datagram_relay &operator=(const datagram_relay &) = delete;
    address address_of(index by, index other) const;
    address broadcast_address(index by) const; // what goes there goes to every other proxy

    struct datagram_counters {
        std::uint64_t sent = 0, bytes = 0, delivered = 0, dropped = 0, duplicated = 0, reordered = 0,
                      foreign = 0, too_long = 0;
    };
    const datagram_counters &counters() const { return counters_; }

private:
    void read();
    void carry(index from, index to, const std::string &what);
    void deliver(index from, index to, const std::string &what);
    address numbered_address(std::uint32_t number) const;

    loop &loop_;
    const link_table &table_;
    const std::vector<address> proxies_;
    chance random_;
    tcp_socket socket_;
    int port_ = 0;
    datagram_counters counters_;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
