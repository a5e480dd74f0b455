// SPDX-License-Identifier: Apache-2.0
// One proxy, two processes: the one that serves hands its listening socket, and what operators asked of it,
// to its successor over a local socket; both then tell each other what the other must know, until one is
// gone.
#pragma once

#include "net/sockets.hpp"
#include "net/threads.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace harrierpass::proxy {

// What one process tells the other: a kind and its text.
struct peer_message {
    enum class kind : char {
        hello = 'h', // a successor asks for the socket; answered by the state, which ends with `done`
        endpoint_disabled = 'o',   // this server is out by hand
        endpoint_enabled = 'b',    // it is back
        endpoint_enabled_at = 't', // it came back at that time: "SECONDS ID"
        draining = 'a',            // clients are sent away ("1") or not ("0")
        ready = 'r',               // the successor takes clients
        usage = 'u',               // what is in use: "DESCRIPTORS CLIENTS"
        done = 'd'                 // the number of the message that was carried out
    };
    kind type;
    std::string text;
};
// Of the limits that all processes of one proxy keep together.
struct shared_usage {
    std::size_t descriptors = 0, clients = 0;
    bool has_peers = false; // there is another process
};
std::string to_text(const shared_usage &from);
std::string to_message(const std::vector<peer_message> &from);
// Throws bad_text.
std::vector<peer_message> read_message(std::string_view from);

class hot_restart {
public:
    struct callbacks {
        std::function<std::vector<peer_message>()> state;        // for a successor
        std::function<void(const peer_message &)> on_message;    // carried out when it returns
        std::function<shared_usage()> local_usage;               // here
        std::function<void(const shared_usage &)> on_peer_usage; // at the other processes
    };

    // `directory`: where the local socket is; `listen`: whose proxy this is.
    hot_restart(const std::string &directory, const std::string &listen);
    ~hot_restart();

    // As a successor: the listening socket of the process that serves, and its state; empty: none does.
    std::optional<std::pair<tcp_socket, std::vector<peer_message>>> take_over();
    // Begins to hear others; from then on successors are answered if `serves`.
    void run(callbacks with, const tcp_socket &listening);
    // The successor takes clients: tells the one before, and answers later successors itself.
    void start_serving();
    // Tells all others, and waits until they have done it, or for a short while.
    void broadcast(const peer_message &what);
    bool has_successor() const { return has_successor_.load(); } // a successor takes clients

private:
    struct peer {
        tcp_socket socket;
        bool is_successor = false, ready = false;
        shared_usage usage = {};
        unsigned long sent = 0, acknowledged = 0; // messages that are to be carried out, by number
    };

    void loop();
    void listen_for_successors();
    bool read_messages(peer &from); // false: it is gone
    void on_peers_changed();
    bool write(peer &to, const std::vector<peer_message> &what, int with_socket = -1);

    const std::string directory_, name_;
    callbacks callbacks_;
    int listening_ = -1;          // the clients'; the listener's own
    tcp_socket successor_socket_; // where successors ask
    std::mutex lock_;             // of links_ and their counts
    std::condition_variable acknowledged_;
    std::list<peer> peers_;
    std::atomic<bool> over_ = false, serves_ = false, has_successor_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
