// SPDX-License-Identifier: Apache-2.0
#include "proxy/service.hpp"

#include "proxy/operations/startup_preview.hpp"
#include "settings/settings_reader.hpp"

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
constexpr std::size_t door_sockets =
    1 + control_server::max_connections; // the operators' door, where there is one
constexpr double client_share = 0.6;     // of the others, at most; a held query has a client and no server
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
    const std::size_t most =
        told ? std::min<std::size_t>(given.max_descriptors, own.rlim_cur) : given.max_descriptors;
    const std::size_t kept = own_sockets + refused_room + (given.control.empty() ? 0 : door_sockets);
    return left_of(most, kept);
}

// By the descriptors left for connections, and by memory, of which other processes of this proxy have some.
std::size_t most_clients(const configuration &given, std::size_t sockets, const shared_usage &others = {}) {
    const double own = others.has_peers ? 2 * own_memory_mb : own_memory_mb;
    const double by_memory = (given.memory_mb - own) / client_memory_mb - static_cast<double>(others.clients);
    return static_cast<std::size_t>(
        std::min(std::max(8.0, by_memory), static_cast<double>(sockets) * client_share));
}

} // namespace

service::service(configuration given, std::ostream &log_to, log_level least, router_factory decides)
    : configuration_(std::move(given)), log_(log_to, least),
      dispatcher_(std::make_shared<const configuration>(configuration_), decides),
      upstream_(configuration_.connect_timeout, configuration_.upstream_idle_timeout,
                usable_sockets(configuration_), counters_, log_),
      discovery_(dispatcher_, upstream_, counters_, log_),
      health_checker_(dispatcher_, upstream_, buffers_, counters_), context_{dispatcher_,
                                                                             upstream_,
                                                                             buffers_,
                                                                             counters_,
                                                                             log_,
                                                                             metrics_,
                                                                             [this] { return discovery_.ready(); }} {
    mallopt(M_ARENA_MAX, 2); // guards the memory limit: an arena for each thread would hold on to much
    dispatcher_.on_check_health = [this](index server) { health_checker_.start(server); };
    dispatcher_.on_watch_endpoints = [this] { discovery_.poll_now(); };
    discovery_.on_configuration_applied = [this](const configuration &now) {
        upstream_.set_timeouts(now.connect_timeout, now.upstream_idle_timeout);
        metrics_.register_classes(now.request_classes);
        counters_.add(counter::configurations_applied);
        log_.info("adopted discovery=", now.discovery, " use-cases=", now.request_classes.size(),
                  " peers=", now.router.proxy_count,
                  " origin=", now.router.origin_kind != none ? "aside" : "through");
    };
    const auto where = parse_address(configuration_.listen);
    if (!where)
        throw parse_error{"the address to listen on is not usable"};
    tcp_socket socket = take_over(*where);
    const bool inherited = static_cast<bool>(socket);
    // A want of this machine's may pass, and so does the process before that still holds the address.
    for (const double end = steady_now() + listen_patience; !socket;) {
        socket = listen_on(*where, hot_restart_.has_value());
        if (socket || !is_local_shortage(errno) || steady_now() >= end)
            break;
        std::this_thread::sleep_for(listen_pause);
    }
    if (!socket)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + configuration_.listen);
    at_ = local_address(socket);
    metrics_.register_classes(configuration_.request_classes);
    discovery_.load_known_endpoints();
    listener_.emplace(context_, std::move(socket),
                      most_clients(configuration_, usable_sockets(configuration_)),
                      static_cast<std::size_t>(configuration_.max_descriptors * tight_share));
    try {
        timer_thread_.emplace([this] { dispatcher_.run_timer([this] { return over(); }); });
        discovery_thread_.emplace([this] { discovery_.run([this] { return over(); }); });
        start_hot_restart();
        start_control_server(); // ahead of the acceptor, which ends by end() alone: it may fail
        acceptor_thread_.emplace([this, inherited] {
            // Guards clients against a successor that does not know its servers yet. One that is told to end
            // before takes none: the process before serves on.
            while (inherited && !discovery_.ready()) {
                if (context_.draining())
                    return;
                wait_on({}, short_wait);
            }
            if (hot_restart_)
                hot_restart_->start_serving();
            accepting_ = true;
            listener_->run();
        });
    } catch (...) { // guards against waiting for ever for the threads that did start
        over_ = true;
        throw;
    }
    log_.info("started name=", configuration_.name, " listen=", to_text(at_),
              " clients-at-most=", most_clients(configuration_, usable_sockets(configuration_)),
              " control=", control_ ? to_text(control_->at()) : "none");
}

