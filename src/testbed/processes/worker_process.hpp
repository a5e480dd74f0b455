// SPDX-License-Identifier: Apache-2.0
// Worker processes of a run: servers, or the list service, in a process of their own. The run talks to each
// over a pair of sockets, in messages of one size. A worker sends what it observes before it acts on it, so
// that a kill loses nothing that another process could have noticed.
//
//   the worker sends                              the run sends
//   event             what it observed            fault               of a server's model
//   heartbeat         its clock                   fetched, written    the origin's response
//   fetch, write      a request to the origin     void_copy           a key that was written
//   connection, poll  for the metrics             load, publish       an entry of the list
//   ready             it is up                    silent              the list service's silence
#pragma once

#include "testbed/loop/loop.hpp"
#include "testbed/model/membership.hpp"
#include "testbed/model/servers.hpp"
#include "testbed/processes/process.hpp"
#include "testbed/verification/event_merge.hpp"

#include <memory>

namespace harrierpass::testbed {

// `small`, `a`, `b`, `x` and the rest are the arguments of the kind. The layout is that of one build: both
// ends are the same program.
struct worker_message {
    enum class kind : std::uint8_t {
        event,
        heartbeat,
        fetch,
        write,
        connection,
        poll,
        ready,
        fault,
        fetched,
        written,
        void_copy,
        load,
        publish,
        silent
    };
    kind is = kind::heartbeat;
    std::uint8_t small = 0, flag = 0, flag2 = 0;
    index a = 0, b = 0;
    std::uint64_t number = 0, key = 0;
    double x = 0;
    observed_event event;
};

// Either end of the pair of sockets.
class worker_connection {
public:
    // `blocks`: send() returns once the system has the message; else what does not fit is queued.
    worker_connection(loop &in, tcp_socket socket, bool blocks);
    ~worker_connection();
    worker_connection(const worker_connection &) = delete;
    worker_connection &operator=(const worker_connection &) = delete;
    void send(const worker_message &what);
    void drain(); // reads all that has arrived, to the end if the other side is gone
    bool open() const { return static_cast<bool>(socket_); }
    std::function<void(const worker_message &)> on_message;
    std::function<void()> on_end; // the other side has closed

private:
    void on_events(std::uint32_t events);
    void end();
    loop &loop_;
    tcp_socket socket_;
    const bool blocks_;
    std::string in_, out_;
};

// The run's side of one worker. Passes its events to the merge; `in` and `events` outlive it.
class worker_process {
public:
    // `command`: program and arguments. `log`: file for its standard error.
    worker_process(loop &in, event_merge &events, std::vector<std::string> command, const std::string &log);
    void start();
    void kill();            // SIGKILL; what it had sent is read first
    void stop(bool begins); // SIGSTOP, SIGCONT
    void end();             // SIGTERM; over once runs() is false
    bool runs() const { return process_.runs(); }
    bool ready() const { return ready_; }
    void send(const worker_message &what);
    double last() const { return last_; } // time of its last event, s

    std::function<void(const worker_message &)> on_message; // all but heartbeats and ready
    std::function<void()> on_ready, on_death;               // death: not by kill() or end()

private:
    void handle_message(const worker_message &what);
    loop &loop_;
    event_merge &events_;
    child_process process_;
    std::unique_ptr<worker_connection> link_;
    std::vector<worker_message> unsent_; // sent once it is ready
    std::size_t source_;
    double last_ = 0;
    bool ready_ = false, ends_ = false;
};

// The worker's main function: serves until the run closes its end or SIGTERM. `path`: the setup that the run
// wrote. Returns the exit code; throws where the setup cannot be used.
int run_worker_process(const std::string &path);

} // namespace harrierpass::testbed
