// SPDX-License-Identifier: Apache-2.0
#include "proxy/configuration.hpp"

#include "settings/settings_reader.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>

namespace harrierpass::proxy {
namespace {

constexpr double grace_share = 0.25; // of a drain's grace, for an answer and for the pause after a loss
constexpr double prompt_watch = 1;   // s that a watch waits where calls cost nothing
constexpr double usual_watch = 5;    // s that it waits elsewhere
constexpr double usual_limit = 0.7;  // s for an answer beside that
// s, the longest pause after a lost call of an agent, before chance makes it half as much again. A change
// counts as told 6 s after the list service had it and could be reached; in them fit a call that was begun
// just before, with its dial, this pause, and another call (docs/crossings.md).
constexpr double most_pause = 1.5;
constexpr double usual_age = 86400; // s that a snapshot may be old
constexpr double most_lists = 1e6;  // a second

// An object's values by path, as the shared reader wants them: lists have their length under "path.count".
void flatten(const json &from, const std::string &path, field_reader &to) {
    const std::string start = path.empty() ? "" : path + ".";
    if (from.type == json::kind::object) {
        for (const auto &[name, value] : from.members)
            flatten(value, start + name, to);
    } else if (from.type == json::kind::array) {
        to.set(start + "count", std::to_string(from.items.size()));
        for (std::size_t i = 0; i < from.items.size(); ++i)
            flatten(from.items[i], start + std::to_string(i), to);
    } else if (from.type != json::kind::null) {
        to.set(path, from.text);
    }
}

std::vector<std::string> names_in(const json &from, std::string_view list, std::string_view field) {
    std::vector<std::string> names;
    if (const json *found = from.find(list))
        for (const auto &each : found->items)
            names.emplace_back(each.type == json::kind::object ? each.string_at(field) : each.text);
    return names;
}

std::string needed(const json &from, std::string_view name, const char *fault) {
    const auto text = from.string_at(name);
    if (text.empty())
        throw parse_error{fault};
    return std::string(text);
}

double bounded(const json &from, std::string_view name, double absent, double least, double most) {
    const double value = from.number_at(name, absent);
    if (!(value >= least && value <= most)) {
        std::ostringstream why;
        why << "startup." << name << " is " << value << ", not from " << least << " to " << most;
        throw parse_error{why.str()};
    }
    return value;
}

// The part of our own that other installations may have: how the list service is asked, and what is kept.
void read_startup(const json &all, configuration &to) {
    to.poll.proxy_count = to.router.proxy_count;
    const json *from = all.find("startup");
    if (from == nullptr)
        return;
    if (from->type != json::kind::object)
        throw parse_error{"startup is no object"};
    static constexpr std::array known = {"list_service", "lists_per_s", "snapshot", "snapshot_age_s"};
    for (const auto &[name, value] : from->members)
        if (std::find(known.begin(), known.end(), name) == known.end())
            throw parse_error{"startup." + name + " is not known"};
    const auto service = from->string_at("list_service");
    if (!service.empty() && service != "agent" && service != "shared")
        throw parse_error{"startup.list_service is '" + std::string(service) + "', neither agent nor shared"};
    to.poll.service =
        service == "shared" ? discovery::list_service_kind::shared : discovery::list_service_kind::agent;
    to.poll.snapshots_per_second =
        bounded(*from, "lists_per_s", to.poll.snapshots_per_second, 0.01, most_lists);
    to.snapshot_path = from->string_at("snapshot");
    to.snapshot_max_age = bounded(*from, "snapshot_age_s", usual_age, 1, 1e9);
}

} // namespace

configuration read_configuration(std::string_view text) {
    const json all = read_json(text);
    const json *given = all.find("settings");
    if (given == nullptr || given->type != json::kind::object)
        throw parse_error{"the configuration has no settings"};
    configuration made;
    made.name = all.string_at("name");
    made.listen = needed(all, "listen", "the configuration has no address to listen on");
    made.discovery = needed(all, "discovery", "the configuration has no address of discovery");
    made.control = all.string_at("control");
    if (const char *told = std::getenv("BALANCER_CONTROL"); made.control.empty() && told != nullptr)
        made.control = told;
    std::uint64_t seed = 1;
    if (const auto digits = all.string_at("seed"); !digits.empty()) {
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
        if (error != std::errc{} || end != digits.data() + digits.size())
            throw parse_error{"the seed is no hexadecimal number"};
    }
    made.seed = static_cast<std::uint32_t>(seed % 2147483647U);
    if (const json *limits = all.find("limits")) {
        made.memory_mb = std::clamp(limits->number_at("memory_mb", made.memory_mb), 32.0, 1e6);
        made.max_descriptors =
            static_cast<index>(std::clamp(limits->number_at("sockets", made.max_descriptors), 64.0, 1e5));
    }
    if (const json *known = all.find("known"))
        made.known_endpoints = *known;

    field_reader paths;
    flatten(*given, "", paths);
    made.router = read_router_settings(paths);
    // On sockets a list is told to those who ask, also where the simulator tells it by itself: the router
    // then says when to ask again after a loss.
    made.router.constraints.watch_required = true;
    read_startup(all, made);
    made.poll.max_poll_interval = made.router.constraints.max_poll_interval;
    made.poll.agent_watch_timeout = usual_watch;
    made.poll.agent_response_timeout = usual_limit;
    if (made.poll.service == discovery::list_service_kind::agent) {
        auto &ask_in = made.router.constraints.max_poll_interval;
        ask_in = std::min(ask_in, most_pause);
        if (paths.text("discovery") != "subscribe") {
            // Guards "drains are kept": what the agent beside the proxy has counts as told, asked for or not.
            // So a silent agent is found out and asked again well within the grace; there that costs nobody
            // anything.
            const double part = std::clamp(paths.seconds("rules.drainGraceMs", 2) * grace_share, 0.1, 1.0);
            ask_in = std::min(ask_in, part);
            made.poll.agent_response_timeout = part;
            made.poll.agent_watch_timeout = prompt_watch;
        }
    }
    made.request_classes = names_in(*given, "useCases", "name");
    made.tenants = names_in(*given, "tenants", "name");
    made.zones = names_in(*given, "zones", "name");
    made.kinds = names_in(*given, "shapes", "name");
    // Guards against a place that is in no list: no server would ever be own, or the origin.
    if (made.router.local_zone != none && !made.zones.empty() && made.router.local_zone >= made.zones.size())
        throw parse_error{"settings.locality is none of settings.zones"};
    if (paths.text("familyInfo.mode") == "aside" && made.router.origin_kind >= made.kinds.size())
        throw parse_error{"settings.familyInfo.originKind is none of settings.shapes"};
    for (index i = 0; i < made.request_classes.size(); ++i)
        made.request_timeouts.push_back(
            paths.seconds("useCases." + std::to_string(i) + ".statementTimeoutMs", 1));
    made.connect_timeout =
        std::clamp(paths.seconds("limits.dialTimeoutMs", made.connect_timeout), 0.001, 60.0);
    made.upstream_idle_timeout =
        std::clamp(paths.seconds("limits.connIdleMs", made.upstream_idle_timeout), 0.001, 3600.0);
    return made;
}

index index_of_name(const std::vector<std::string> &names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? none : static_cast<index>(found - names.begin());
}

} // namespace harrierpass::proxy
