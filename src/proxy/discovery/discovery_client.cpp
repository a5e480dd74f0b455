// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/discovery_client.hpp"

#include "net/http_call.hpp"
#include "proxy/discovery/snapshot_file.hpp"
#include "settings/settings_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iomanip>
#include <sstream>
#include <unordered_set>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t list_limit = 1024UL * 1024; // bytes; some 8,000 entries
constexpr double long_warm = 3600;                // s; no server is cold for longer
constexpr double nap = 0.02;                      // s between looks whether the router asks again ...
constexpr double least_saving = 1;                // s between two writings of the snapshot
constexpr double long_nap = 0.1;                  // ... or, where it has no say, whether a call is due

// Seconds, whole or decimal; 0 for what is none, as a date.
double retry_after(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value > 0 ? value : 0;
}

} // namespace

endpoint_list read_endpoint_list(const json &from, const configuration &names) {
    endpoint_list made;
    const json *members = from.find("members");
    if (members == nullptr || members->type != json::kind::array)
        throw parse_error{"the list has no members"};
    made.revision =
        parse_number<std::uint64_t>(from.string_at("revision"), "the list's revision is no number");
    made.is_snapshot = from.string_at("complete") == "true";
    for (const json &each : members->items) {
        endpoint_list::endpoint_address one;
        one.id = each.string_at("id");
        one.host_port = each.string_at("host_port");
        const auto phase = each.string_at("phase");
        if (one.id.empty() || (phase != "active" && phase != "leaving" && phase != "left"))
            continue;
        one.info.state = phase == "active"    ? endpoint_state::ready
                         : phase == "leaving" ? endpoint_state::draining
                                              : endpoint_state::removed;
        one.info.started_at = each.number_at("up_since_ms", 0) / 1000;
        one.info.zone = index_of_name(names.zones, each.string_at("locality"));
        one.info.kind = index_of_name(names.kinds, each.string_at("flavor"));
        const double cell = each.number_at("cell", -1);
        one.info.cell = cell < 0 || cell > 1e9 ? none : static_cast<index>(cell);
        one.info.weight = each.number_at("size", 1);
        made.items.push_back(std::move(one));
    }
    return made;
}

discovery_client::discovery_client(dispatcher &decides, upstream_pool &servers, counters &count, log &lines)
    : dispatcher_(decides), upstream_(servers), counters_(count), log_(lines),
      configuration_(decides.configuration_in_force()), address_(parse_address(configuration_->discovery)),
      buffer_(list_limit) {
    if (!address_)
        throw parse_error{"discovery has no usable address"};
}

void discovery_client::load_known_endpoints() {
    std::optional<endpoint_list> list;
    const auto take = [&](const json &from, const char *what) {
        try {
            endpoint_list read = read_endpoint_list(from, *configuration_);
            if (!list || read.revision > list->revision)
                list = std::move(read);
        } catch (const parse_error &bad) { // discovery's own list is on its way
            log_.warning("list-unusable ", what, "=1 reason=", bad.reason);
        }
    };
    if (configuration_->known_endpoints.type == json::kind::object)
        take(configuration_->known_endpoints, "known");
    if (!configuration_->snapshot_path.empty()) {
        const auto found = load_snapshot(*configuration_, dispatcher_.now());
        if (found.fault == nullptr)
            take(found.list, "snapshot");
        log_.info("snapshot used=", found.fault == nullptr,
                  found.fault == nullptr ? " age=" + std::to_string(found.age)
                                         : std::string(" reason=") + found.fault);
    }
    if (!list)
        return;
    publish(*list, endpoint_update_kind::cached_snapshot);
    if (!list->items.empty())
        known_revision_ = list->revision;
}

