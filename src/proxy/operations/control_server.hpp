// SPDX-License-Identifier: Apache-2.0
// The HTTP interface for operators, on an address of its own. Handles one request per connection, in a single
// thread that never blocks on a client's request.
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

// The actions behind the requests. None may block for long.
struct control_handlers {
    std::function<bool()> ready;          // whether the proxy accepts clients
    std::function<std::string()> metrics; // the metrics page
    // Returns false if no endpoint has that id.
    std::function<bool(const std::string &id)> disable_endpoint, enable_endpoint;
    // Makes clients go to other proxies, or accepts them again.
    std::function<void(bool draining)> set_draining;
};

// Runs a thread of its own until it is destroyed.
class control_server {
public:
    static constexpr std::size_t max_connections = 32; // concurrent; one more replaces the oldest

    // Starts the thread, which calls the handlers.
    control_server(tcp_socket listener, control_handlers handlers);
    // Stops the thread and drops requests without a response.
    ~control_server();
    control_server(const control_server &) = delete;
    control_server &operator=(const control_server &) = delete;

    [[nodiscard]] address listen_address() const { return local_address(listener_); }

private:
    // The connection of an operator.
    struct client {
        tcp_socket socket;
        double timeout_start; // when it was accepted or its response was sent; s of the steady clock
        std::vector<char> buffer;
        std::optional<http_reader> reader;
        bool response_sent = false; // further bytes are discarded until the client closes or times out
    };
    // `fields` are complete header lines.
    struct response {
        int status;
        std::string body;
        std::string fields = {};
    };

    // The body of the thread: accepts connections and handles requests until the destructor runs.
    void run();
    // Accepts all waiting connections and reads from each immediately.
    void accept_clients();
    // Returns false if the connection has to be closed.
    bool read_request(client &connection);
    // Performs a request and returns the response.
    response handle(const http_head &request) const;
    // Sends a response; afterwards the connection is only read until the client closes it.
    void send_response(client &connection, const response &content);

    tcp_socket listener_;
    const control_handlers handlers_;
    std::list<client> clients_; // the oldest first; accessed by the thread alone
    std::atomic<bool> stopping_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
