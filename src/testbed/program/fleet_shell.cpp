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

constexpr const char *help =
    "leave N, join N, crash N, hang N, vanish N, slow N FACTOR, errors N SHARE, spoilt N SHARE, "
    "one_way N, origin_slow FACTOR, origin_stop, list_silent, list_stale; "
    "'end' before any of them ends it; quit";

// One line typed in: what is said of it.
std::string obey(run_environment &all, const std::string &line) {
    std::istringstream words(line);
    std::string word;
    words >> word;
    const bool ends = word == "end" && words >> word;
    const index most = all.servers.size();
    fault_settings fault;
    static constexpr std::array kinds = {
        fault_kind::crash,       fault_kind::hang,        fault_kind::vanish,    fault_kind::slow,
        fault_kind::errors,      fault_kind::malformed,   fault_kind::one_way,   fault_kind::origin_slow,
        fault_kind::origin_stop, fault_kind::list_silent, fault_kind::list_stale};
    const auto server = [&](index &to) {
        long number = -1;
        words >> number;
        to = static_cast<index>(number);
        return number >= 0 && number < static_cast<long>(most);
    };
    const std::string numbers = "a server's number from 0 to " + std::to_string(most - 1);
    if (word == "leave" || word == "join") {
        index number = 0;
        if (!server(number))
            return word + ": needs " + numbers;
        all.list.record_change(number, word == "leave" ? endpoint_state::draining : endpoint_state::ready,
                               all.servers.at(number).started());
        return "done";
    }
    for (const auto kind : kinds) {
        if (word != name_of(kind))
            continue;
        fault.kind = kind;
        if (kind <= fault_kind::one_way) {
            fault.servers.resize(1);
            if (!server(fault.servers[0]))
                return word + ": needs " + numbers;
        }
        if (kind == fault_kind::slow || kind == fault_kind::errors || kind == fault_kind::malformed ||
            kind == fault_kind::origin_slow)
            if (!(words >> fault.factor) || !(fault.factor > 0))
                return word + ": needs a factor or share above 0";
        if (kind == fault_kind::crash && ends == all.servers.at(fault.servers[0]).up())
            return ends ? "it is up" : "it is down already";
        all.apply(fault, !ends);
        return "done";
    }
    return help;
}

} // namespace

int serve_fleet(const experiment &settings, const shell_options &how) {
    sigset_t taken;
    sigemptyset(&taken);
    for (const int each : {SIGTERM, SIGINT, SIGPIPE})
        sigaddset(&taken, each);
    pthread_sigmask(SIG_BLOCK, &taken, nullptr);
    sigdelset(&taken, SIGPIPE);
    const tcp_socket signals(signalfd(-1, &taken, SFD_CLOEXEC | SFD_NONBLOCK));

    loop in;
    run_environment all(in.clock, settings, settings.seeds[0], 0.05);
    all.checker.allow_unknown_requests = true;
    if (how.chatty)
        all.checker.trace = &std::cout;
    const fleet_ports ports(in, all, how.where);
    bool ends = false;
    in.watch(signals.get(), EPOLLIN, [&](std::uint32_t) { ends = true; });
    std::string text;
    const bool can_wait =
        ::isatty(0) == 1 || [] { // a plain file or /dev/null cannot be waited for, and need not
            pollfd look{0, POLLIN, 0};
            struct stat is {};
            return ::fstat(0, &is) == 0 && (S_ISFIFO(is.st_mode) || S_ISSOCK(is.st_mode)) &&
                   ::poll(&look, 1, 0) >= 0;
        }();
    if (can_wait)
        in.watch(0, EPOLLIN, [&](std::uint32_t) {
            std::array<char, 512> part{};
            const auto got = ::read(0, part.data(), part.size());
            if (got <= 0)
                return in.forget(0); // and goes on serving
            text.append(part.data(), static_cast<std::size_t>(got));
            for (std::size_t end; (end = text.find('\n')) != std::string::npos; text.erase(0, end + 1)) {
                const std::string line = text.substr(0, end);
                ends = ends || line == "quit";
                if (!line.empty() && line != "quit")
                    std::cout << obey(all, line) << std::endl;
            }
        });
    if (!how.configuration.empty()) {
        std::ofstream to(how.configuration);
        to << ports.configuration(0, how.listen, settings.seeds[0]);
        if (!to.flush())
            throw experiment_error(how.configuration + ": cannot be written");
        std::cout << "configuration: " << how.configuration << '\n';
    }
    std::cout << "discovery at " << ports.list_at(0) << ", servers at";
    for (index i = 0; i < std::min<index>(all.servers.size(), 8); ++i)
        std::cout << ' ' << ports.server_at(i);
    std::cout << (all.servers.size() > 8 ? " ..." : "") << std::endl;
    if (how.scripted)
        all.start_faults();
    in.run([&] { return ends; });
    std::cout << "executions " << all.checker.executions() << ", effects " << all.checker.effects()
              << ", fetches " << all.servers.source().fetches() << ", rules broken " << all.checker.broken()
              << '\n';
    for (const auto &each : all.checker.histories())
        std::cout << each;
    return all.checker.broken() > 0 ? 1 : 0;
}

} // namespace harrierpass::testbed
