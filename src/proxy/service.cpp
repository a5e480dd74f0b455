// SPDX-License-Identifier: Apache-2.0
#include "proxy/service.hpp"

#include "proxy/check.hpp"
#include "setup/setup.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sys/resource.h>
#include <system_error>
#include <thread>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t own_sockets = 26; // descriptors: standard ones, listener, discovery, probes, spare
constexpr std::size_t least_left = 8;   // descriptors for connections, however few there are
constexpr std::size_t door_sockets = 1 + control::most_callers; // the operators' door, where there is one
constexpr double client_share = 0.6; // of the others, at most; a held query has a client and no server
constexpr double tight_share = 0.3; // of all descriptors; clients may hold a third, and must find room before
constexpr std::size_t refused_room = 32; // the listener's connections beyond its most
constexpr double own_memory_mb = 8;      // code, router, list, log; 2 to 3 were seen
constexpr double client_memory_mb = 0.2; // two buffers and a stack in use; at rest some 0.03
constexpr double listen_patience = 2;    // s that the address to listen on is tried for
constexpr std::chrono::milliseconds listen_pause{20};
constexpr double short_wait = 0.005; // s between looks whether the list is there

// Descriptors, but for some without which nothing goes on.
std::size_t left_of(std::size_t all, std::size_t taken) {
    return all > taken + least_left ? all - taken : least_left;
}

std::size_t usable_sockets(const configuration &given) {
    rlimit own{};
    const bool told = getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY;
    const std::size_t most = told ? std::min<std::size_t>(given.sockets, own.rlim_cur) : given.sockets;
    const std::size_t kept = own_sockets + refused_room + (given.control.empty() ? 0 : door_sockets);
    return left_of(most, kept);
}

// By the descriptors left for connections, and by memory, of which other processes of this proxy have some.
std::size_t most_clients(const configuration &given, std::size_t sockets, const in_use &others = {}) {
    const double own = others.anybody ? 2 * own_memory_mb : own_memory_mb;
    const double by_memory = (given.memory_mb - own) / client_memory_mb - static_cast<double>(others.clients);
    return static_cast<std::size_t>(
        std::min(std::max(8.0, by_memory), static_cast<double>(sockets) * client_share));
}

} // namespace

service::service(configuration given, std::ostream &log_to, level least, router_maker decides)
    : given_(std::move(given)), log_(log_to, least),
      desk_(std::make_shared<const configuration>(given_), decides),
      upstream_(given_.dial_limit, given_.idle_limit, usable_sockets(given_), counters_, log_),
      catalog_(desk_, upstream_, counters_, log_), prober_(desk_, upstream_, buffers_, counters_),
      engine_{desk_, upstream_, buffers_, counters_, log_, figures_, [this] { return catalog_.ready(); }} {
    mallopt(M_ARENA_MAX, 2); // guards the memory limit: an arena for each thread would hold on to much
    desk_.on_probe = [this](index server) { prober_.start(server); };
    desk_.on_subscribe = [this] { catalog_.ask(); };
    catalog_.on_adopted = [this](const configuration &now) {
        upstream_.use_limits(now.dial_limit, now.idle_limit);
        figures_.name(now.use_cases);
        counters_.add(count::adopted);
        log_.info("adopted discovery=", now.discovery, " use-cases=", now.use_cases.size(),
                  " peers=", now.decisions.peers,
                  " origin=", now.decisions.origin_kind != none ? "aside" : "through");
    };
    const auto where = parse_address(given_.listen);
    if (!where)
        throw bad_text{"the address to listen on is not usable"};
    tcp_socket socket = take_over(*where);
    const bool inherited = static_cast<bool>(socket);
    // A want of this machine's may pass, and so does the process before that still holds the address.
    for (const double end = steady_now() + listen_patience; !socket;) {
        socket = listen_on(*where, handover_.has_value());
        if (socket || !is_own_shortage(errno) || steady_now() >= end)
            break;
        std::this_thread::sleep_for(listen_pause);
    }
    if (!socket)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + given_.listen);
    at_ = local_address(socket);
    figures_.name(given_.use_cases);
    catalog_.use_known();
    listener_.emplace(engine_, std::move(socket), most_clients(given_, usable_sockets(given_)),
                      static_cast<std::size_t>(given_.sockets * tight_share));
    try {
        timer_.emplace([this] { desk_.run_timer([this] { return over(); }); });
        follower_.emplace([this] { catalog_.run([this] { return over(); }); });
        link_up();
        open_door(); // ahead of the acceptor, which ends by end() alone: it may fail
        acceptor_.emplace([this, inherited] {
            // Guards clients against a successor that does not know its servers yet. One that is told to end
            // before takes none: the process before serves on.
            while (inherited && !catalog_.ready()) {
                if (engine_.draining())
                    return;
                wait_on({}, short_wait);
            }
            if (handover_)
                handover_->serve();
            takes_ = true;
            listener_->run();
        });
    } catch (...) { // guards against waiting for ever for the threads that did start
        over_ = true;
        throw;
    }
    log_.info("started name=", given_.name, " listen=", to_text(at_),
              " clients-at-most=", most_clients(given_, usable_sockets(given_)),
              " control=", door_ ? to_text(door_->at()) : "none");
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
                      .ready = [this] { return takes_ && catalog_.ready() && !engine_.draining(); },
                      .figures =
                          [this] {
                              const auto [listed, avoided] = catalog_.standing();
                              return figures_page(figures_.read(), listed, avoided, desk_.subset());
                          },
                      .take_out =
                          [this](const std::string &id) {
                              return share(catalog_.take_out(id), {news::kind::out, id});
                          },
                      .take_back =
                          [this](const std::string &id) {
                              return share(catalog_.take_back(id), {news::kind::back, id});
                          },
                      .send_away =
                          [this](bool away) {
                              const news what{news::kind::away, away ? "1" : "0"};
                              operators_say(what);
                              share(true, what);
                          },
                  });
}

