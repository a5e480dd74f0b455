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
struct control_handlers {
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<bool(const std::string &id)> disable_endpoint, enable_endpoint;
    std::function<void(bool away)> set_draining;
};

class control_server {
public:
    static constexpr std::size_t max_connections = 32; // connections at a time; operators are few

    control_server(tcp_socket on, control_handlers calls);
    ~control_server();
    address at() const { return local_address(socket_); }

private:
    struct client {
        tcp_socket socket;
        double since;
        std::vector<char> buffer;
        std::optional<http_reader> reader;
        bool answered = false; // what else it sends is read away until it closes, or for a while
    };
    struct response {
        int status;
        std::string body;
        std::string fields = {};
    };

    void run();
    void accept_all();
    bool read_request(client &from); // false: it is done with
    response handle(const http_head &asked) const;
    void answer(client &to, const response &what);

    tcp_socket socket_;
    const control_handlers handlers_;
    std::list<client> clients_; // the oldest first
    std::atomic<bool> over_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
