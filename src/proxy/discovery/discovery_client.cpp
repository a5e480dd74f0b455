// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/discovery_client.hpp"

#include "discovery/late_polls.hpp"
#include "net/threads.hpp"
#include "proxy/discovery/snapshot_file.hpp"
#include "settings/settings_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace harrierpass::proxy {
namespace {

constexpr double max_first_list_delay = 2;    // s; a slow agent may answer within it after the start
constexpr double agent_check_interval = 0.02; // s between checks whether the router requests a poll
constexpr double shared_check_interval = 0.1; // s between checks whether a poll is due
constexpr double min_snapshot_interval = 1;   // s between two writes of the snapshot file
constexpr double nanoseconds_per_second = 1e9;
constexpr const char *invalid_address = "the address of the discovery service is invalid";

// Parses whole or decimal seconds; returns 0 for anything else, such as a date.
double parse_retry_after(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value > 0 ? value : 0;
}

std::string poll_target(const discovery::endpoint_poll &poll) {
    if (!poll.watch_revision)
        return "/catalog/members";
    return "/catalog/members?since=" + std::to_string(*poll.watch_revision) +
           "&timeout_ms=" + std::to_string(static_cast<int>(poll.watch_timeout * 1000));
}

} // namespace

discovery_client::discovery_client(dispatcher &routing, upstream_pool &upstreams, counters &counts,
                                   log &logger)
    : dispatcher_(routing), upstream_(upstreams), counters_(counts), log_(logger),
      registry_([&routing](endpoint_index slot) { return routing.is_referenced(slot); }),
      configuration_(routing.configuration_in_force()),
      address_(parse_address(configuration_->discovery_address)) {
    if (!address_)
        throw parse_error{invalid_address};
}

void discovery_client::load_known_endpoints() {
    std::optional<endpoint_list> newest;
    const auto consider = [&](const json &list_json, const char *source) {
        try {
            endpoint_list list = read_endpoint_list(list_json, *configuration_);
            if (!newest || list.revision > newest->revision)
                newest = std::move(list);
        } catch (const parse_error &error) { // not fatal: the service will send its own list
            log_.warning("list-unusable ", source, "=1 reason=", error.reason);
        }
    };
    if (configuration_->known_endpoints.type == json::kind::object)
        consider(configuration_->known_endpoints, "known");
    if (!configuration_->snapshot_path.empty()) {
        const auto snapshot = load_snapshot(*configuration_, dispatcher_.now());
        const bool usable = snapshot.fault == nullptr;
        if (usable)
            consider(snapshot.list, "snapshot");
        log_.info("snapshot used=", usable,
                  usable ? " age=" + std::to_string(snapshot.age) : std::string(" reason=") + snapshot.fault);
    }
    if (!newest)
        return;
    publish(*newest, endpoint_update_kind::cached_snapshot);
    if (!newest->items.empty())
        known_revision_ = newest->revision;
}

bool discovery_client::disable(const std::string &id, bool allow_unknown) {
    const std::lock_guard guard(registry_lock_);
    if (!registry_.slot_of(id) && !allow_unknown)
        return overrides_.is_disabled(id);
    begin_command();
    if (overrides_.disable(id))
        apply_override(id);
    return true;
}

bool discovery_client::enable(const std::string &id) {
    const std::lock_guard guard(registry_lock_);
    begin_command();
    if (!overrides_.enable(id, dispatcher_.now()))
        return registry_.slot_of(id).has_value();
    apply_override(id);
    return true;
}

void discovery_client::set_draining(bool draining) {
    const std::lock_guard guard(registry_lock_);
    begin_command();
    overrides_.set_draining(draining);
}

void discovery_client::merge_overrides(const operator_overrides &other) {
    const std::lock_guard guard(registry_lock_);
    for (const auto &id : overrides_.merge(other))
        apply_override(id);
}

// All processes of a proxy run on one machine, so its monotonic clock orders their commands.
void discovery_client::begin_command() {
    overrides_.advance_version(
        static_cast<operator_overrides::version>(steady_now() * nanoseconds_per_second));
}

void discovery_client::apply_override(const std::string &id) {
    const bool is_disabled = overrides_.is_disabled(id);
    const auto slot = registry_.slot_of(id);
    if (slot)
        upstream_.set_disabled(*slot, is_disabled);
    republish(id);
    if (slot && is_disabled)
        upstream_.close_idle_of(*slot, dispatcher_.now(), upstream_close_reason::disabled);
    log_.info(is_disabled ? "taken-out server=" : "taken-back server=", id);
}

