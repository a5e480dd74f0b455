// SPDX-License-Identifier: Apache-2.0
// The operators' door: an address of its own, one call to a connection, answered from one thread that waits
// for no query.
#pragma once

#include "net/http.hpp"
#include "net/sockets.hpp"
#include "net/threads.hpp"

#include <atomic>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace harrierpass::proxy {

// What the calls do. None may wait for long; `*_server` is false where nobody has that id.
struct control_calls {
    std::function<bool()> ready;
    std::function<std::string()> figures;
    std::function<bool(const std::string &id)> take_out, take_back;
    std::function<void(bool away)> send_away;
};

class control {
public:
    static constexpr std::size_t most_callers = 32; // connections at a time; operators are few

    control(tcp_socket on, control_calls calls);
    ~control();
    address at() const { return local_address(socket_); }

private:
    struct caller {
        tcp_socket socket;
        double since;
        std::vector<char> buffer;
        std::optional<http_reader> reader;
        bool answered = false; // what else it sends is read away until it closes, or for a while
    };
    struct said {
        int status;
        std::string body;
        std::string fields = {};
    };

    void run();
    void take_all();
    bool hear(caller &from); // false: it is done with
    said decide(const http_head &asked) const;
    void answer(caller &to, const said &what);

    tcp_socket socket_;
    const control_calls calls_;
    std::list<caller> callers_; // the oldest first
    std::atomic<bool> over_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
