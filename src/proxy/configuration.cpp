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

// Share of the drain grace period: the limit of an agent's response time and of the backoff.
constexpr double agent_grace_share = 0.25;
constexpr double min_agent_timeout = 0.1;   // s
constexpr double max_agent_timeout = 1;     // s
constexpr double default_drain_grace = 2;   // s
constexpr double agent_watch_timeout = 1;   // s; for an agent, where polls cost nothing
constexpr double default_watch_timeout = 5; // s; in all other cases
constexpr double response_timeout = 0.7;    // s; added to the timeout of the watch
// s; the longest backoff, before jitter, after a failed poll of an agent. A change must be known 6 s after
// the service had it. A poll started just before the change, this backoff and a second poll fit into these 6
// s (docs/crossings.md).
constexpr double max_agent_backoff = 1.5;
constexpr double default_snapshot_max_age = 86400; // s
constexpr double max_snapshots_per_second = 1e6;
constexpr std::uint64_t seed_modulus = 2147483647; // modulus of std::minstd_rand

// Stores the values of a JSON document under their paths, as read_router_settings() expects them. The length
// of a list is stored under "path.count".
void flatten(const json &value, const std::string &path, field_reader &fields) {
    const std::string prefix = path.empty() ? "" : path + ".";
    if (value.type == json::kind::object) {
        for (const auto &[name, member] : value.members)
            flatten(member, prefix + name, fields);
    } else if (value.type == json::kind::array) {
        fields.set(prefix + "count", std::to_string(value.items.size()));
        for (std::size_t i = 0; i < value.items.size(); ++i)
            flatten(value.items[i], prefix + std::to_string(i), fields);
    } else if (value.type != json::kind::null) {
        fields.set(path, value.text);
    }
}

std::vector<std::string> names_in(const json &object, std::string_view list, std::string_view field) {
    std::vector<std::string> names;
    if (const json *entries = object.find(list))
        for (const auto &entry : entries->items)
            names.emplace_back(entry.type == json::kind::object ? entry.string_at(field) : entry.text);
    return names;
}

// Throws parse_error with `message` if the field is missing or empty.
std::string required_string(const json &object, std::string_view name, const char *message) {
    const auto text = object.string_at(name);
    if (text.empty())
        throw parse_error{message};
    return std::string(text);
}

double startup_number(const json &startup, std::string_view name, double default_value, double min,
                      double max) {
    const double value = startup.number_at(name, default_value);
    if (!(value >= min && value <= max)) {
        std::ostringstream message;
        message << "startup." << name << " is " << value << "; it must be between " << min << " and " << max;
        throw parse_error{message.str()};
    }
    return value;
}

// Reads the optional `startup` object: how the list service is polled, and the snapshot file.
void read_startup(const json &document, configuration &result) {
    result.poll.proxy_count = result.router.proxy_count;
    const json *startup = document.find("startup");
    if (startup == nullptr)
        return;
    if (startup->type != json::kind::object)
        throw parse_error{"startup is not an object"};
    static constexpr std::array known_fields = {"list_service", "lists_per_s", "snapshot", "snapshot_age_s"};
    for (const auto &[name, value] : startup->members)
        if (std::find(known_fields.begin(), known_fields.end(), name) == known_fields.end())
            throw parse_error{"unknown field startup." + name};
    const auto service = startup->string_at("list_service");
    if (!service.empty() && service != "agent" && service != "shared")
        throw parse_error{"startup.list_service is '" + std::string(service) +
                          "'; it must be agent or shared"};
    result.poll.service =
        service == "shared" ? discovery::list_service_kind::shared : discovery::list_service_kind::agent;
    result.poll.snapshots_per_second = startup_number(
        *startup, "lists_per_s", result.poll.snapshots_per_second, 0.01, max_snapshots_per_second);
    result.snapshot_path = startup->string_at("snapshot");
    result.snapshot_max_age = startup_number(*startup, "snapshot_age_s", default_snapshot_max_age, 1, 1e9);
}