operator_overrides discovery_client::overrides() {
    const std::lock_guard guard(registry_lock_);
    return overrides_;
}

std::uint64_t discovery_client::override_changes() {
    const std::lock_guard guard(registry_lock_);
    return overrides_.change_count();
}

void discovery_client::record_enabled(const std::string &id, double enabled_at) {
    const std::lock_guard guard(registry_lock_);
    begin_command();
    overrides_.record_enabled(id, enabled_at);
}

std::pair<std::size_t, std::size_t> discovery_client::endpoint_counts() {
    std::vector<endpoint_index> enabled;
    std::size_t listed = 0, disabled = 0;
    {
        const std::lock_guard guard(registry_lock_);
        const kind_index origin = dispatcher_.configuration_in_force()->router.origin_kind;
        for (const auto &[id, entry] : registry_.listed()) {
            if (origin != none && entry.info.kind == origin)
                continue;
            ++listed;
            if (overrides_.is_disabled(id))
                ++disabled;
            else
                enabled.push_back(entry.info.endpoint);
        }
    }
    return {listed, disabled + dispatcher_.count_avoided(enabled)};
}

void discovery_client::reconfigure(std::shared_ptr<const configuration> next) {
    if (!parse_address(next->discovery_address))
        throw parse_error{invalid_address};
    const std::lock_guard guard(configuration_lock_);
    pending_ = std::move(next);
}

std::shared_ptr<const configuration> discovery_client::pending_configuration() {
    const std::lock_guard guard(configuration_lock_);
    return pending_ ? pending_ : awaiting_list_;
}

void discovery_client::run(const std::function<bool()> &stopped) {
    start_schedule();
    while (!stopped()) {
        use_pending_configuration();
        save_snapshot(false);
        start_due_poll();
        await_calls();
        handle_calls();
        if (std::exchange(reserved_connections_, late_.size()) != late_.size())
            upstream_.reserve_for_discovery(late_.size(), dispatcher_.now());
        update_readiness();
    }
    save_snapshot(true);
}

void discovery_client::start_schedule() {
    first_list_wanted_by_ = dispatcher_.now() + max_first_list_delay;
    schedule_.emplace(configuration_->poll, configuration_->seed, dispatcher_.now(), known_revision_);
    if (!is_shared_service())
        return;
    ready_.store(schedule_->state() != discovery::poll_state::no_endpoints);
    log_.info("list-state to=", discovery::name_of(schedule_->state()), " revision=", schedule_->revision(),
              " first-call-in=", schedule_->next_poll_at() - dispatcher_.now());
}

void discovery_client::use_pending_configuration() {
    {
        const std::lock_guard guard(configuration_lock_);
        if (!pending_)
            return;
        configuration_ = awaiting_list_ = std::exchange(pending_, nullptr);
    }
    const auto next_address = parse_address(configuration_->discovery_address);
    const bool has_moved = to_text(*next_address) != to_text(*address_);
    // A snapshot that is under way from the same address is as good as one that is requested now: discovery
    // may take longer to answer than until the next configuration. A watch may have no snapshot for an
    // answer.
    const auto is_useless = [&](const std::unique_ptr<poll_call> &call) {
        return call && (has_moved || call->poll().watch_revision);
    };
    if (is_useless(active_)) {
        active_.reset();
        log_connection_end("moved");
    }
    std::erase_if(late_, is_useless);
    close_connection("moved");
    address_ = next_address;
    if (has_moved)
        spare_socket_.close(); // the new address may be of another family
    schedule_->on_settings_changed(dispatcher_.now(), configuration_->poll);
}

void discovery_client::start_due_poll() {
    if (active_)
        return;
    if (poll_requested_.exchange(false))
        schedule_->request_poll(dispatcher_.now());
    if (schedule_->next_poll_at() > dispatcher_.now())
        return;
    const discovery::endpoint_poll poll = schedule_->start_poll(dispatcher_.now());
    counters_.add(poll.watch_revision ? counter::watch_polls : counter::snapshot_polls);
    try {
        active_ = open_call(poll);
    } catch (const std::bad_alloc &) { // counts as failed
    }
    if (!active_)
        on_poll_failed(poll);
}