// The list as it stands, in discovery's form.
std::string discovery_client::list_text() {
    const std::lock_guard hold(registry_lock_);
    const auto quoted = [](std::string_view text) {
        std::ostringstream made;
        made << '"';
        for (const char each : text)
            if (each == '"' || each == '\\')
                made << '\\' << each;
            else if (static_cast<unsigned char>(each) < 0x20)
                made << "\\u00" << std::hex << std::setw(2) << std::setfill('0') << int{each} << std::dec;
            else
                made << each;
        made << '"';
        return made.str();
    };
    const auto name = [](const std::vector<std::string> &names, index at) {
        return at < names.size() ? std::string_view(names[at]) : std::string_view();
    };
    std::ostringstream made;
    made << std::setprecision(17) << "{\"revision\":" << schedule_->revision()
         << ",\"complete\":true,\"members\":[";
    const char *border = "";
    for (const auto &[id, entry] : endpoints_) {
        made << std::exchange(border, ",") << "{\"id\":" << quoted(id)
             << ",\"host_port\":" << quoted(addresses_[id])
             << ",\"locality\":" << quoted(name(configuration_->zones, entry.zone))
             << ",\"flavor\":" << quoted(name(configuration_->kinds, entry.kind))
             << ",\"cell\":" << (entry.cell == none ? -1.0 : static_cast<double>(entry.cell))
             << ",\"phase\":" << (entry.state == endpoint_state::ready ? "\"active\"" : "\"leaving\"")
             << ",\"size\":" << entry.weight << ",\"up_since_ms\":" << entry.started_at * 1000 << '}';
    }
    made << "]}";
    return made.str();
}

// Keeps the list for the next start. Guards the disk against a list that changes all the time.
void discovery_client::save_snapshot(bool at_end) {
    if (configuration_->snapshot_path.empty() || !snapshot_outdated_ ||
        (!at_end && dispatcher_.now() < snapshot_tried_at_ + least_saving))
        return;
    snapshot_tried_at_ = dispatcher_.now();
    const std::string text = discovery::to_text(
        {configuration_->name, configuration_->discovery, snapshot_tried_at_, list_text()});
    snapshot_outdated_ = !write_snapshot(configuration_->snapshot_path, text);
    counters_.add(snapshot_outdated_ ? counter::snapshots_failed : counter::snapshots_written);
    if (snapshot_outdated_)
        log_.warning("snapshot-failed file=", configuration_->snapshot_path, " error=", std::strerror(errno));
}

void discovery_client::publish(const endpoint_list &list, endpoint_update_kind kind,
                               std::shared_ptr<const configuration> next) {
    const std::lock_guard hold(registry_lock_);
    std::vector<endpoint_info> entries;
    if (is_snapshot(kind)) {
        endpoints_.clear();
        addresses_.clear();
    }
    for (const auto &each : list.items) {
        const bool known = index_of_.contains(each.id);
        if (each.info.state == endpoint_state::removed && !known)
            continue; // nothing was ever heard of it
        const index at = index_for(each.id);
        if (each.info.state != endpoint_state::removed) {
            upstream_.set_endpoint(at, each.id, each.host_port, each.info.started_at, dispatcher_.now());
            if (!known) // its place may have been another's; the others' gates follow the operators' calls
                upstream_.set_disabled(at, overrides_.disabled.contains(each.id));
        }
        auto entry = each.info;
        entry.endpoint = at;
        if (entry.state == endpoint_state::removed) {
            endpoints_.erase(each.id);
            addresses_.erase(each.id);
        } else {
            endpoints_[each.id] = entry;
            addresses_[each.id] = each.host_port;
        }
        entries.push_back(apply_overrides(each.id, entry));
        entries.back().id = each.id;
    }
    if (next)
        dispatcher_.apply(std::move(next), entries);
    else
        dispatcher_.endpoints_updated(kind, entries);
    retire(list, kind);
}

// What the router is told of a server: one that is out by hand drains, one that came back by hand started
// then.
endpoint_info discovery_client::apply_overrides(const std::string &id, endpoint_info listed) const {
    if (overrides_.disabled.contains(id) && listed.state == endpoint_state::ready)
        listed.state = endpoint_state::draining;
    if (const auto back = overrides_.enabled_at.find(id); back != overrides_.enabled_at.end())
        listed.started_at = std::max(listed.started_at, back->second);
    return listed;
}

