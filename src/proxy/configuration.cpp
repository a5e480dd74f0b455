// SPDX-License-Identifier: Apache-2.0
#include "proxy/configuration.hpp"

#include "settings/settings_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace harrierpass::proxy {
namespace {

constexpr double agent_grace_share = 0.25; // of a drain's grace: for a response, and for the backoff
constexpr double min_agent_timeout = 0.1;  // s
constexpr double max_agent_timeout = 1;    // s
constexpr double default_drain_grace = 2;  // s
constexpr double agent_watch_timeout = 1;  // s, where polls cost nothing
constexpr double watch_timeout = 5;        // s, elsewhere
constexpr double response_timeout = 0.7;   // s, beside the watch's
// s; the longest backoff after an agent's failed poll, before jitter. A change must be known 6 s after the
// service had it: in them fit a poll begun just before, this backoff, and another poll (docs/crossings.md).
constexpr double max_agent_backoff = 1.5;
constexpr double default_snapshot_max_age = 86400; // s
constexpr double max_snapshots_per_second = 1e6;
constexpr std::uint64_t seed_modulus = 2147483647; // of std::minstd_rand

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

// Throws with that message where the field is missing or empty.
std::string required_string(const json &from, std::string_view name, const char *fault) {
    const auto text = from.string_at(name);
    if (text.empty())
        throw parse_error{fault};
    return std::string(text);
}

double startup_number(const json &from, std::string_view name, double absent, double min, double max) {
    const double value = from.number_at(name, absent);
    if (!(value >= min && value <= max)) {
        std::ostringstream message;
        message << "startup." << name << " is " << value << ", not from " << min << " to " << max;
        throw parse_error{message.str()};
    }
    return value;
}

// The optional `startup` object: how the list service is polled, and the snapshot file.
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
        startup_number(*from, "lists_per_s", to.poll.snapshots_per_second, 0.01, max_snapshots_per_second);
    to.snapshot_path = from->string_at("snapshot");
    to.snapshot_max_age = startup_number(*from, "snapshot_age_s", default_snapshot_max_age, 1, 1e9);
}

std::uint32_t read_seed(const json &all) {
    std::uint64_t seed = 1;
    if (const auto digits = all.string_at("seed"); !digits.empty()) {
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
        if (error != std::errc{} || end != digits.data() + digits.size())
            throw parse_error{"the seed is no hexadecimal number"};
    }
    return static_cast<std::uint32_t>(seed % seed_modulus);
}

// What is no setting of the deployment: name, addresses, seed, limits of the process, the known list.
void read_process_fields(const json &all, configuration &to) {
    to.name = all.string_at("name");
    to.listen = required_string(all, "listen", "the configuration has no address to listen on");
    to.discovery = required_string(all, "discovery", "the configuration has no address of discovery");
    to.control = all.string_at("control");
    if (const char *control = std::getenv("BALANCER_CONTROL"); to.control.empty() && control != nullptr)
        to.control = control;
    to.seed = read_seed(all);
    if (const json *limits = all.find("limits")) {
        to.memory_mb = std::clamp(limits->number_at("memory_mb", to.memory_mb), 32.0, 1e6);
        to.max_descriptors =
            static_cast<index>(std::clamp(limits->number_at("sockets", to.max_descriptors), 64.0, 1e5));
    }
    if (const json *known = all.find("known"))
        to.known_endpoints = *known;
}

// How often the list service is polled, and how long a poll may take.
void set_poll_timeouts(const field_reader &settings, configuration &to) {
    to.poll.max_poll_interval = to.router.constraints.max_poll_interval;
    to.poll.agent_watch_timeout = watch_timeout;
    to.poll.agent_response_timeout = response_timeout;
    if (to.poll.service != discovery::list_service_kind::agent)
        return;
    auto &poll_interval = to.router.constraints.max_poll_interval;
    poll_interval = std::min(poll_interval, max_agent_backoff);
    if (settings.text("discovery") == "subscribe")
        return;
    // A change counts as known once the agent beside the proxy has it. So a silent agent is polled again well
    // within a drain's grace.
    const double timeout =
        std::clamp(settings.seconds("rules.drainGraceMs", default_drain_grace) * agent_grace_share,
                   min_agent_timeout, max_agent_timeout);
    poll_interval = std::min(poll_interval, timeout);
    to.poll.agent_response_timeout = timeout;
    to.poll.agent_watch_timeout = agent_watch_timeout;
}

// The lists of names, and what refers to them. Throws where the own zone or the origin's kind is in none.
void read_names(const json &settings, const field_reader &fields, configuration &to) {
    to.request_classes = names_in(settings, "useCases", "name");
    to.tenants = names_in(settings, "tenants", "name");
    to.zones = names_in(settings, "zones", "name");
    to.kinds = names_in(settings, "shapes", "name");
    if (to.router.local_zone != none && !to.zones.empty() && to.router.local_zone.value() >= to.zones.size())
        throw parse_error{"settings.locality is none of settings.zones"};
    if (fields.text("familyInfo.mode") == "aside" && to.router.origin_kind.value() >= to.kinds.size())
        throw parse_error{"settings.familyInfo.originKind is none of settings.shapes"};
    for (index i = 0; i < to.request_classes.size(); ++i)
        to.request_timeouts.push_back(
            fields.seconds("useCases." + std::to_string(i) + ".statementTimeoutMs", 1));
}

} // namespace

configuration read_configuration(std::string_view text) {
    const json all = read_json(text);
    const json *settings = all.find("settings");
    if (settings == nullptr || settings->type != json::kind::object)
        throw parse_error{"the configuration has no settings"};
    configuration result;
    read_process_fields(all, result);
    field_reader fields;
    flatten(*settings, "", fields);
    result.router = read_router_settings(fields);
    // A proxy on sockets polls for the list, also where the simulator announces it.
    result.router.constraints.watch_required = true;
    read_startup(all, result);
    set_poll_timeouts(fields, result);
    read_names(*settings, fields, result);
    result.connect_timeout =
        std::clamp(fields.seconds("limits.dialTimeoutMs", result.connect_timeout), 0.001, 60.0);
    result.upstream_idle_timeout =
        std::clamp(fields.seconds("limits.connIdleMs", result.upstream_idle_timeout), 0.001, 3600.0);
    return result;
}

index index_of_name(const std::vector<std::string> &names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? none : static_cast<index>(found - names.begin());
}

} // namespace harrierpass::proxy
