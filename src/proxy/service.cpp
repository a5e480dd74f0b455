// SPDX-License-Identifier: Apache-2.0
#include "proxy/service.hpp"

#include "setup/setup.hpp"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sys/resource.h>
#include <system_error>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t own_sockets = 26; // descriptors: standard ones, listener, discovery, probes, spare
constexpr std::size_t door_sockets = 1 + control::most_callers; // the operators' door, where there is one
constexpr double client_share = 0.6; // of the others, at most; a held query has a client and no server
constexpr double tight_share = 0.3; // of all descriptors; clients may hold a third, and must find room before
constexpr std::size_t refused_room = 32; // the listener's connections beyond its most
constexpr double own_memory_mb = 8;      // code, router, list, log; 2 to 3 were seen
constexpr double client_memory_mb = 0.2; // two buffers and a stack in use; at rest some 0.03
constexpr double most_wait = 3;          // s; the platform waits no longer for the last answers ...
constexpr double end_margin = 0.3;       // s; ... and somewhat more than this
constexpr double least_grace = 0.7;      // s; new connections come for 0.4 s after the signal
constexpr double grace_share = 0.5;      // of the time until the last answers; the rest is for those

std::size_t usable_sockets(const configuration &given) {
    rlimit own{};
    const bool told = getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY;
    const std::size_t most = told ? std::min<std::size_t>(given.sockets, own.rlim_cur) : given.sockets;
    const std::size_t kept = own_sockets + refused_room + (given.control.empty() ? 0 : door_sockets);
    return most > kept + 8 ? most - kept : 8;
}

std::size_t most_clients(const configuration &given) {
    const double by_memory = std::max(8.0, (given.memory_mb - own_memory_mb) / client_memory_mb);
    return static_cast<std::size_t>(
        std::min(by_memory, static_cast<double>(usable_sockets(given)) * client_share));
}

double longest_statement(const configuration &given) {
    double longest = 1;
    for (const double each : given.statement_timeouts)
        longest = std::max(longest, each);
    return longest;
}

} // namespace

service::service(configuration given, std::ostream &log_to, level least, router_maker decides)
    : given_(std::move(given)), log_(log_to, least),
      desk_(std::make_shared<const configuration>(given_), decides),
      upstream_(given_.dial_limit, given_.idle_limit, usable_sockets(given_), counters_, log_),
      catalog_(desk_, upstream_, counters_, log_), prober_(desk_, upstream_, buffers_, counters_),
      engine_{desk_, upstream_, buffers_, counters_, log_, figures_, [this] { return catalog_.ready(); }} {
    mallopt(M_ARENA_MAX, 2); // guards the memory limit: an arena for each thread would hold on to much
    engine_.last_answer = std::min(longest_statement(given_), most_wait) + end_margin;
    desk_.on_probe = [this](index server) { prober_.start(server); };
    desk_.on_subscribe = [this] { catalog_.ask(); };
    catalog_.on_adopted = [this](const configuration &now) {
        upstream_.use_limits(now.dial_limit, now.idle_limit);
        engine_.last_answer = std::min(longest_statement(now), most_wait) + end_margin;
        figures_.name(now.use_cases);
        counters_.add(count::adopted);
        log_.info("adopted discovery=", now.discovery, " use-cases=", now.use_cases.size(),
                  " peers=", now.decisions.peers,
                  " origin=", now.decisions.origin_kind != none ? "aside" : "through");
    };
    const auto where = parse_address(given_.listen);
    if (!where)
        throw bad_text{"the address to listen on is not usable"};
    tcp_socket socket = listen_on(*where);
    if (!socket)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + given_.listen);
    at_ = local_address(socket);
    figures_.name(given_.use_cases);
    catalog_.use_known();
    listener_.emplace(engine_, std::move(socket), most_clients(given_),
                      static_cast<std::size_t>(given_.sockets * tight_share));
    try {
        timer_.emplace([this] { desk_.run_timer([this] { return over(); }); });
        follower_.emplace([this] { catalog_.run([this] { return over(); }); });
        acceptor_.emplace([this] { listener_->run(); });
        open_door();
    } catch (...) { // guards against waiting for ever for the threads that did start
        over_ = true;
        throw;
    }
    log_.info("started name=", given_.name, " listen=", to_text(at_),
              " clients-at-most=", most_clients(given_));
}

