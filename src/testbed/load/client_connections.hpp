// SPDX-License-Identifier: Apache-2.0
// The load generator's connections to proxies, or straight to a server, on sockets: one request at a time on
// each, kept alive, and a new one where none is idle. Used from the loop's thread only.
#pragma once

#include "testbed/load/load_generator.hpp"
#include "testbed/loop/channel.hpp"

namespace harrierpass::testbed {

// Sends the generator's requests and reports how each ended. All that it is given outlives it.
class client_connections {
public:
    client_connections(loop &in, const experiment &given, load_generator &generator, observer &checker,
                       index proxies);

    // Where a proxy is from now on; none: it is gone, and its connections are closed.
    void set_proxy_address(index proxy, const std::optional<address> &at);
    // Opens no new connection to a proxy; open ones stay in use.
    void stop_connecting_to(index proxy) { proxies_.at(proxy).at.reset(); }
    // Whether the link to a proxy was impaired at some time since `since` (s). A client then cannot tell
    // whether a request on a connection that ended was read.
    std::function<bool(index proxy, double since)> link_impaired_since = [](index, double) { return false; };
    std::size_t open() const { return open_.size(); }  // connections now
    std::size_t connects() const { return connects_; } // since the start

private:
    // The request that a connection waits for a response to.
    struct pending_response {
        client_request of;
        bool resent = false; // it was sent once before, on a connection that ended
        double sent = 0;     // when, s
    };
    void send(const client_request &query, bool resent);
    void abandon(const client_request &query);
    void on_response(const std::shared_ptr<channel> &on, const http_reader &answer);
    void on_connection_ended(const std::shared_ptr<channel> &on, channel::ending how);
    void close(const std::shared_ptr<channel> &on);
    bool may_use_open(index proxy);
    std::string request_text(const client_request &query) const;

    // Where a proxy is, and the idle connections to it.
    struct proxy_connections {
        std::optional<address> at;
        std::vector<std::shared_ptr<channel>> idle;
    };
    loop &loop_;
    const experiment &experiment_;
    load_generator &generator_;
    observer &checker_;
    std::vector<proxy_connections> proxies_;
    // An open connection; `last` is the request that it carried last.
    struct connection {
        std::shared_ptr<channel> on;
        index proxy;
        std::optional<pending_response> pending;
        client_request last;
    };
    std::unordered_map<std::uint64_t, connection> open_;            // by tag
    std::unordered_map<operation, std::uint64_t> tag_of_operation_; // of pending requests
    std::uint64_t next_ = 1;
    std::size_t connects_ = 0;
};

} // namespace harrierpass::testbed
