// SPDX-License-Identifier: Apache-2.0
// Parts of a run's world that are processes of their own: servers, and the list service. The run speaks with
// each over a pair of sockets, in messages of one size. A part writes what it sees before it does anything of
// it, so that a kill takes nothing with it that another process could have noticed.
//
//   the part says      the run says
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
#include "testbed/verification/merge.hpp"

#include <memory>

namespace harrierpass::testbed {

struct part_message {
    enum class kind : std::uint8_t {
        event,
        beat,
        fetch,
        write,
        connection,
        call,
        ready,
        fault,
        fetched,
        written,
        void_copy,
        load,
        publish,
        silent
    };
    kind is = kind::beat;
    std::uint8_t small = 0, flag = 0, flag2 = 0;
    index a = 0, b = 0;
    std::uint64_t number = 0, key = 0;
    double x = 0;
    seen event;
};

// Either end of the pair.
class part_link {
public:
    // `waits`: a message is with the system when send() returns; else what there is no room for is kept.
    part_link(loop &in, tcp_socket socket, bool waits);
    ~part_link();
    part_link(const part_link &) = delete;
    part_link &operator=(const part_link &) = delete;
    void send(const part_message &what);
    void drain(); // reads what has come, to the end if the other side is gone
    bool open() const { return static_cast<bool>(socket_); }
    std::function<void(const part_message &)> on_message;
    std::function<void()> on_end;

private:
    void came(std::uint32_t events);
    void end();
    loop &loop_;
    tcp_socket socket_;
    const bool waits_;
    std::string in_, out_;
};

// The run's side of one part.
class part_process {
public:
    part_process(loop &in, event_merge &events, std::vector<std::string> command, const std::string &log);
    void start();
    void kill();            // outright; what it had written is heard first
    void stop(bool begins); // SIGSTOP, SIGCONT
    void end();             // told to; it is waited for by runs()
    bool runs() const { return process_.runs(); }
    bool ready() const { return ready_; }
    void send(const part_message &what);
    double last() const { return last_; } // of its events, s

    std::function<void(const part_message &)> on_message; // but beats
    std::function<void()> on_ready, on_death;             // death: not by kill() or end()

private:
    void heard(const part_message &what);
    loop &loop_;
    event_merge &events_;
    child_process process_;
    std::unique_ptr<part_link> link_;
    std::vector<part_message> early_; // said before it was ready
    std::size_t source_;
    double last_ = 0;
    bool ready_ = false, ends_ = false;
};

// What the part's program does, until the run is gone or says so. `path`: a file that the run wrote.
int run_part(const std::string &path);

} // namespace harrierpass::testbed