void service::open_door() {
    if (given_.control.empty())
        return;
    const auto where = parse_address(given_.control);
    if (!where)
        throw bad_text{"the operators' address, control, is not usable"};
    tcp_socket socket = listen_on(*where);
    if (!socket)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + given_.control);
    door_.emplace(std::move(socket),
                  control_calls{
                      .ready = [this] { return catalog_.ready() && !engine_.draining(); },
                      .figures =
                          [this] {
                              const auto [listed, avoided] = catalog_.standing();
                              return figures_page(figures_.read(), listed, avoided);
                          },
                      .take_out = [this](const std::string &id) { return catalog_.take_out(id); },
                      .take_back = [this](const std::string &id) { return catalog_.take_back(id); },
                      .send_away =
                          [this](bool away) {
                              engine_.away_at = away ? std::min(engine_.away_at.load(), desk_.now()) : never;
                              log_.info(away ? "sent-away" : "back-to-work");
                          },
                  });
}

void service::end(double grace) {
    if (!acceptor_)
        return;
    log_.info("draining grace=", grace);
    engine_.close_at = desk_.now() + grace;
    engine_.drain_at = desk_.now();
    call(acceptor_->id());
    acceptor_.reset(); // returns when all is answered
    over_ = true;
    call(follower_->id());
    follower_.reset();
    timer_.reset();
    door_.reset();
    log_.info("ended");
}

// Guards clients against a time in which nobody serves them: they go on using the connections that they have,
// and the next proxy may not be known to the front yet.
double service::usual_grace() const {
    return std::max(least_grace, engine_.last_answer * grace_share);
}

void service::reload(const configuration &next) {
    // Guards against a file half of which would hold: what the process was started with cannot change.
    const std::pair<const char *, bool> fixed[] = {{"listen", next.listen == given_.listen},
                                                   {"name", next.name == given_.name},
                                                   {"control", next.control == given_.control},
                                                   {"limits.sockets", next.sockets == given_.sockets},
                                                   {"limits.memory_mb", next.memory_mb == given_.memory_mb}};
    for (const auto &[field, same] : fixed)
        if (!same)
            throw bad_text{std::string(field) + " cannot change while the program runs"};
    catalog_.move_to(std::make_shared<const configuration>(next));
    call(follower_->id());
    log_.info("reloaded discovery=", next.discovery);
}

service::~service() {
    end(0);
}

namespace {

configuration configuration_at(const char *path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        throw bad_text{"the configuration cannot be read"};
    return read_configuration(text.str());
}

} // namespace

int run(int arguments, char **values, router_maker decides) {
    // Blocked in every thread; taken below, one at a time. SIGPIPE: a log that nobody reads must not kill.
    sigset_t taken;
    sigemptyset(&taken);
    for (const int each : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGPIPE})
        sigaddset(&taken, each);
    pthread_sigmask(SIG_BLOCK, &taken, nullptr);
    sigdelset(&taken, SIGPIPE);
    const char *const path = arguments > 1 ? values[1] : std::getenv("BALANCER_CONFIG");
    const char *const least = std::getenv("BALANCER_LOG");
    try {
        if (path == nullptr)
            throw bad_text{"name a configuration, or set BALANCER_CONFIG"};
        service proxy(configuration_at(path), std::clog, level_of(least != nullptr ? least : "info"),
                      decides);
        for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
            sigwait(&taken, &signal);
            if (signal == SIGUSR1)
                proxy.counted().print(std::clog);
            if (signal != SIGHUP)
                continue;
            try {
                proxy.reload(configuration_at(path));
            } catch (const std::exception &bad) { // guards a proxy that serves against a file that is no good
                proxy.lines().warning("reload-failed reason=", bad.what());
            }
        }
        proxy.end();
        proxy.counted().print(std::clog);
        return 0;
    } catch (const std::exception &failed) {
        std::cerr << "harrierpass: " << failed.what() << '\n';
    }
    return 1;
}

} // namespace harrierpass::proxy