void discovery_client::republish(const std::string &id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    auto entry = apply_overrides(id, found->second);
    entry.id = id;
    dispatcher_.endpoints_updated(endpoint_update_kind::local,
                                  {&entry, 1}); // guards the calls for a list that was lost
}

bool discovery_client::disable(const std::string &id, bool unknown_too) {
    const std::lock_guard hold(registry_lock_);
    const auto at = index_of_.find(id);
    if (at == index_of_.end() && !unknown_too)
        return overrides_.disabled.contains(id);
    if (!overrides_.disabled.insert(id).second || at == index_of_.end())
        return true;
    upstream_.set_disabled(at->second, true);
    republish(id);
    upstream_.close_idle_of(at->second, dispatcher_.now(), "out");
    log_.info("taken-out server=", id);
    return true;
}

bool discovery_client::enable(const std::string &id) {
    const std::lock_guard hold(registry_lock_);
    const auto at = index_of_.find(id);
    if (overrides_.disabled.erase(id) == 0)
        return at != index_of_.end();
    const double now = dispatcher_.now();
    std::erase_if(overrides_.enabled_at, [&](const auto &each) { return now - each.second > long_warm; });
    overrides_.enabled_at[id] = now;
    if (at != index_of_.end())
        upstream_.set_disabled(at->second, false);
    republish(id);
    log_.info("taken-back server=", id);
    return true;
}

discovery_client::operator_overrides discovery_client::overrides() {
    const std::lock_guard hold(registry_lock_);
    return overrides_;
}

void discovery_client::record_enabled(const std::string &id, double at) {
    const std::lock_guard hold(registry_lock_);
    overrides_.enabled_at[id] = at;
}

std::pair<std::size_t, std::size_t> discovery_client::endpoint_counts() {
    std::vector<index> in_use;
    std::size_t all = 0, out = 0;
    {
        const std::lock_guard hold(registry_lock_);
        const index origin = dispatcher_.configuration_in_force()->router.origin_kind;
        for (const auto &[id, entry] : endpoints_) {
            if (origin != none && entry.kind == origin)
                continue;
            ++all;
            if (overrides_.disabled.contains(id))
                ++out;
            else
                in_use.push_back(entry.endpoint);
        }
    }
    return {all, out + dispatcher_.count_avoided(in_use)};
}

// Its own, else one whose server is gone and to which nothing refers any more. Guards the memory, and all
// that walks the servers, where new ones come for as long as the proxy runs.
index discovery_client::index_for(const std::string &id) {
    if (const auto found = index_of_.find(id); found != index_of_.end()) {
        std::erase(removed_, id);
        return found->second;
    }
    index at = slots_;
    const auto free = std::find_if(removed_.begin(), removed_.end(), [&](const auto &each) {
        return !dispatcher_.is_referenced(index_of_[each]);
    });
    if (free != removed_.end()) {
        at = index_of_[*free];
        index_of_.erase(*free);
        removed_.erase(free);
    } else {
        ++slots_;
    }
    index_of_.emplace(id, at);
    return at;
}

// Those that the list told to be gone, by name or by leaving them out. Their indices are free from the next
// list on, when the router has taken them off its ring.
void discovery_client::retire(const endpoint_list &list, endpoint_update_kind kind) {
    std::unordered_set<std::string_view> here;
    for (const auto &each : list.items)
        if (each.info.state != endpoint_state::removed)
            here.insert(each.id);
    const std::unordered_set<std::string_view> before(removed_.begin(), removed_.end());
    std::vector<std::string> ended;
    for (const auto &each : list.items)
        if (each.info.state == endpoint_state::removed && index_of_.contains(each.id) &&
            !before.contains(each.id))
            ended.push_back(each.id);
    if (is_snapshot(kind))
        for (const auto &[id, at] : index_of_)
            if (!here.contains(id) && !before.contains(id))
                ended.push_back(id);
    for (auto &id : ended) {
        upstream_.close_idle_of(index_of_[id], dispatcher_.now(), "gone");
        removed_.push_back(std::move(id));
    }
}

