// SPDX-License-Identifier: Apache-2.0
// The operators' HTTP interface: an address of its own, one request to a connection, answered from one thread
// that waits for no client's request.
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

// What the requests do. None may wait for long.
struct control_handlers {
    std::function<bool()> ready;          // whether clients are accepted
    std::function<std::string()> metrics; // the metrics page
    // False: no endpoint has that id.
    std::function<bool(const std::string &id)> disable_endpoint, enable_endpoint;
    std::function<void(bool draining)> set_draining; // sends clients away, or takes them again
};

// Runs its own thread for as long as it lives.
class control_server {
public:
    static constexpr std::size_t max_connections = 32; // at a time; a further one replaces the oldest

    // Starts the thread. The handlers are called by it.
    control_server(tcp_socket listening, control_handlers handlers);
    // Ends the thread; requests that were not answered are dropped.
    ~control_server();
    control_server(const control_server &) = delete;
    control_server &operator=(const control_server &) = delete;

    // The address that it listens on.
    [[nodiscard]] address at() const { return local_address(socket_); }

private:
    // An operator's connection.
    struct client {
        tcp_socket socket;
        double since; // accepted, or answered; s of the steady clock
        std::vector<char> buffer;
        std::optional<http_reader> reader;
        bool answered = false; // what else it sends is discarded until it closes, or for a while
    };
    // A response; `fields` are whole header lines.
    struct response {
        int status;
        std::string body;
        std::string fields = {};
    };

    // The thread: accepts, reads and answers until the end.
    void run();
    // Accepts until none is waiting, and reads from each at once.
    void accept_all();
    bool read_request(client &from); // false: its connection is to close
    // Carries out a request; the response to it.
    response handle(const http_head &request) const;
    // Writes a response; from then on the connection is only read until it closes.
    void answer(client &to, const response &content);

    tcp_socket socket_;
    const control_handlers handlers_;
    std::list<client> clients_; // the oldest first; the thread's own
    std::atomic<bool> over_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