std::unique_ptr<poll_call> discovery_client::open_call(const discovery::endpoint_poll &poll) {
    const double now = dispatcher_.now();
    std::string request =
        "GET " + poll_target(poll) + " HTTP/1.1\r\nHost: " + to_text(*address_) + "\r\n\r\n";
    if (idle_connection_ && peek(idle_connection_) != peek_result::empty)
        close_connection("stale");
    if (idle_connection_)
        return std::make_unique<poll_call>(std::exchange(idle_connection_, tcp_socket()), std::move(request),
                                           poll, now);
    tcp_socket connection = start_dial(*address_, std::exchange(spare_socket_, tcp_socket()));
    // Clients may have taken all other descriptors: those of polls without an answer are needed more.
    while (!connection && is_local_shortage(errno) && !late_.empty()) {
        late_.pop_front();
        connection = start_dial(*address_);
    }
    while (!spare_socket_ && !(spare_socket_ = socket_for(*address_)) && !late_.empty())
        late_.pop_front();
    if (!connection)
        return nullptr;
    const double connect_timeout = std::min(poll.timeout, schedule_->intervals().response_timeout);
    return std::make_unique<poll_call>(std::move(connection), std::move(request), poll, now, connect_timeout);
}

void discovery_client::await_calls() {
    std::vector<pollfd> awaited;
    for (const auto &call : late_)
        awaited.push_back(call->awaited());
    const double now = dispatcher_.now();
    double wait = is_shared_service() ? shared_check_interval : agent_check_interval;
    if (active_) {
        awaited.push_back(active_->awaited());
        wait = std::min(missed_wakeup_limit, active_->deadline() - now);
    } else {
        wait = std::min(wait, schedule_->next_poll_at() - now);
    }
    if (wait > 0)
        wait_on(awaited, wait);
}

void discovery_client::handle_calls() {
    for (auto call = late_.begin(); call != late_.end();) {
        const auto state = (*call)->advance(dispatcher_.now());
        if (state != poll_call::state::complete && state != poll_call::state::failed) {
            ++call;
            continue;
        }
        const std::unique_ptr<poll_call> ended = std::move(*call);
        call = late_.erase(call);
        if (state == poll_call::state::complete && handle_late_response(*ended))
            break; // earlier calls were given up
    }
    if (!active_)
        return;
    const auto state = active_->advance(dispatcher_.now());
    if (state == poll_call::state::complete) {
        const std::unique_ptr<poll_call> ended = std::move(active_);
        if (!handle_response(*ended))
            on_poll_failed(ended->poll());
    } else if (state == poll_call::state::failed) {
        const std::unique_ptr<poll_call> ended = std::move(active_);
        log_connection_end("list_lost");
        on_poll_failed(ended->poll());
    } else if (dispatcher_.now() >= active_->deadline()) {
        on_poll_failed(active_->poll());
        late_.push_back(std::move(active_));
        discard_surplus_calls();
    }
}

void discovery_client::discard_surplus_calls() {
    for (;;) {
        std::vector<double> started_at;
        for (const auto &call : late_)
            started_at.push_back(call->started_at());
        const auto surplus = discovery::surplus_poll(started_at, dispatcher_.now());
        if (!surplus)
            return;
        late_.erase(std::next(late_.begin(), static_cast<std::ptrdiff_t>(*surplus)));
        log_connection_end("list_lost");
    }
}

// The response of a call that others have followed. What it says may be known already.
bool discovery_client::handle_late_response(poll_call &call) {
    log_.info("list-late after=", dispatcher_.now() - call.started_at(),
              " watching=", call.poll().watch_revision.has_value());
    counters_.add(counter::polls_late);
    const double adopted_before = adopted_at_;
    handle_response(call);
    return adopted_at_ != adopted_before;
}

bool discovery_client::handle_response(poll_call &call) {
    try {
        return handle_response(call, read_response(call));
    } catch (const parse_error &error) {
        log_.warning("list-unusable reason=", error.reason);
        close_connection("list_unusable");
    } catch (const std::bad_alloc &) { // the list may or may not have been published: polls a new snapshot
        close_connection("no_memory");
        schedule_->on_settings_changed(dispatcher_.now(), configuration_->poll);
    }
    return false;
}