// One call on the kept connection, which is made anew where it is not there.
discovery_client::poll_response discovery_client::poll(const std::string &target, double limit,
                                                       const std::function<bool()> &over) {
    poll_response made;
    if (socket_ && peek(socket_) != peek_result::empty)
        end_connection("stale");
    if (!socket_)
        socket_ = dial(*address_, std::min(limit, schedule_->intervals().response_timeout),
                       std::exchange(spare_socket_, tcp_socket()));
    if (!spare_socket_)
        spare_socket_ = socket_for(*address_);
    if (!socket_)
        return made;
    const std::string asks = "GET " + target + " HTTP/1.1\r\nHost: " + to_text(*address_) + "\r\n\r\n";
    http_reader reader(buffer_, http_reader::message_kind::response);
    const bool whole = http_call(socket_, asks, reader, limit, over);
    const auto &head = reader.head();
    if (whole && head.status == 200)
        made.list = read_json(reader.body());
    made.rejected = whole && (head.status == 503 || head.status == 429);
    if (made.rejected)
        made.retry_after = retry_after(head.header("Retry-After"));
    if (!(made.list || made.rejected) || !head.keeps_alive())
        end_connection(made.list ? "server_closes" : reconfigured_ ? "moved" : "list_lost");
    return made;
}

// An answer beside what stands.
discovery::snapshot_facts discovery_client::facts_of(const endpoint_list &list) {
    const std::lock_guard hold(registry_lock_);
    discovery::snapshot_facts made{
        list.is_snapshot, list.revision, schedule_->revision(), endpoints_.size(), 0, 0};
    for (const auto &each : list.items) {
        made.named_endpoints += each.info.state != endpoint_state::removed;
        made.common_endpoints += endpoints_.contains(each.id);
    }
    return made;
}

// Whether it was believed; what is not stands aside, but for the drains that it names.
bool discovery_client::on_list(const endpoint_list &list, std::shared_ptr<const configuration> &next) {
    const auto before = schedule_->state();
    if (!schedule_->on_update(dispatcher_.now(), facts_of(list))) {
        counters_.add(counter::snapshots_doubted);
        log_.warning("list-doubted as=", discovery::name_of(schedule_->latest_doubt()),
                     " revision=", list.revision, " known=", schedule_->revision(),
                     " servers=", list.items.size());
        if (schedule_->latest_doubt() == discovery::snapshot_doubt::mostly_missing) {
            endpoint_list drains = list;
            std::erase_if(drains.items,
                          [](const auto &each) { return each.info.state != endpoint_state::draining; });
            publish(drains, endpoint_update_kind::local);
        }
        return log_state_change(before), false;
    }
    counters_.add(counter::endpoint_updates);
    // An empty answer to a watch tells the router nothing.
    if (list.is_snapshot || !list.items.empty()) {
        publish(list, list.is_snapshot ? endpoint_update_kind::snapshot : endpoint_update_kind::delta, next);
        snapshot_outdated_ = true;
    }
    if (next && on_configuration_applied)
        on_configuration_applied(*next);
    if (std::exchange(next, nullptr)) {
        const std::lock_guard hold(configuration_lock_);
        awaiting_list_ = nullptr;
    }
    log_state_change(before);
    return true;
}

void discovery_client::log_state_change(discovery::poll_state before) {
    if (schedule_->state() != before && configuration_->poll.service == discovery::list_service_kind::shared)
        log_.info("list-state from=", discovery::name_of(before),
                  " to=", discovery::name_of(schedule_->state()), " revision=", schedule_->revision());
}

void discovery_client::end_connection(const char *reason) {
    if (!socket_)
        return;
    socket_.close();
    log_.info("connection-end side=discovery reason=", reason);
}