void service::start_control_server() {
    if (configuration_.control.empty())
        return;
    const auto where = parse_address(configuration_.control);
    if (!where)
        throw parse_error{"the operators' address, control, is not usable"};
    tcp_socket socket = listen_on(*where);
    if (!socket)
        throw std::system_error(errno, std::generic_category(), "cannot listen on " + configuration_.control);
    control_.emplace(
        std::move(socket),
        control_handlers{
            .ready = [this] { return accepting_ && discovery_.ready() && !context_.draining(); },
            .metrics =
                [this] {
                    const auto [listed, avoided] = discovery_.endpoint_counts();
                    return render_metrics(metrics_.read(), listed, avoided, dispatcher_.subset());
                },
            .disable_endpoint =
                [this](const std::string &id) {
                    return broadcast_if(discovery_.disable(id), {peer_message::kind::endpoint_disabled, id});
                },
            .enable_endpoint =
                [this](const std::string &id) {
                    return broadcast_if(discovery_.enable(id), {peer_message::kind::endpoint_enabled, id});
                },
            .set_draining =
                [this](bool away) {
                    const peer_message what{peer_message::kind::draining, away ? "1" : "0"};
                    apply_peer_message(what);
                    broadcast_if(true, what);
                },
        });
}

// The listening socket of the process that serves, with what operators asked of it; empty: nobody hands it
// over.
tcp_socket service::take_over(const address &where) {
    const char *const directory = std::getenv("TMPDIR");
    if (configuration_.control.empty() || directory == nullptr || *directory == '\0')
        return {};
    hot_restart_.emplace(directory, configuration_.listen);
    auto taken = hot_restart_->take_over();
    if (!taken)
        return {};
    auto &[socket, state] = *taken;
    const bool any_port = configuration_.listen.ends_with(":0");
    if (!any_port && to_text(local_address(socket)) != to_text(where)) {
        log_.warning("handover-refused reason=address");
        return {};
    }
    for (const auto &each : state)
        apply_peer_message(each);
    log_.info("taken-over out=", discovery_.overrides().disabled().size(), " away=", context_.is_disabled());
    return std::move(socket);
}

void service::start_hot_restart() {
    if (!hot_restart_)
        return;
    listener_->has_successor = [this] { return hot_restart_->has_successor(); };
    const hot_restart::callbacks calls{
        .state =
            [this] {
                std::vector<peer_message> made;
                const auto hands = discovery_.overrides();
                for (const auto &id : hands.disabled())
                    made.push_back({peer_message::kind::endpoint_disabled, id});
                for (const auto &[id, at] : hands.enabled_at())
                    made.push_back({peer_message::kind::endpoint_enabled_at, std::to_string(at) + " " + id});
                made.push_back({peer_message::kind::draining, context_.is_disabled() ? "1" : "0"});
                made.push_back({peer_message::kind::usage, to_text(local_usage())});
                return made;
            },
        .on_message = [this](const peer_message &what) { apply_peer_message(what); },
        .local_usage = [this] { return local_usage(); },
        .on_peer_usage = [this](const shared_usage &used) { apply_peer_usage(used); }};
    hot_restart_->run(calls, listener_->socket());
}

// What operators asked of one process of this proxy holds for all.
void service::apply_peer_message(const peer_message &what) {
    switch (what.type) {
    case peer_message::kind::endpoint_disabled:
        discovery_.disable(what.text, true);
        break;
    case peer_message::kind::endpoint_enabled:
        discovery_.enable(what.text);
        break;
    case peer_message::kind::endpoint_enabled_at: {
        const auto space = what.text.find(' ');
        if (space != std::string::npos)
            discovery_.record_enabled(
                what.text.substr(space + 1),
                parse_number<double>(what.text.substr(0, space), "no time of a return"));
        break;
    }
    case peer_message::kind::draining: {
        const bool away = what.text == "1";
        if (away != context_.is_disabled())
            log_.info(away ? "sent-away" : "back-to-work");
        context_.disabled_at = away ? std::min(context_.disabled_at.load(), dispatcher_.now()) : never;
        break;
    }
    case peer_message::kind::ready:
        log_.info("succeeded");
        break;
    default:
        break;
    }
}

