// SPDX-License-Identifier: Apache-2.0
// Hot restart: the process that serves hands its listening socket and its operators' state to its successor
// over a local socket. Until one of them ends, both exchange operators' commands and what they use of the
// limits that they share.
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

// A message between two processes of one proxy. The kinds' letters on the wire, which releases share, are in
// one table in hot_restart.cpp.
struct peer_message {
    // What the message says, and what its text is.
    enum class kind : std::uint8_t {
        hello,               // a successor asks for the socket; the answer is the state
        endpoint_disabled,   // text: its id
        endpoint_enabled,    // text: its id
        endpoint_enabled_at, // text: "SECONDS ID", Unix time
        draining,            // text: clients are sent away ("1") or not ("0")
        ready,               // the successor accepts clients
        usage,               // text: "DESCRIPTORS CLIENTS"
        done                 // a message was carried out
    };
    kind type;
    std::string text;
};
// What processes use of the limits that hold for all processes of one proxy together.
struct shared_usage {
    std::size_t descriptors = 0, clients = 0;
    bool has_peers = false; // there are other processes
};
// The text of a `usage` message.
[[nodiscard]] std::string to_text(const shared_usage &usage);

// Several messages in the form in which they are sent together, and back. Reading throws parse_error.
[[nodiscard]] std::string to_message(const std::vector<peer_message> &messages);
// The messages in a text; see to_message().
[[nodiscard]] std::vector<peer_message> read_message(std::string_view text);

// Runs its own thread from run() on. broadcast() and has_successor() may be called from any thread.
class hot_restart {
public:
    // Called by its thread.
    struct callbacks {
        std::function<std::vector<peer_message>()> state;        // for a successor
        std::function<void(const peer_message &)> on_message;    // carries it out
        std::function<shared_usage()> local_usage;               // of this process
        std::function<void(const shared_usage &)> on_peer_usage; // of the others
    };

    // `directory`: where the local socket is; `listen`: whose proxy this is.
    hot_restart(std::string directory, const std::string &listen);
    // Ends the thread and closes the connections to the other processes.
    ~hot_restart();
    hot_restart(const hot_restart &) = delete;
    hot_restart &operator=(const hot_restart &) = delete;

    // As a successor, before run(): the listening socket of the process that serves, and its state; empty: no
    // process answers.
    [[nodiscard]] std::optional<std::pair<tcp_socket, std::vector<peer_message>>> take_over();
    // Starts to exchange messages. `listening` is handed to successors and must outlive this.
    void run(callbacks functions, const tcp_socket &listening);
    // This process accepts clients: tells the one before it, and answers later successors.
    void start_serving();
    // Sends a message to all others and waits until they have carried it out, for a short while at most.
    void broadcast(const peer_message &message);
    // Whether a successor accepts clients.
    [[nodiscard]] bool has_successor() const { return has_successor_.load(); }

private:
    // Another process of this proxy.
    struct peer {
        tcp_socket socket;
        bool is_successor = false, ready = false;
        shared_usage usage = {};
        unsigned long sent = 0, acknowledged = 0; // numbers of messages that are to be carried out
    };

    // The thread: accepts successors, reads messages and sends what this process uses.
    void loop();
    // Opens the local socket where successors connect; where that fails it is tried again later.
    void listen_for_successors();
    bool read_messages(peer &from); // false: it has ended
    // Computes anew what the others use, and whether a successor serves.
    void on_peers_changed();
    // Sends messages, and the descriptor `with_socket` unless it is -1. Never waits; false: they were not
    // sent.
    bool write(peer &to, const std::vector<peer_message> &messages, int with_socket = -1);

    const std::string directory_, name_;
    callbacks callbacks_;
    int listening_ = -1;          // the listener's own
    tcp_socket successor_socket_; // where successors ask
    // Protects peers_ and their counts. Its thread alone adds and removes peers, and reads them without it.
    std::mutex lock_;
    std::condition_variable acknowledged_;
    std::list<peer> peers_;
    std::atomic<bool> over_ = false, serves_ = false, has_successor_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
