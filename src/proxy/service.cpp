// SPDX-License-Identifier: Apache-2.0
#include "proxy/service.hpp"

#include "proxy/resource_limits.hpp"
#include "settings/settings_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <malloc.h>
#include <system_error>
#include <thread>

namespace harrierpass::proxy {
namespace {

constexpr double listen_timeout = 2; // s; the previous process may still be bound to the address
constexpr std::chrono::milliseconds listen_retry_pause{20};
constexpr double ready_check_interval = 0.005; // s between checks for an endpoint list
constexpr int max_allocator_arenas = 2;        // one per thread would exceed the memory limit

peer_message draining_message(const operator_overrides &overrides) {
    return {peer_message::kind::draining, overrides.is_draining() ? "1" : "0"};
}

// The whole of the operators' state. `enabled_message` makes the message for an endpoint that was enabled
// again, from its id and the time.
template <typename EnabledMessage>
std::vector<peer_message> messages_for(const operator_overrides &overrides,
                                       const EnabledMessage &enabled_message) {
    std::vector<peer_message> messages;
    for (const auto &id : overrides.disabled())
        messages.push_back({peer_message::kind::endpoint_disabled, id});
    for (const auto &[id, enabled_at] : overrides.enabled_at())
        messages.push_back(enabled_message(id, enabled_at));
    messages.push_back(draining_message(overrides));
    return messages;
}

} // namespace

service::service(configuration settings, std::ostream &log_output, log_level min_level,
                 router_factory make_router)
    : configuration_(std::move(settings)), log_(log_output, min_level),
      dispatcher_(std::make_shared<const configuration>(configuration_), make_router),
      upstream_(configuration_.connect_timeout, configuration_.upstream_idle_timeout,
                connection_descriptors(configuration_), counters_, log_),
      discovery_(dispatcher_, upstream_, counters_, log_),
      health_checker_(dispatcher_, upstream_, buffers_, counters_), context_{dispatcher_,
                                                                             upstream_,
                                                                             buffers_,
                                                                             counters_,
                                                                             log_,
                                                                             metrics_,
                                                                             [this] { return discovery_.ready(); }} {
    mallopt(M_ARENA_MAX, max_allocator_arenas);
    connect_components();
    const auto configured_address = parse_address(configuration_.listen_address);
    if (!configured_address)
        throw parse_error{"the listen address is invalid"};
    tcp_socket socket = take_over(*configured_address);
    const bool inherited = static_cast<bool>(socket);
    if (!inherited)
        socket = listen(*configured_address);
    listen_address_ = local_address(socket);
    metrics_.register_classes(configuration_.request_classes);
    discovery_.load_known_endpoints();
    const auto limits = client_limits_for(configuration_, connection_descriptors(configuration_));
    listener_.emplace(context_, std::move(socket), limits.max_connections, limits.reclaim_threshold);
    start_threads(inherited);
    log_.info("started name=", configuration_.name, " listen=", to_text(listen_address_),
              " clients-at-most=", limits.max_connections,
              " control=", control_ ? to_text(control_->listen_address()) : "none");
}

service::~service() {
    end(0);
}

void service::connect_components() {
    dispatcher_.on_check_health = [this](endpoint_index endpoint) { health_checker_.start(endpoint); };
    dispatcher_.on_watch_endpoints = [this] { discovery_.poll_now(); };
    discovery_.on_configuration_applied = [this](const configuration &applied) {
        upstream_.set_timeouts(applied.connect_timeout, applied.upstream_idle_timeout);
        metrics_.register_classes(applied.request_classes);
        counters_.add(counter::configurations_applied);
        log_.info("adopted discovery=", applied.discovery_address,
                  " use-cases=", applied.request_classes.size(), " peers=", applied.router.proxy_count,
                  " origin=", applied.router.origin_kind != none ? "aside" : "through");
    };
}

tcp_socket service::take_over(const address &configured_address) {
    const char *const directory = std::getenv("TMPDIR");
    if (configuration_.control_address.empty() || directory == nullptr || *directory == '\0')
        return {};
    share_request_ids(directory);
    hot_restart_.emplace(directory, configuration_.listen_address);
    if (!hot_restart_->is_available())
        log_.warning("hot-restart-unavailable error=", std::strerror(errno));
    const auto stored = hot_restart_->stored_operator_state();
    if (stored)
        merge_operator_state(*stored);
    auto handover = hot_restart_->take_over();
    if (handover)
        apply_handed_over_state(handover->state);
    if (handover || stored)
        log_.info(handover ? "taken-over out=" : "operator-state-restored out=",
                  discovery_.overrides().disabled().size(), " away=", context_.is_disabled());
    if (!handover)
        return {};
    const bool any_port = configuration_.listen_address.ends_with(":0");
    if (!any_port && to_text(local_address(handover->listener)) != to_text(configured_address)) {
        log_.warning("handover-refused reason=address");
        hot_restart_.emplace(directory, configuration_.listen_address); // has no connection to that process
        return {};
    }
    return std::move(handover->listener);
}

void service::apply_handed_over_state(const std::vector<peer_message> &state) {
    const auto newest = std::ranges::find(state, peer_message::kind::operator_state, &peer_message::type);
    if (newest != state.end())
        merge_operator_state(newest->text);
    else
        apply_state_of_older_release(state);
}

void service::apply_state_of_older_release(const std::vector<peer_message> &state) {
    for (const auto &id : discovery_.overrides().disabled()) {
        const bool is_disabled = std::ranges::any_of(state, [&](const peer_message &message) {
            return message.type == peer_message::kind::endpoint_disabled && message.text == id;
        });
        if (!is_disabled)
            discovery_.enable(id);
    }
    for (const auto &message : state)
        apply_peer_message(message);
}

void service::share_request_ids(const std::string &directory) {
    request_ids_ = request_id_file::open(directory, configuration_.listen_address);
    if (request_ids_)
        context_.ids.share(request_ids_->storage(), steady_now());
    else
        log_.warning("request-ids-not-shared error=", std::strerror(errno));
}

tcp_socket service::listen(const address &configured_address) {
    const double deadline = steady_now() + listen_timeout;
    for (;;) {
        tcp_socket socket = listen_on(configured_address, hot_restart_.has_value());
        if (socket)
            return socket;
        if (!is_local_shortage(errno) || steady_now() >= deadline)
            throw std::system_error(errno, std::generic_category(),
                                    "cannot listen on " + configuration_.listen_address);
        std::this_thread::sleep_for(listen_retry_pause);
    }
}

// Starts the accepting thread last: only end() stops it, and the steps before it may throw.
void service::start_threads(bool inherited) {
    try {
        timer_thread_.emplace([this] { dispatcher_.run_timer([this] { return stopped(); }); });
        discovery_thread_.emplace([this] { discovery_.run([this] { return stopped(); }); });
        start_hot_restart();
        start_control_server();
        acceptor_thread_.emplace([this, inherited] { accept_clients(inherited); });
    } catch (...) { // the destructor joins the threads that were started
        stopped_ = true;
        throw;
    }
}

// A successor accepts clients once it has an endpoint list. If it is told to stop before, it accepts none:
// its predecessor continues to serve.
void service::accept_clients(bool inherited) {
    while (inherited && !discovery_.ready()) {
        if (context_.draining())
            return;
        wait_on({}, ready_check_interval);
    }
    if (hot_restart_)
        hot_restart_->start_serving();
    accepting_ = true;
    listener_->run();
}

void service::start_control_server() {
    if (configuration_.control_address.empty())
        return;
    const auto control_address = parse_address(configuration_.control_address);
    if (!control_address)
        throw parse_error{"the control address is invalid"};
    tcp_socket socket = listen_on(*control_address);
    if (!socket)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen on " + configuration_.control_address);
    control_.emplace(std::move(socket), make_control_handlers());
}

control_handlers service::make_control_handlers() {
    control_handlers handlers;
    handlers.ready = [this] { return accepting_ && discovery_.ready() && !context_.draining(); };
    handlers.metrics = [this] {
        const auto [listed, avoided] = discovery_.endpoint_counts();
        return render_metrics(metrics_.read(), listed, avoided, dispatcher_.subset());
    };
    handlers.disable_endpoint = [this](const std::string &id) {
        return carry_out([&] { return discovery_.disable(id); });
    };
    handlers.enable_endpoint = [this](const std::string &id) {
        return carry_out([&] { return discovery_.enable(id); });
    };
    handlers.set_draining = [this](bool draining) {
        carry_out([&] {
            discovery_.set_draining(draining);
            apply_draining();
            return true;
        });
    };
    return handlers;
}

// The command may undo one that another process was told, so this process has to know that one first.
bool service::carry_out(const std::function<bool()> &command) {
    if (hot_restart_)
        hot_restart_->synchronize();
    const bool done = command();
    if (done && hot_restart_)
        hot_restart_->synchronize();
    return done;
}

void service::start_hot_restart() {
    if (!hot_restart_)
        return;
    listener_->has_successor = [this] { return hot_restart_->has_successor(); };
    listener_->before_close = [this] { hot_restart_->withdraw_listener(); };
    announced_ = discovery_.overrides();
    hot_restart::callbacks callbacks;
    callbacks.state_messages = [this] { return state_messages(); };
    callbacks.all_commands = [this] { return all_commands(); };
    callbacks.merge_older_state = [this](const std::vector<peer_message> &state) {
        merge_older_state(state);
    };
    callbacks.new_commands = [this] { return new_commands(); };
    callbacks.operator_state_version = [this] { return discovery_.override_changes(); };
    callbacks.operator_state = [this](std::size_t max_size) {
        return discovery_.overrides().to_text(max_size);
    };
    callbacks.merge_operator_state = [this](const std::string &text) { merge_operator_state(text); };
    callbacks.on_message = [this](const peer_message &message) { apply_peer_message(message); };
    callbacks.on_write_failed = [this](int error) {
        log_.warning("operator-state-not-stored error=", std::strerror(error));
    };
    callbacks.local_usage = [this] { return local_usage(); };
    callbacks.on_peer_usage = [this](const shared_usage &peers) { apply_peer_usage(peers); };
    hot_restart_->run(std::move(callbacks), listener_->socket());
}

std::vector<peer_message> service::state_messages() {
    return messages_for(discovery_.overrides(), [](const std::string &id, double enabled_at) {
        return peer_message{peer_message::kind::endpoint_enabled_at, std::to_string(enabled_at) + " " + id};
    });
}

std::vector<peer_message> service::all_commands() {
    return messages_for(discovery_.overrides(), [](const std::string &id, double) {
        return peer_message{peer_message::kind::endpoint_enabled, id};
    });
}

// The versions of a new object are lower than those of any command.
void service::merge_older_state(const std::vector<peer_message> &state) {
    operator_overrides older;
    for (const auto &message : state) {
        if (message.type == peer_message::kind::endpoint_disabled)
            older.disable(message.text);
        if (message.type == peer_message::kind::draining)
            older.set_draining(message.text == "1");
    }
    discovery_.merge_overrides(older);
    apply_draining();
}

std::vector<peer_message> service::new_commands() {
    std::vector<peer_message> commands;
    const operator_overrides previous = std::exchange(announced_, discovery_.overrides());
    for (const auto &id : announced_.disabled())
        if (!previous.is_disabled(id))
            commands.push_back({peer_message::kind::endpoint_disabled, id});
    for (const auto &id : previous.disabled())
        if (!announced_.is_disabled(id))
            commands.push_back({peer_message::kind::endpoint_enabled, id});
    if (announced_.is_draining() != previous.is_draining())
        commands.push_back(draining_message(announced_));
    return commands;
}

void service::merge_operator_state(const std::string &text) {
    try {
        discovery_.merge_overrides(operator_overrides::from_text(text));
        apply_draining();
    } catch (const parse_error &error) {
        log_.warning("operator-state-unusable reason=", error.reason);
    }
}

// An operator's command to one process of this proxy applies to all of its processes.
void service::apply_peer_message(const peer_message &message) {
    switch (message.type) {
    case peer_message::kind::endpoint_disabled:
        discovery_.disable(message.text, true);
        break;
    case peer_message::kind::endpoint_enabled:
        discovery_.enable(message.text);
        break;
    case peer_message::kind::endpoint_enabled_at:
        if (const auto space = message.text.find(' '); space != std::string::npos)
            discovery_.record_enabled(
                message.text.substr(space + 1),
                parse_number<double>(message.text.substr(0, space), "a peer message has an invalid time"));
        break;
    case peer_message::kind::draining:
        discovery_.set_draining(message.text == "1");
        apply_draining();
        break;
    case peer_message::kind::ready:
        log_.info("succeeded");
        break;
    default:
        break;
    }
}

void service::apply_draining() {
    bool draining = false, has_changed = false;
    {
        const std::lock_guard guard(draining_lock_);
        draining = discovery_.overrides().is_draining();
        has_changed = draining != context_.is_disabled();
        context_.disabled_at = draining ? std::min(context_.disabled_at.load(), dispatcher_.now()) : never;
    }
    if (has_changed)
        log_.info(draining ? "sent-away" : "back-to-work");
}

shared_usage service::local_usage() {
    return {upstream_.open_connections() + base_descriptors, listener_->connections(), true};
}

// The limits apply to all processes of this proxy together.
void service::apply_peer_usage(const shared_usage &peers) {
    const std::size_t remaining =
        remaining_descriptors(connection_descriptors(configuration_), peers.descriptors);
    const auto limits = client_limits_for(configuration_, remaining, peers);
    upstream_.set_capacity(remaining, dispatcher_.now());
    listener_->set_capacity(limits.max_connections, limits.reclaim_threshold);
    if (!peers.has_peers)
        context_.ids.end_orphaned_leases(steady_now());
}

// Takes the earlier kill time of the configuration in force and of a pending one that waits for its endpoint
// list: the platform may apply either. The pending one is read first: between the two it may come into force.
stop_schedule service::schedule() {
    const auto pending = discovery_.pending_configuration();
    double longest = longest_deadline(dispatcher_.configuration_in_force()->request_timeouts);
    if (pending)
        longest = std::min(longest, longest_deadline(pending->request_timeouts));
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
    context_.draining_at = now; // stored last: a thread that reads it also reads the values above
    wake_thread(acceptor_thread_->id());
    acceptor_thread_.reset(); // returns once every request has its response
    if (context_.ids.size() > 0)
        context_.invariants.report_violation(invariant::nothing_left_at_end, "-");
    stopped_ = true;
    wake_thread(discovery_thread_->id());
    discovery_thread_.reset();
    timer_thread_.reset();
    control_.reset();
    hot_restart_.reset();
    log_.info("ended stopping-for=", context_.time_since_stop(), " earliest-kill=", stop.earliest_kill);
}

// Rejects the whole configuration if it changes a field that is fixed while the process runs.
void service::reload(const configuration &next) {
    const std::pair<const char *, bool> fixed_fields[] = {
        {"listen", next.listen_address == configuration_.listen_address},
        {"name", next.name == configuration_.name},
        {"control", next.control_address == configuration_.control_address},
        {"limits.sockets", next.max_descriptors == configuration_.max_descriptors},
        {"limits.memory_mb", next.memory_mb == configuration_.memory_mb}};
    for (const auto &[field, unchanged] : fixed_fields)
        if (!unchanged)
            throw parse_error{std::string(field) + " cannot change while the program runs"};
    discovery_.reconfigure(std::make_shared<const configuration>(next));
    wake_thread(discovery_thread_->id());
    log_.info("reloaded discovery=", next.discovery_address);
}

} // namespace harrierpass::proxy