// The listening socket of the process that serves, with what operators asked of it; empty: nobody hands it
// over.
tcp_socket service::take_over(const address &where) {
    const char *const directory = std::getenv("TMPDIR");
    if (given_.control.empty() || directory == nullptr || *directory == '\0')
        return {};
    handover_.emplace(directory, given_.listen);
    auto taken = handover_->take();
    if (!taken)
        return {};
    auto &[socket, state] = *taken;
    const bool any_port = given_.listen.ends_with(":0");
    if (!any_port && to_text(local_address(socket)) != to_text(where)) {
        log_.warning("handover-refused reason=address");
        return {};
    }
    for (const auto &each : state)
        operators_say(each);
    log_.info("taken-over out=", catalog_.hands().out.size(), " away=", engine_.away());
    return std::move(socket);
}

void service::link_up() {
    if (!handover_)
        return;
    listener_->succeeded = [this] { return handover_->succeeded(); };
    const handover::calls calls{
        .state =
            [this] {
                std::vector<news> made;
                const auto hands = catalog_.hands();
                for (const auto &id : hands.out)
                    made.push_back({news::kind::out, id});
                for (const auto &[id, at] : hands.back)
                    made.push_back({news::kind::back_at, std::to_string(at) + " " + id});
                made.push_back({news::kind::away, engine_.away() ? "1" : "0"});
                made.push_back({news::kind::used, to_text(used())});
                return made;
            },
        .heard = [this](const news &what) { operators_say(what); },
        .used = [this] { return used(); },
        .others = [this](const in_use &used) { leave_others(used); }};
    handover_->run(calls, listener_->socket());
}

// What operators asked of one process of this proxy holds for all.
void service::operators_say(const news &what) {
    switch (what.what) {
    case news::kind::out:
        catalog_.take_out(what.text, true);
        break;
    case news::kind::back:
        catalog_.take_back(what.text);
        break;
    case news::kind::back_at: {
        const auto space = what.text.find(' ');
        if (space != std::string::npos)
            catalog_.came_back(what.text.substr(space + 1),
                               parse_number<double>(what.text.substr(0, space), "no time of a return"));
        break;
    }
    case news::kind::away: {
        const bool away = what.text == "1";
        if (away != engine_.away())
            log_.info(away ? "sent-away" : "back-to-work");
        engine_.away_at = away ? std::min(engine_.away_at.load(), desk_.now()) : never;
        break;
    }
    case news::kind::ready:
        log_.info("succeeded");
        break;
    default:
        break;
    }
}

// What was carried out here holds for the other processes of this proxy, too.
bool service::share(bool done, const news &what) {
    if (done && handover_)
        handover_->tell(what);
    return done;
}

in_use service::used() {
    return {upstream_.in_use() + own_sockets, listener_->connections(), true};
}

// What the other processes of this proxy use of the limits.
void service::leave_others(const in_use &used) {
    const std::size_t left = left_of(usable_sockets(given_), used.descriptors);
    upstream_.use_most(left, desk_.now());
    listener_->use_most(most_clients(given_, left, used),
                        static_cast<std::size_t>(given_.sockets * tight_share));
}

// By the settings in force, and by those of a reload that waits for its list: which of them the platform goes
// by when it kills can't be known here, so the earlier kill counts.
stop_schedule service::schedule() {
    double longest = longest_deadline(desk_.given()->statement_timeouts);
    if (const auto next = catalog_.next())
        longest = std::min(longest, longest_deadline(next->statement_timeouts));
    return stop_schedule_for(longest);
}

void service::end(double grace) {
    stop_schedule stop = schedule();
    stop.close_idle = stop.accept_until = grace;
    stop.last_answer = std::max(stop.last_answer, grace);
    end(stop);
}

void service::end(const stop_schedule &stop) {
    if (!acceptor_)
        return;
    engine_.handed_over = handover_ && handover_->succeeded();
    log_.info("draining grace=", stop.close_idle, " last-answer=", stop.last_answer,
              " earliest-kill=", stop.earliest_kill, " connections=", listener_->connections(),
              " handed-over=", engine_.handed_over.load());
    const double now = desk_.now();
    engine_.least_idle = stop.least_idle;
    engine_.answer_by = now + stop.last_answer;
    engine_.accept_until = now + stop.accept_until;
    engine_.close_at = now + stop.close_idle;
    engine_.drain_at = now;
    call(acceptor_->id());
    acceptor_.reset(); // returns when all is answered
    if (engine_.ids.size() > 0)
        engine_.invariants.violated(invariant::nothing_left_at_end, "-");
    over_ = true;
    call(follower_->id());
    follower_.reset();
    timer_.reset();
    door_.reset();
    handover_.reset();
    log_.info("ended stopping-for=", engine_.stopping_for(), " earliest-kill=", stop.earliest_kill);
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
    const bool checks = arguments > 1 && std::string_view(values[1]) == "--check";
    const char *const named = arguments > 1 + checks ? values[1 + checks] : nullptr;
    const char *const path = named != nullptr ? named : std::getenv("BALANCER_CONFIG");
    const char *const least = std::getenv("BALANCER_LOG");
    try {
        if (path == nullptr)
            throw bad_text{"name a configuration, or set BALANCER_CONFIG"};
        if (checks) {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            tell_start(configuration_at(path), std::chrono::duration<double>(now).count(), std::cout);
            return 0;
        }
        service proxy(configuration_at(path), std::clog, level_of(least != nullptr ? least : "info"),
                      decides);
        for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
            sigwait(&taken, &signal);
            proxy.lines().info("signal-received number=", signal);
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
