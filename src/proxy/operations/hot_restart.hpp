// SPDX-License-Identifier: Apache-2.0
// Hot restart: the serving process passes its listening socket and the state set by operators to its
// successor over a local socket. Until one of them ends, both processes exchange the commands of operators
// and their usage of shared limits.
#pragma once

#include "net/sockets.hpp"
#include "net/threads.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace harrierpass::proxy {

// A message between two processes of one proxy. hot_restart.cpp has the table of the letters that stand for
// the kinds on the wire; different releases have to agree on them.
struct peer_message {
    // The kind of message and the content of its text.
    enum class kind : std::uint8_t {
        hello,               // a successor requests the listening socket; the response is the state
        endpoint_disabled,   // text: the endpoint's id
        endpoint_enabled,    // text: the endpoint's id
        endpoint_enabled_at, // text: "SECONDS ID", Unix time
        draining,            // text: "1" if clients are sent to other proxies, otherwise "0"
        ready,               // the successor accepts clients
        usage,               // text: "DESCRIPTORS CLIENTS"
        done                 // acknowledges a message that was processed
    };
    kind type;
    std::string text;
};

// Usage of the limits that all processes of one proxy share.
struct shared_usage {
    std::size_t descriptors = 0, clients = 0;
    bool has_peers = false; // other processes of this proxy exist
};

// The text of a `usage` message.
[[nodiscard]] std::string to_text(const shared_usage &usage);

// Encodes several messages that are sent together.
[[nodiscard]] std::string to_message(const std::vector<peer_message> &messages);

// Decodes the result of to_message(). Throws parse_error.
[[nodiscard]] std::vector<peer_message> read_message(std::string_view text);

// Runs a thread of its own after run(). broadcast() and has_successor() may be called from any thread.
class hot_restart {
public:
    // Called by the thread.
    struct callbacks {
        std::function<std::vector<peer_message>()> state;        // the state for a successor
        std::function<void(const peer_message &)> on_message;    // processes a message
        std::function<shared_usage()> local_usage;               // the usage of this process
        std::function<void(const shared_usage &)> on_peer_usage; // receives the usage of all peers
    };

    // `directory` has the local socket; `listen` is the listening address, which identifies the proxy.
    hot_restart(std::string directory, const std::string &listen);
    // Stops the thread and closes the connections to the peers.
    ~hot_restart();
    hot_restart(const hot_restart &) = delete;
    hot_restart &operator=(const hot_restart &) = delete;

    // Requests the listening socket and the state of the serving process; empty if no process responds. Call
    // before run().
    [[nodiscard]] std::optional<std::pair<tcp_socket, std::vector<peer_message>>> take_over();
    // Starts to exchange messages. `listener` is passed to successors and must outlive this object.
    void run(callbacks handlers, const tcp_socket &listener);
    // This process accepts clients: notifies its predecessor and accepts successors of its own.
    void start_serving();
    // Sends a message to all peers and waits a limited time for their acknowledgements.
    void broadcast(const peer_message &message);
    // Whether a successor accepts clients.
    [[nodiscard]] bool has_successor() const { return has_successor_.load(); }

private:
    // Another process of this proxy.
    struct peer {
        tcp_socket socket;
        bool is_successor = false, ready = false;
        shared_usage usage = {};
        unsigned long sent = 0, acknowledged = 0; // numbers of messages that need an acknowledgement
    };

    // The body of the thread: accepts successors, reads messages and sends the usage of this process.
    void loop();
    // Opens the local socket for successors. If that fails, the thread retries later.
    void listen_for_successors();
    // Returns false if the peer has ended or sent a malformed message.
    bool read_messages(peer &sender);
    // Recomputes the usage of all peers and whether a successor is serving.
    void on_peers_changed();
    // Sends messages and the descriptor `passed_fd` unless it is -1. Never blocks; returns false if the
    // messages were not sent.
    bool write(peer &receiver, const std::vector<peer_message> &messages, int passed_fd = -1);

    const std::string directory_, name_;
    callbacks callbacks_;
    int listener_fd_ = -1;        // not owned
    tcp_socket successor_socket_; // successors connect to it
    // Protects peers_ and their counters. Only the thread adds and removes peers; it reads peers_ without the
    // lock.
    std::mutex mutex_;
    std::condition_variable acknowledged_;
    std::list<peer> peers_;
    std::atomic<bool> stopping_ = false, is_serving_ = false, has_successor_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
