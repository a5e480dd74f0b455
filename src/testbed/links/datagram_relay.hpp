// SPDX-License-Identifier: Apache-2.0
// Datagrams between the proxies of a run, over links that lose, delay,
// duplicate and reorder them as the table of conditions says. Each ordered pair
// of proxies has a loopback address; one socket serves them all.
#pragma once

#include "net/sockets.hpp"
#include "testbed/links/conditions.hpp"
#include "testbed/loop/loop.hpp"

#include <memory>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// What is sent to `address_of(p, q)` from p's own address reaches q, with
// `address_of(q, p)` as its sender; from elsewhere it reaches nobody. Used from
// the loop's thread only.
class datagram_relay {
public:
    // `proxies`: the address that each proxy binds, by number. `seed`: of loss
    // and jitter. Throws std::system_error where there is no socket.
    datagram_relay(loop &in, const link_table &table, std::vector<address> proxies, std::uint32_t seed);
    ~datagram_relay();
    datagram_relay(const datagram_relay &) = delete;
    datagram_relay &operator=(const datagram_relay &) = delete;

    // Where proxy `by` finds proxy `other`.
    address address_of(index by, index other) const;
    // Where proxy `by` reaches all other proxies with one datagram.
    address broadcast_address(index by) const;

    // Datagrams since the start; `bytes` of those sent. A copy for each receiver
    // counts as delivered or dropped. `foreign`: from an address that is no
    // proxy's, or not the right one's.
    struct datagram_counters {
        std::uint64_t sent = 0, bytes = 0, delivered = 0, dropped = 0, duplicated = 0, reordered = 0,
                      foreign = 0, too_long = 0;
    };
    const datagram_counters &counters() const { return counters_; }

private:
    // A datagram as it arrived, and the relay's address that it was sent to, in
    // host order.
    struct arrival {
        std::string bytes;
        address sender;
        std::uint32_t sent_to = 0;
    };
    void read();
    void route(const arrival &datagram);
    void carry(index from, index to, const std::string &bytes);
    void deliver(index from, index to, const std::string &bytes);
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
