// SPDX-License-Identifier: Apache-2.0
#include "testbed/program/fleet_shell.hpp"

#include "testbed/runs/virtual_proxy.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass::testbed {
namespace {

constexpr double clock_slack = 0.05; // seconds that the rule checker tolerates between clocks

constexpr const char *help =
    "leave N, join N, crash N, hang N, vanish N, slow N FACTOR, errors N SHARE, spoilt N SHARE, "
    "one_way N, origin_slow FACTOR, origin_stop, list_silent, list_stale; "
    "'end' before any of them ends it; quit";

// Executes a command line and returns the response to print.
std::string execute_command(run_environment &environment, const std::string &line) {
    std::istringstream words(line);
    std::string word;
    words >> word;
    const bool ends = word == "end" && words >> word;
    const index server_count = environment.servers.size();
    fault_settings fault;
    static constexpr std::array kinds = {
        fault_kind::crash,       fault_kind::hang,        fault_kind::vanish,    fault_kind::slow,
        fault_kind::errors,      fault_kind::malformed,   fault_kind::one_way,   fault_kind::origin_slow,
        fault_kind::origin_stop, fault_kind::list_silent, fault_kind::list_stale};
    const auto read_server = [&](index &server) {
        long number = -1;
        words >> number;
        server = static_cast<index>(number);
        return number >= 0 && number < static_cast<long>(server_count);
    };
    const std::string server_numbers = "a server number from 0 to " + std::to_string(server_count - 1);
    if (word == "leave" || word == "join") {
        index server = 0;
        if (!read_server(server))
            return word + ": needs " + server_numbers;
        environment.list.record_change(server,
                                       word == "leave" ? endpoint_state::draining : endpoint_state::ready,
                                       environment.servers.at(server).started());
        return "done";
    }
    for (const auto kind : kinds) {
        if (word != name_of(kind))
            continue;
        fault.kind = kind;
        if (kind <= fault_kind::one_way) {
            fault.servers.resize(1);
            if (!read_server(fault.servers[0]))
                return word + ": needs " + server_numbers;
        }
        if (kind == fault_kind::slow || kind == fault_kind::errors || kind == fault_kind::malformed ||
            kind == fault_kind::origin_slow)
            if (!(words >> fault.factor) || !(fault.factor > 0))
                return word + ": needs a factor or share above 0";
        if (kind == fault_kind::crash && ends == environment.servers.at(fault.servers[0]).up())
            return ends ? "the server is up" : "the server is down already";
        environment.apply(fault, !ends);
        return "done";
    }
    return help;
}

} // namespace

int serve_fleet(const experiment &settings, const shell_options &options) {
    sigset_t blocked;
    sigemptyset(&blocked);
    for (const int signal : {SIGTERM, SIGINT, SIGPIPE})
        sigaddset(&blocked, signal);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    sigdelset(&blocked, SIGPIPE);
    const tcp_socket signals(signalfd(-1, &blocked, SFD_CLOEXEC | SFD_NONBLOCK));

    loop event_loop;
    run_environment environment(event_loop.clock, settings, settings.seeds[0], clock_slack);
    environment.checker.allow_unknown_requests = true;
    if (options.prints_events)
        environment.checker.trace = &std::cout;
    const fleet_ports ports(event_loop, environment, options.ports);
    bool stopping = false;
    event_loop.watch(signals.get(), EPOLLIN, [&](std::uint32_t) { stopping = true; });
    std::string input;
    // epoll cannot watch a regular file or /dev/null; neither is read.
    const bool watches_input = ::isatty(0) == 1 || [] {
        pollfd descriptor{0, POLLIN, 0};
        struct stat status {};
        return ::fstat(0, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode)) &&
               ::poll(&descriptor, 1, 0) >= 0;
    }();
    if (watches_input)
        event_loop.watch(0, EPOLLIN, [&](std::uint32_t) {
            std::array<char, 512> buffer{};
            const auto received = ::read(0, buffer.data(), buffer.size());
            if (received <= 0)
                return event_loop.forget(0); // the fleet continues without input
            input.append(buffer.data(), static_cast<std::size_t>(received));
            for (std::size_t end; (end = input.find('\n')) != std::string::npos; input.erase(0, end + 1)) {
                const std::string line = input.substr(0, end);
                stopping = stopping || line == "quit";
                if (!line.empty() && line != "quit")
                    std::cout << execute_command(environment, line) << std::endl;
            }
        });
    if (!options.configuration_path.empty()) {
        std::ofstream file(options.configuration_path);
        file << ports.configuration(0, options.proxy_address, settings.seeds[0]);
        if (!file.flush())
            throw experiment_error(options.configuration_path + ": cannot be written");
        std::cout << "configuration: " << options.configuration_path << '\n';
    }
    std::cout << "discovery at " << ports.list_at(0) << ", servers at";
    for (index i = 0; i < std::min<index>(environment.servers.size(), 8); ++i)
        std::cout << ' ' << ports.server_at(i);
    std::cout << (environment.servers.size() > 8 ? " ..." : "") << std::endl;
    if (options.plays_faults)
        environment.start_faults();
    event_loop.run([&] { return stopping; });
    const rule_checker &checker = environment.checker;
    std::cout << "attempts " << checker.executions() << ", effects " << checker.effects()
              << ", origin fetches " << environment.servers.source().fetches() << ", rules broken "
              << checker.broken() << '\n';
    for (const auto &history : checker.histories())
        std::cout << history;
    return checker.broken() > 0 ? 1 : 0;
}

} // namespace harrierpass::testbed