void discovery_client::reconfigure(std::shared_ptr<const configuration> next) {
    if (!parse_address(next->discovery))
        throw parse_error{"discovery has no usable address"};
    {
        const std::lock_guard hold(configuration_lock_);
        pending_ = std::move(next);
    }
    reconfigured_.store(true);
}

std::shared_ptr<const configuration> discovery_client::pending_configuration() {
    const std::lock_guard hold(configuration_lock_);
    return pending_ ? pending_ : awaiting_list_;
}

void discovery_client::run(const std::function<bool()> &over) {
    std::shared_ptr<const configuration> next; // waits for its list
    const auto cut = [&] { return over() || reconfigured_.load(); };
    const auto shared = [&] { return configuration_->poll.service == discovery::list_service_kind::shared; };
    schedule_.emplace(configuration_->poll, configuration_->seed, dispatcher_.now(), known_revision_);
    if (shared()) {
        ready_.store(schedule_->state() != discovery::poll_state::no_endpoints);
        log_.info("list-state to=", discovery::name_of(schedule_->state()),
                  " revision=", schedule_->revision(),
                  " first-call-in=", schedule_->next_poll_at() - dispatcher_.now());
    }
    while (!over()) {
        // Guards against a watch at the old address, which tells nothing any more and ends in silence.
        if (reconfigured_.exchange(false)) {
            end_connection("moved");
            {
                const std::lock_guard hold(configuration_lock_);
                next = configuration_ = awaiting_list_ = std::exchange(pending_, nullptr);
            }
            address_ = parse_address(configuration_->discovery);
            spare_socket_.close(); // it may be of another family of addresses
            schedule_->on_settings_changed(dispatcher_.now(), configuration_->poll);
        }
        if (poll_requested_.exchange(false))
            schedule_->request_poll(dispatcher_.now());
        save_snapshot(false);
        if (const double wait = schedule_->next_poll_at() - dispatcher_.now(); wait > 0) {
            wait_on({}, std::min(wait, shared() ? long_nap : nap));
            continue;
        }
        const discovery::endpoint_poll now = schedule_->start_poll(dispatcher_.now());
        counters_.add(now.watch_revision ? counter::watch_polls : counter::snapshot_polls);
        const std::string target =
            now.watch_revision
                ? "/catalog/members?since=" + std::to_string(*now.watch_revision) +
                      "&timeout_ms=" + std::to_string(static_cast<int>(now.watch_timeout * 1000))
                : "/catalog/members";
        bool answered = false; // in a way that says when to call again
        try {
            const poll_response came = poll(target, now.timeout, cut);
            if (came.list) {
                const endpoint_list list = read_endpoint_list(*came.list, *configuration_);
                // Guards the switch: what is not whole leaves servers known by the old names.
                if (next && !list.is_snapshot)
                    throw parse_error{"the first list after a reload is not whole"};
                answered = true;
                if (on_list(list, next))
                    ready_.store(true);
            } else if (came.rejected && shared()) {
                answered = true;
                schedule_->on_rejected(dispatcher_.now(), came.retry_after);
                counters_.add(counter::polls_rejected);
                log_.warning("list-refused come-back=", came.retry_after,
                             " next-call-in=", schedule_->next_poll_at() - dispatcher_.now());
            }
        } catch (const parse_error &bad) {
            log_.warning("list-unusable reason=", bad.reason);
            end_connection("list_unusable");
            answered = false;
        } catch (const std::bad_alloc &) { // lost as well; the router asks again
            end_connection("no_memory");
            schedule_->on_settings_changed(dispatcher_.now(),
                                           configuration_->poll); // what was told of it is not known
            answered = false;
        }
        if (!answered && !cut()) {
            counters_.add(counter::polls_failed);
            log_.warning("list-lost watching=", now.watch_revision.has_value());
            poll_requested_.store(false);
            schedule_->on_failure(dispatcher_.now());
            dispatcher_.endpoints_updated(endpoint_update_kind::poll_failed, {});
        }
        if (!shared())
            ready_.store(true);
    }
    save_snapshot(true);
}

} // namespace harrierpass::proxy
