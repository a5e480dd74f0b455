// SPDX-License-Identifier: Apache-2.0
// Relays datagrams between the proxies of a run, and loses, delays, duplicates and reorders them according to
// the table of conditions. Each ordered pair of proxies has a loopback address; one socket serves all of
// them.
#pragma once

#include "net/sockets.hpp"
#include "testbed/links/conditions.hpp"
#include "testbed/loop/loop.hpp"

#include <memory>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// Forwards a datagram that proxy p sends to `address_of(p, q)` to proxy q, with `address_of(q, p)` as its
// sender address. Drops datagrams from other addresses. Used from the loop's thread only.
class datagram_relay {
public:
    // `proxies`: the address that each proxy binds, by number. `seed`: for loss and jitter. Throws
    // std::system_error if the socket cannot be set up.
    datagram_relay(loop &event_loop, const link_table &table, std::vector<address> proxies,
                   std::uint32_t seed);
    ~datagram_relay();
    datagram_relay(const datagram_relay &) = delete;
    datagram_relay &operator=(const datagram_relay &) = delete;

    // The address at which proxy `sender` reaches proxy `other`.
    address address_of(index sender, index other) const;
    // The address at which proxy `sender` reaches all other proxies with one datagram.
    address broadcast_address(index sender) const;

    // Datagrams since the start; `bytes` is the size of those sent. Each receiver's copy counts as delivered
    // or dropped. `foreign`: sent from an address that is not a proxy's, or not the expected one's.
    struct datagram_counters {
        std::uint64_t sent = 0, bytes = 0, delivered = 0, dropped = 0, duplicated = 0, reordered = 0,
                      foreign = 0, too_long = 0;
    };
    const datagram_counters &counters() const { return counters_; }

private:
    // A received datagram; `sent_to` is its destination address at the relay, in host order.
    struct arrival {
        std::string bytes;
        address sender;
        std::uint32_t sent_to = 0;
    };
    void read();
    void route(const arrival &datagram);
    void carry(index sender, index receiver, const std::string &bytes);
    void deliver(index sender, index receiver, const std::string &bytes);
    address numbered_address(std::uint32_t number) const;

    loop &loop_;
    const link_table &table_;
    const std::vector<address> proxies_;
    random_generator random_;
    tcp_socket socket_;
    int port_ = 0;
    datagram_counters counters_;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