discovery_client::poll_response discovery_client::read_response(poll_call &call) {
    poll_response response;
    const http_head &head = call.head();
    response.rejected = head.status == 503 || head.status == 429;
    if (response.rejected)
        response.retry_after = parse_retry_after(head.header("Retry-After"));
    if (head.status == 200)
        response.list = read_json(call.body());
    if (!response.list && !response.rejected)
        log_connection_end("list_lost");
    else if (!head.keeps_alive())
        log_connection_end(response.list ? "server_closes" : "list_lost");
    else if (!idle_connection_)
        idle_connection_ = call.take_connection();
    return response;
}

bool discovery_client::handle_response(const poll_call &call, const poll_response &response) {
    if (response.list) {
        const endpoint_list list = read_endpoint_list(*response.list, *configuration_);
        // After a delta, zones and kinds of the other endpoints would still be those of the old
        // configuration.
        if (awaiting_list_ && !list.is_snapshot)
            throw parse_error{"the first list after a reload is not a snapshot"};
        if (is_outdated(call, list))
            return true;
        if (handle_list(list)) {
            ready_.store(true);
            adopted_at_ = dispatcher_.now();
            // What was requested earlier has nothing to add.
            std::erase_if(late_, [&](const auto &each) { return each->started_at() < call.started_at(); });
        }
        return true;
    }
    if (!response.rejected || !is_shared_service())
        return false;
    if (active_) // a late rejection: the poll that followed decides
        return true;
    schedule_->on_rejected(dispatcher_.now(), response.retry_after);
    counters_.add(counter::polls_rejected);
    log_.warning("list-refused come-back=", response.retry_after,
                 " next-call-in=", schedule_->next_poll_at() - dispatcher_.now());
    return true;
}

// Calls overlap, so the list in force may be newer than a response that comes after it. The revision tells
// only for calls from before that list came: a service that was restarted may count from the start.
bool discovery_client::is_outdated(const poll_call &call, const endpoint_list &list) const {
    if (call.started_at() >= adopted_at_)
        return false;
    const std::uint64_t known = schedule_->revision();
    const bool skips_changes = !list.is_snapshot && call.poll().watch_revision.value_or(0) > known;
    return list.revision < known || skips_changes;
}

void discovery_client::on_poll_failed(const discovery::endpoint_poll &failed) {
    counters_.add(counter::polls_failed);
    log_.warning("list-lost watching=", failed.watch_revision.has_value());
    poll_requested_.store(false);
    has_failed_poll_ = true;
    schedule_->on_failure(dispatcher_.now());
    dispatcher_.endpoints_updated(endpoint_update_kind::poll_failed, {});
}

// With an agent, a proxy that has endpoints, or can expect none soon, does not wait for a list.
void discovery_client::update_readiness() {
    if (ready_.load() || is_shared_service() || !has_failed_poll_)
        return;
    if (known_revision_ || late_.empty() || dispatcher_.now() >= first_list_wanted_by_)
        ready_.store(true);
}

bool discovery_client::handle_list(const endpoint_list &list) {
    const auto before = schedule_->state();
    if (!schedule_->on_update(dispatcher_.now(), facts_of(list))) {
        handle_implausible_list(list);
        log_state_change(before);
        return false;
    }
    counters_.add(counter::endpoint_updates);
    if (list.is_snapshot || !list.items.empty()) {
        publish(list, list.is_snapshot ? endpoint_update_kind::snapshot : endpoint_update_kind::delta);
        snapshot_outdated_ = true;
    }
    if (awaiting_list_) {
        if (on_configuration_applied)
            on_configuration_applied(*awaiting_list_);
        const std::lock_guard guard(configuration_lock_);
        awaiting_list_ = nullptr;
    }
    log_state_change(before);
    return true;
}

// Keeps the list in force, but drains the endpoints that are draining in the new list.
void discovery_client::handle_implausible_list(const endpoint_list &list) {
    counters_.add(counter::snapshots_implausible);
    log_.warning("list-doubted as=", discovery::name_of(schedule_->latest_implausibility()),
                 " revision=", list.revision, " known=", schedule_->revision(),
                 " servers=", list.items.size());
    if (schedule_->latest_implausibility() != discovery::implausibility::mostly_missing)
        return;
    endpoint_list drains = list;
    std::erase_if(drains.items,
                  [](const auto &entry) { return entry.info.state != endpoint_state::draining; });
    publish(drains, endpoint_update_kind::local);
}

