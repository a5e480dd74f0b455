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
struct news {
    enum class kind : char {
        hello = 'h',   // a successor asks for the socket; answered by the state, which ends with `done`
        out = 'o',     // this server is out by hand
        back = 'b',    // it is back
        back_at = 't', // it came back at that time: "SECONDS ID"
        away = 'a',    // clients are sent away ("1") or not ("0")
        ready = 'r',   // the successor takes clients
        used = 'u',    // what is in use: "DESCRIPTORS CLIENTS"
        done = 'd'     // the number of the message that was carried out
    };
    kind what;
    std::string text;
};
// Of the limits that all processes of one proxy keep together.
struct in_use {
    std::size_t descriptors = 0, clients = 0;
    bool anybody = false; // there is another process
};
std::string to_text(const in_use &from);
std::string to_message(const std::vector<news> &from);
// Throws bad_text.
std::vector<news> read_message(std::string_view from);

class handover {
public:
    struct calls {
        std::function<std::vector<news>()> state;   // for a successor
        std::function<void(const news &)> heard;    // carried out when it returns
        std::function<in_use()> used;               // here
        std::function<void(const in_use &)> others; // at the other processes
    };

    // `directory`: where the local socket is; `listen`: whose proxy this is.
    handover(const std::string &directory, const std::string &listen);
    ~handover();

    // As a successor: the listening socket of the process that serves, and its state; empty: none does.
    std::optional<std::pair<tcp_socket, std::vector<news>>> take();
    // Begins to hear others; from then on successors are answered if `serves`.
    void run(calls with, const tcp_socket &listening);
    // The successor takes clients: tells the one before, and answers later successors itself.
    void serve();
    // Tells all others, and waits until they have done it, or for a short while.
    void tell(const news &what);
    bool succeeded() const { return succeeded_.load(); } // a successor takes clients

private:
    struct link {
        tcp_socket socket;
        bool successor = false, ready = false;
        in_use used = {};
        unsigned long sent = 0, done = 0; // messages that are to be carried out, by number
    };

    void loop();
    void open_door();
    bool hear(link &from); // false: it is gone
    void after_change();
    bool write(link &to, const std::vector<news> &what, int with_socket = -1);

    const std::string directory_, name_;
    calls calls_;
    int listening_ = -1; // the clients'; the listener's own
    tcp_socket door_;    // where successors ask
    std::mutex lock_;    // of links_ and their counts
    std::condition_variable carried_out_;
    std::list<link> links_;
    std::atomic<bool> over_ = false, serves_ = false, succeeded_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
