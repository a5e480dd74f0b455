// SPDX-License-Identifier: Apache-2.0
// Parts of a run's world that are processes of their own: servers, and the list service. The run speaks with
// each over a pair of sockets, in messages of one size. A worker writes what it sees before it does anything
// of it, so that a kill takes nothing with it that another process could have noticed.
//
//   the worker says      the run says
//   event   what it saw       fault    a model's, as the script has it
//   beat    its clock          fetched, written   what the origin made of it
//   fetch, write  of the origin    void_copy   a key that was written
//   connection, call   for the figures    load, publish, silent   the list
//   ready
#pragma once

#include "testbed/loop/loop.hpp"
#include "testbed/model/membership.hpp"
#include "testbed/model/servers.hpp"
#include "testbed/processes/process.hpp"
#include "testbed/verification/event_merge.hpp"

#include <memory>

namespace harrierpass::testbed {

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

// Either end of the pair.
class worker_connection {
public:
    // `waits`: a message is with the system when send() returns; else what there is no room for is kept.
    worker_connection(loop &in, tcp_socket socket, bool blocks);
    ~worker_connection();
    worker_connection(const worker_connection &) = delete;
    worker_connection &operator=(const worker_connection &) = delete;
    void send(const worker_message &what);
    void drain(); // reads what has come, to the end if the other side is gone
    bool open() const { return static_cast<bool>(socket_); }
    std::function<void(const worker_message &)> on_message;
    std::function<void()> on_end;

private:
    void on_events(std::uint32_t events);
    void end();
    loop &loop_;
    tcp_socket socket_;
    const bool blocks_;
    std::string in_, out_;
};

// The run's side of one worker.
class worker_process {
public:
    worker_process(loop &in, event_merge &events, std::vector<std::string> command, const std::string &log);
    void start();
    void kill();            // outright; what it had written is heard first
    void stop(bool begins); // SIGSTOP, SIGCONT
    void end();             // told to; it is waited for by runs()
    bool runs() const { return process_.runs(); }
    bool ready() const { return ready_; }
    void send(const worker_message &what);
    double last() const { return last_; } // of its events, s

    std::function<void(const worker_message &)> on_message; // but beats
    std::function<void()> on_ready, on_death;               // death: not by kill() or end()

private:
    void handle_message(const worker_message &what);
    loop &loop_;
    event_merge &events_;
    child_process process_;
    std::unique_ptr<worker_connection> link_;
    std::vector<worker_message> unsent_; // said before it was ready
    std::size_t source_;
    double last_ = 0;
    bool ready_ = false, ends_ = false;
};

// What the worker's program does, until the run is gone or says so. `path`: a file that the run wrote.
int run_worker_process(const std::string &path);

} // namespace harrierpass::testbed
