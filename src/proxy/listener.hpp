// SPDX-License-Identifier: Apache-2.0
// Takes clients' connections and gives each a thread; ends idle ones when room runs short.
#pragma once

#include "proxy/query.hpp"

#include <algorithm>
#include <list>

namespace harrierpass::proxy {

class listener {
public:
    // `most`: connections; somewhat beyond it queries are refused, further ones wait to be accepted. From
    // `tight` on one at rest ends for each that comes.
    listener(engine &with, tcp_socket on, std::size_t most, std::size_t tight)
        : with_(with), socket_(std::move(on)), most_(most), tight_(std::min(most, tight)) {}

    // So many connections from now on; another process of this proxy has the others.
    void use_most(std::size_t most, std::size_t tight) {
        most_ = most;
        tight_ = std::min(most, tight);
    }
    // Asked before each connection that is taken: whether another process takes them now.
    std::function<bool()> succeeded = [] { return false; };
    const tcp_socket &socket() const { return socket_; }
    std::size_t connections();
    // The accepting thread's. Ends once connections are to close and nothing is left.
    void run();

private:
    struct entry {
        pthread_t thread{};
        bool started = false;
        bool idle = false;
        double idle_since = 0;
        double rested = 0;               // s at rest before its latest request, or before its end
        std::atomic<bool> asked = false; // has brought a query before
        std::atomic<bool> to_end = false;
    };

    bool take_one();
    void wake_all();
    void serve(entry &me, client from, const std::string &peer);
    const char *await_query(entry &me, client &from);
    void set_idle(entry &me, bool idle);
    bool end_one_idle();
    bool fuller_than(double share); // of the most connections

    engine &with_;
    tcp_socket socket_;
    std::atomic<std::size_t> most_, tight_;
    std::mutex lock_;
    std::list<entry> entries_;
};

} // namespace harrierpass::proxy
