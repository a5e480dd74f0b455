// SPDX-License-Identifier: Apache-2.0
// A child process of a run, a proxy under test or a worker: started, followed by its log, signalled and
// measured.
#pragma once

#include "net/sockets.hpp"
#include "testbed/loop/loop.hpp"
#include "testbed/processes/signal_queue.hpp"

#include <fstream>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace harrierpass::testbed {

// What a process uses of the machine.
struct process_usage {
    double cpu = 0;                // s of CPU since its start
    std::uint64_t resident_kb = 0; // now
    std::uint64_t descriptors = 0;
};

// Of any process of this user, from /proc; empty where it is gone.
std::optional<process_usage> measure_usage(pid_t pid);

// Used from the loop's thread only.
class child_process {
public:
    // `command`: program and arguments. What it writes to standard error goes to `log`. `control`: it gets
    // one end of a pair of sockets as descriptor 3, and take_control() gives the other one.
    child_process(loop &in, std::vector<std::string> command, const std::string &log, bool control = false);
    ~child_process(); // kills it
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    // Spawns it on a thread of its own, as hundreds of starts would delay the loop. Throws std::system_error
    // where there is no such program or no descriptor.
    void start();
    void signal(int which); // does not wait: one that is still being spawned gets it when it exists
    void kill();            // SIGKILL, and waits for its end
    bool runs() const { return pid_ > 0 || spawned_.valid(); }
    pid_t pid();                        // waits until it is spawned; 0: it could not be started
    double cpu() const { return cpu_; } // s, of all its ended processes
    tcp_socket take_control() { return std::move(control_); }
    static constexpr int control_place = 3; // descriptor number of the control socket in the child

    std::function<void(const address &)> on_listening;         // its log names its address
    std::function<void()> on_exit;                             // not by kill()
    std::function<void(const std::string &line)> on_violation; // its log reports a broken invariant
    std::function<void(const std::string &name, double value)> on_counter; // as it prints them on SIGUSR1

private:
    void read();
    void reap();

    loop &loop_;
    const std::vector<std::string> command_;
    std::ofstream log_;
    std::string line_;
    const bool controlled_;
    tcp_socket control_;
    tcp_socket errors_;                     // the reading end of its standard error
    std::future<pid_t> spawned_;            // until somebody asks for the pid
    std::shared_ptr<signal_queue> signals_; // shared with the thread that spawns it; empty: not started
    pid_t pid_ = 0;
    double cpu_ = 0;
};

} // namespace harrierpass::testbed