discovery::snapshot_facts discovery_client::facts_of(const endpoint_list &list) {
    const std::lock_guard guard(registry_lock_);
    const auto &listed = registry_.listed();
    discovery::snapshot_facts facts{
        list.is_snapshot, list.revision, schedule_->revision(), listed.size(), 0, 0};
    for (const auto &entry : list.items) {
        facts.named_endpoints += entry.info.state != endpoint_state::removed;
        facts.common_endpoints += listed.contains(entry.id);
    }
    return facts;
}

void discovery_client::publish(const endpoint_list &list, endpoint_update_kind kind) {
    const std::lock_guard guard(registry_lock_);
    if (is_snapshot(kind))
        registry_.clear_listed();
    const std::vector<endpoint_info> entries = apply_to_registry(list);
    if (kind == endpoint_update_kind::snapshot && awaiting_list_)
        dispatcher_.apply(awaiting_list_, entries);
    else
        dispatcher_.endpoints_updated(kind, entries);
    for (const endpoint_index slot : registry_.retire_missing(list, is_snapshot(kind)))
        upstream_.close_idle_of(slot, dispatcher_.now(), upstream_close_reason::endpoint_removed);
}

std::vector<endpoint_info> discovery_client::apply_to_registry(const endpoint_list &list) {
    std::vector<endpoint_info> entries;
    for (const auto &item : list.items) {
        const bool removed = item.info.state == endpoint_state::removed;
        const bool known = registry_.slot_of(item.id).has_value();
        if (removed && !known)
            continue;
        endpoint_info info = item.info;
        info.endpoint = registry_.acquire_slot(item.id);
        if (removed) {
            registry_.remove_listed(item.id);
        } else {
            upstream_.set_endpoint(info.endpoint, item.id, item.host_port, info.started_at,
                                   dispatcher_.now());
            if (!known) // the slot may be a reused one
                upstream_.set_disabled(info.endpoint, overrides_.is_disabled(item.id));
            registry_.set_listed(item.id, info, item.host_port);
        }
        entries.push_back(overrides_.apply(item.id, info));
        entries.back().id = item.id;
    }
    return entries;
}

// The update is `local`, as it does not come from a poll.
void discovery_client::republish(const std::string &id) {
    const auto found = registry_.listed().find(id);
    if (found == registry_.listed().end())
        return;
    endpoint_info entry = overrides_.apply(id, found->second.info);
    entry.id = id;
    dispatcher_.endpoints_updated(endpoint_update_kind::local, {&entry, 1});
}

void discovery_client::save_snapshot(bool at_end) {
    if (configuration_->snapshot_path.empty() || !snapshot_outdated_ ||
        (!at_end && dispatcher_.now() < last_snapshot_attempt_at_ + min_snapshot_interval))
        return;
    last_snapshot_attempt_at_ = dispatcher_.now();
    const std::string text =
        discovery::to_text({configuration_->name, configuration_->discovery_address,
                            last_snapshot_attempt_at_, write_endpoint_list(current_list(), *configuration_)});
    snapshot_outdated_ = !write_snapshot(configuration_->snapshot_path, text);
    counters_.add(snapshot_outdated_ ? counter::snapshots_failed : counter::snapshots_written);
    if (snapshot_outdated_)
        log_.warning("snapshot-failed file=", configuration_->snapshot_path, " error=", std::strerror(errno));
}

endpoint_list discovery_client::current_list() {
    const std::lock_guard guard(registry_lock_);
    endpoint_list list;
    list.revision = schedule_->revision();
    list.is_snapshot = true;
    for (const auto &[id, entry] : registry_.listed())
        list.items.push_back({id, entry.host_port, entry.info});
    return list;
}

bool discovery_client::is_shared_service() const {
    return configuration_->poll.service == discovery::list_service_kind::shared;
}

void discovery_client::log_state_change(discovery::poll_state before) {
    if (schedule_->state() != before && is_shared_service())
        log_.info("list-state from=", discovery::name_of(before),
                  " to=", discovery::name_of(schedule_->state()), " revision=", schedule_->revision());
}

void discovery_client::close_connection(const char *reason) {
    if (!idle_connection_)
        return;
    idle_connection_.close();
    log_connection_end(reason);
}

void discovery_client::log_connection_end(const char *reason) {
    log_.info("connection-end side=discovery reason=", reason);
}

} // namespace harrierpass::proxy