// What was carried out here holds for the other processes of this proxy, too.
bool service::broadcast_if(bool done, const peer_message &what) {
    if (done && hot_restart_)
        hot_restart_->broadcast(what);
    return done;
}

shared_usage service::local_usage() {
    return {upstream_.open_connections() + own_sockets, listener_->connections(), true};
}

// What the other processes of this proxy use of the limits.
void service::apply_peer_usage(const shared_usage &used) {
    const std::size_t left = left_of(usable_sockets(configuration_), used.descriptors);
    upstream_.set_capacity(left, dispatcher_.now());
    listener_->set_capacity(most_clients(configuration_, left, used),
                            static_cast<std::size_t>(configuration_.max_descriptors * tight_share));
}

// By the settings in force, and by those of a reload that waits for its list: which of them the platform goes
// by when it kills can't be known here, so the earlier kill counts.
stop_schedule service::schedule() {
    double longest = longest_deadline(dispatcher_.configuration_in_force()->request_timeouts);
    if (const auto next = discovery_.pending_configuration())
        longest = std::min(longest, longest_deadline(next->request_timeouts));
    return stop_schedule_for(longest);
}

void service::end(double grace) {
    stop_schedule stop = schedule();
    stop.close_idle = stop.accept_until = grace;
    stop.respond_by = std::max(stop.respond_by, grace);
    end(stop);
}

void service::end(const stop_schedule &stop) {
    if (!acceptor_thread_)
        return;
    context_.handed_over = hot_restart_ && hot_restart_->has_successor();
    log_.info("draining grace=", stop.close_idle, " last-answer=", stop.respond_by,
              " earliest-kill=", stop.earliest_kill, " connections=", listener_->connections(),
              " handed-over=", context_.handed_over.load());
    const double now = dispatcher_.now();
    context_.min_idle = stop.min_idle;
    context_.respond_by = now + stop.respond_by;
    context_.accept_until = now + stop.accept_until;
    context_.close_at = now + stop.close_idle;
    context_.draining_at = now;
    wake_thread(acceptor_thread_->id());
    acceptor_thread_.reset(); // returns when all is answered
    if (context_.ids.size() > 0)
        context_.invariants.violated(invariant::nothing_left_at_end, "-");
    over_ = true;
    wake_thread(discovery_thread_->id());
    discovery_thread_.reset();
    timer_thread_.reset();
    control_.reset();
    hot_restart_.reset();
    log_.info("ended stopping-for=", context_.time_since_stop(), " earliest-kill=", stop.earliest_kill);
}

void service::reload(const configuration &next) {
    // Guards against a file half of which would hold: what the process was started with cannot change.
    const std::pair<const char *, bool> fixed[] = {
        {"listen", next.listen == configuration_.listen},
        {"name", next.name == configuration_.name},
        {"control", next.control == configuration_.control},
        {"limits.sockets", next.max_descriptors == configuration_.max_descriptors},
        {"limits.memory_mb", next.memory_mb == configuration_.memory_mb}};
    for (const auto &[field, same] : fixed)
        if (!same)
            throw parse_error{std::string(field) + " cannot change while the program runs"};
    discovery_.reconfigure(std::make_shared<const configuration>(next));
    wake_thread(discovery_thread_->id());
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
        throw parse_error{"the configuration cannot be read"};
    return read_configuration(text.str());
}

} // namespace

int run(int arguments, char **values, router_factory decides) {
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
            throw parse_error{"name a configuration, or set BALANCER_CONFIG"};
        if (checks) {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            preview_startup(configuration_at(path), std::chrono::duration<double>(now).count(), std::cout);
            return 0;
        }
        service proxy(configuration_at(path), std::clog, parse_log_level(least != nullptr ? least : "info"),
                      decides);
        for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
            sigwait(&taken, &signal);
            proxy.lines().info("signal-received number=", signal);
            if (signal == SIGUSR1)
                proxy.counts().print(std::clog);
            if (signal != SIGHUP)
                continue;
            try {
                proxy.reload(configuration_at(path));
            } catch (const std::exception &bad) { // guards a proxy that serves against a file that is no good
                proxy.lines().warning("reload-failed reason=", bad.what());
            }
        }
        proxy.stop();
        proxy.counts().print(std::clog);
        return 0;
    } catch (const std::exception &failed) {
        std::cerr << "harrierpass: " << failed.what() << '\n';
    }
    return 1;
}

} // namespace harrierpass::proxy
