// SPDX-License-Identifier: Apache-2.0
// The clients' connections to proxies, or straight to a server, in a loop: one query at a time on each, kept,
// and as many more as are needed.
#pragma once

#include "testbed/load/load_generator.hpp"
#include "testbed/loop/channel.hpp"

namespace harrierpass::testbed {

class client_connections {
public:
    client_connections(loop &in, const experiment &given, load_generator &generator, witness &checker,
                       index proxies);

    // Where a proxy is, from now on; none: it is not there, and what it had is cut.
    void set_proxy_address(index proxy, const std::optional<address> &at);
    void stop_connecting_to(index proxy) {
        proxies_.at(proxy).at.reset();
    } // no new connection goes there; open ones are used on
    // Whether the link to a proxy was in trouble at some time since: a connection that ends then has crossed
    // nothing that a client could tell from what was read.
    std::function<bool(index proxy, double since)> link_impaired_since = [](index, double) { return false; };
    std::size_t open() const { return open_.size(); }
    std::size_t connects() const { return connects_; }

private:
    struct pending_response {
        client_request of;
        bool resent = false; // was sent once before, on a connection that ended
        double sent = 0;     // when, s
    };
    void send(const client_request &query, bool resent);
    void abandon(const client_request &query);
    void on_response(const std::shared_ptr<channel> &on, const http_reader &answer);
    void on_connection_ended(const std::shared_ptr<channel> &on, channel::ending how);
    void close(const std::shared_ptr<channel> &on);
    bool may_use_open(index proxy);
    std::string request_text(const client_request &query) const;

    struct proxy_connections {
        std::optional<address> at;
        std::vector<std::shared_ptr<channel>> idle;
    };
    loop &loop_;
    const experiment &experiment_;
    load_generator &generator_;
    witness &checker_;
    std::vector<proxy_connections> proxies_;
    struct connection {
        std::shared_ptr<channel> on;
        index proxy;
        std::optional<pending_response> pending;
        client_request last;
    };
    std::unordered_map<std::uint64_t, connection> open_;            // by tag
    std::unordered_map<operation, std::uint64_t> tag_of_operation_; // tags of those that wait
    std::uint64_t next_ = 1;
    std::size_t connects_ = 0;
};

} // namespace harrierpass::testbed
