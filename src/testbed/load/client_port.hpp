// SPDX-License-Identifier: Apache-2.0
// The clients' connections to proxies, or straight to a server, in a loop: one query at a time on each, kept,
// and as many more as are needed.
#pragma once

#include "testbed/load/clients.hpp"
#include "testbed/loop/channel.hpp"

namespace harrierpass::testbed {

class client_port {
public:
    client_port(loop &in, const experiment &given, clients &people, observer &judge, index proxies);

    // Where a proxy is, from now on; none: it is not there, and what it had is cut.
    void place(index proxy, const std::optional<address> &at);
    void avoid(index proxy) {
        proxies_.at(proxy).at.reset();
    } // no new connection goes there; open ones are used on
    // Whether the link to a proxy was in trouble at some time since: a connection that ends then has crossed
    // nothing that a client could tell from what was read.
    std::function<bool(index proxy, double since)> troubled = [](index, double) { return false; };
    std::size_t open() const { return open_.size(); }
    std::size_t dials() const { return dials_; }

private:
    struct waiting_answer {
        asking of;
        bool again = false; // was sent once before, on a connection that ended
        double sent = 0;    // when, s
    };
    void put(const asking &query, bool again);
    void leave(const asking &query);
    void message(const std::shared_ptr<channel> &on, const http_reader &answer);
    void ended(const std::shared_ptr<channel> &on, channel::ending how);
    void drop(const std::shared_ptr<channel> &on);
    bool may_use_open(index proxy);
    std::string text_of(const asking &query) const;

    struct place_of_proxy {
        std::optional<address> at;
        std::vector<std::shared_ptr<channel>> idle;
    };
    loop &loop_;
    const experiment &given_;
    clients &people_;
    observer &judge_;
    std::vector<place_of_proxy> proxies_;
    struct connection {
        std::shared_ptr<channel> on;
        index proxy;
        std::optional<waiting_answer> waits;
        asking last;
    };
    std::unordered_map<std::uint64_t, connection> open_; // by tag
    std::unordered_map<operation, std::uint64_t> by_op_; // tags of those that wait
    std::uint64_t next_ = 1;
    std::size_t dials_ = 0;
};

} // namespace harrierpass::testbed