std::uint32_t read_seed(const json &document) {
    std::uint64_t seed = 1;
    if (const auto digits = document.string_at("seed"); !digits.empty()) {
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
        if (error != std::errc{} || end != digits.data() + digits.size())
            throw parse_error{"the seed is not a hexadecimal number"};
    }
    return static_cast<std::uint32_t>(seed % seed_modulus);
}

// Reads the fields that are not settings of the deployment: name, addresses, seed, limits of the process, and
// the known endpoint list.
void read_process_fields(const json &document, configuration &result) {
    result.name = document.string_at("name");
    result.listen_address = required_string(document, "listen", "the configuration has no listen address");
    result.discovery_address =
        required_string(document, "discovery", "the configuration has no address of the discovery service");
    result.control_address = document.string_at("control");
    if (const char *control = std::getenv("BALANCER_CONTROL");
        result.control_address.empty() && control != nullptr)
        result.control_address = control;
    result.seed = read_seed(document);
    if (const json *limits = document.find("limits")) {
        result.memory_mb = std::clamp(limits->number_at("memory_mb", result.memory_mb), 32.0, 1e6);
        result.max_descriptors =
            static_cast<index>(std::clamp(limits->number_at("sockets", result.max_descriptors), 64.0, 1e5));
    }
    if (const json *known = document.find("known"))
        result.known_endpoints = *known;
}

// Sets how often the list service is polled, and how long a poll may take.
void set_poll_timeouts(const field_reader &settings, configuration &result) {
    result.poll.max_poll_interval = result.router.constraints.max_poll_interval;
    result.poll.agent_watch_timeout = default_watch_timeout;
    result.poll.agent_response_timeout = response_timeout;
    if (result.poll.service != discovery::list_service_kind::agent)
        return;
    auto &poll_interval = result.router.constraints.max_poll_interval;
    poll_interval = std::min(poll_interval, max_agent_backoff);
    if (settings.text("discovery") == "subscribe")
        return;
    // A change counts as known once the agent next to the proxy has it. So an agent that does not respond is
    // polled again well within the drain grace period.
    const double timeout =
        std::clamp(settings.seconds("rules.drainGraceMs", default_drain_grace) * agent_grace_share,
                   min_agent_timeout, max_agent_timeout);
    poll_interval = std::min(poll_interval, timeout);
    result.poll.agent_response_timeout = timeout;
    result.poll.agent_watch_timeout = agent_watch_timeout;
}

// Reads the lists of names and the request timeouts. Throws parse_error if the local zone or the origin's
// kind is not in its list.
void read_names(const json &settings, const field_reader &fields, configuration &result) {
    result.request_classes = names_in(settings, "useCases", "name");
    result.tenants = names_in(settings, "tenants", "name");
    result.zones = names_in(settings, "zones", "name");
    result.kinds = names_in(settings, "shapes", "name");
    if (result.router.local_zone != none && !result.zones.empty() &&
        result.router.local_zone.value() >= result.zones.size())
        throw parse_error{"settings.locality is none of settings.zones"};
    if (fields.text("familyInfo.mode") == "aside" && result.router.origin_kind.value() >= result.kinds.size())
        throw parse_error{"settings.familyInfo.originKind is none of settings.shapes"};
    for (index i = 0; i < result.request_classes.size(); ++i)
        result.request_timeouts.push_back(
            fields.seconds("useCases." + std::to_string(i) + ".statementTimeoutMs", 1));
}

} // namespace

configuration read_configuration(std::string_view text) {
    const json document = read_json(text);
    const json *settings = document.find("settings");
    if (settings == nullptr || settings->type != json::kind::object)
        throw parse_error{"the configuration has no settings"};
    configuration result;
    read_process_fields(document, result);
    field_reader fields;
    flatten(*settings, "", fields);
    result.router = read_router_settings(fields);
    // A proxy on sockets always polls for the list, even where the simulator announces changes.
    result.router.constraints.watch_required = true;
    read_startup(document, result);
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
