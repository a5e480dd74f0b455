// SPDX-License-Identifier: Apache-2.0
// Takes clients' connections and gives each a thread; ends idle ones when room runs short.
#pragma once

#include "proxy/request/request_session.hpp"

#include <algorithm>
#include <list>

namespace harrierpass::proxy {

class listener {
public:
    // `most`: connections; somewhat beyond it queries are refused, further ones wait to be accepted. From
    // `tight` on one at rest ends for each that comes.
    listener(proxy_context &with, tcp_socket on, std::size_t most, std::size_t tight)
        : context_(with), socket_(std::move(on)), max_connections_(most),
          reclaim_threshold_(std::min(most, tight)) {}

    // So many connections from now on; another process of this proxy has the others.
    void set_capacity(std::size_t most, std::size_t tight) {
        max_connections_ = most;
        reclaim_threshold_ = std::min(most, tight);
    }
    // Asked before each connection that is taken: whether another process takes them now.
    std::function<bool()> has_successor = [] { return false; };
    const tcp_socket &socket() const { return socket_; }
    std::size_t connections();
    // The accepting thread's. Ends once connections are to close and nothing is left.
    void run();

private:
    struct connection_entry {
        pthread_t thread{};
        bool started = false;
        bool idle = false;
        double idle_since = 0;
        double rested = 0;                          // s at rest before its latest request, or before its end
        std::atomic<bool> has_sent_request = false; // has brought a query before
        std::atomic<bool> must_close = false;
    };

    bool accept_one();
    void wake_all();
    void serve(connection_entry &me, client_connection from, const std::string &peer);
    const char *await_request(connection_entry &me, client_connection &from);
    void set_idle(connection_entry &me, bool idle);
    bool close_one_idle();
    bool fuller_than(double share); // of the most connections

    proxy_context &context_;
    tcp_socket socket_;
    std::atomic<std::size_t> max_connections_, reclaim_threshold_;
    std::mutex lock_;
    std::list<connection_entry> entries_;
};

} // namespace harrierpass::proxy
