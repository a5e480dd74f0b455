// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/fault_reader.hpp"

#include "testbed/model/experiment_limits.hpp"
#include "testbed/model/experiment_names.hpp"
#include "testbed/model/random.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace harrierpass::testbed {
namespace {

// Seeds of the choice of servers and proxies by share: constants, so that every seed of the experiment has
// the same choice.
constexpr std::uint32_t first_fault_seed = 101, first_link_fault_seed = 501;
constexpr index max_steps = 1000;

using zone_function = index (*)(const experiment &, index);

// Adds the numbers below `count` that belong to the zone.
void add_zone(const toml_section &section, const std::string &key, const std::string &zone,
              const experiment &settings, index count, zone_function zone_by_number,
              std::vector<index> &numbers) {
    if (zone.empty())
        return;
    const auto &zones = settings.fleet.zones;
    const auto position = std::find(zones.begin(), zones.end(), zone) - zones.begin();
    if (position == static_cast<std::ptrdiff_t>(zones.size()))
        section.refuse_key(key, "names none of the fleet's zones");
    for (index i = 0; i < count; ++i)
        if (zone_by_number(settings, i) == static_cast<index>(position))
            numbers.push_back(i);
}

// Adds a random share of the numbers below `count`, in ascending order.
void add_share(toml_section &section, const std::string &key, index count, std::uint32_t seed,
               std::vector<index> &numbers) {
    double share = 0;
    section.number(key, share, 0, 1);
    std::vector<index> all(count);
    std::iota(all.begin(), all.end(), 0);
    random_generator order(seed);
    for (index i = count; i > 1; --i)
        std::swap(all[i - 1], all[order.below(i)]);
    all.resize(static_cast<std::size_t>(std::llround(share * count)));
    std::sort(all.begin(), all.end());
    numbers.insert(numbers.end(), all.begin(), all.end());
}

// Reads `servers`, `zone`, `server_share` and the same for proxies.
void read_ends(toml_section &section, const experiment &settings, std::uint32_t seed,
               std::vector<index> &proxies, std::vector<index> &servers) {
    section.numbers("servers", servers, max_server_count);
    section.numbers("proxies", proxies, settings.proxies.count);
    std::string zone, proxy_zone;
    section.text("zone", zone);
    add_zone(section, "zone", zone, settings, settings.fleet.servers, zone_of, servers);
    section.text("proxy_zone", proxy_zone);
    add_zone(section, "proxy_zone", proxy_zone, settings, settings.proxies.count, zone_of_proxy, proxies);
    add_share(section, "server_share", settings.fleet.servers, seed, servers);
    add_share(section, "proxy_share", settings.proxies.count, seed + 1, proxies);
}

void read_times(toml_section &section, const char *subject, double &at, double &lasts, double &every) {
    if (!section.has("kind") || !section.has("at"))
        section.refuse(nullptr, std::string(subject) + " needs kind and at");
    section.seconds("at", at, 0, max_run_time);
    section.seconds("for", lasts, 0, max_run_time);
    section.seconds("every", every, 0, max_run_time);
    if (every > 0 && (lasts <= 0 || every < lasts))
        section.refuse_key("every", "needs a shorter `for`");
}

// Adds the fault, divided into `steps` faults over `over` seconds.
void add_steps(const fault_settings &fault, index steps, double over, experiment &target) {
    if (steps == 1) {
        target.faults.push_back(fault);
        return;
    }
    const auto &targets = fault.servers.empty() ? fault.proxies : fault.servers;
    const auto count = static_cast<index>(targets.size());
    for (index i = 0; i < steps; ++i) {
        fault_settings step = fault;
        auto &step_targets = fault.servers.empty() ? step.proxies : step.servers;
        step_targets.assign(targets.begin() + i * count / steps, targets.begin() + (i + 1) * count / steps);
        step.at = fault.at + over * i / steps;
        if (!step_targets.empty())
            target.faults.push_back(std::move(step));
    }
}

void read_hosts(toml_section &section, const experiment &settings, fault_settings &fault) {
    section.numbers("hosts", fault.hosts, std::max<double>(1, settings.fleet.hosts));
    for (const index host : fault.hosts)
        for (index server = 0; server < settings.fleet.servers; ++server)
            if (host_of(settings, server) == host)
                fault.servers.push_back(server);
}

void read_use_case_and_tenant(toml_section &section, const experiment &settings, fault_settings &fault) {
    std::string use_case, tenant;
    section.text("use_case", use_case);
    for (index i = 0; i < settings.use_cases.size(); ++i)
        fault.use_case = settings.use_cases[i].name == use_case ? i : fault.use_case;
    if (!use_case.empty() && fault.use_case == none)
        section.refuse_key("use_case", "names no use case");
    section.text("tenant", tenant);
    for (index i = 0; i < settings.tenants.size(); ++i)
        fault.tenant = settings.tenants[i].name == tenant ? i : fault.tenant;
    if (!tenant.empty() && fault.tenant == none)
        section.refuse_key("tenant", "names no tenant");
}

void read_joining_servers(toml_section &section, const experiment &settings, fault_settings &fault) {
    double share = 0;
    section.number("join_share", share, 0, 10);
    for (index i = 0; i < std::llround(share * settings.fleet.servers); ++i)
        fault.servers.push_back(settings.fleet.servers + i);
    const bool joins = fault.kind == fault_kind::join;
    for (const index server : fault.servers)
        if (joins == (server < settings.fleet.servers))
            section.refuse_key("servers", joins ? "join with numbers from the fleet's size on"
                                                : "names a server that the fleet does not have");
}

void check_fault(const toml_section &section, const fault_settings &fault) {
    const std::string name = name_of(fault.kind);
    if (fault.kind <= fault_kind::flap && fault.servers.empty())
        section.refuse(nullptr, name + " needs servers or zone");
    if (fault.kind == fault_kind::flood && fault.tenant == none)
        section.refuse(nullptr, "flood needs a tenant");
    if (name.starts_with("proxy_") && fault.proxies.empty())
        section.refuse(nullptr, name + " needs proxies");
    if (name.starts_with("host_") && fault.hosts.empty())
        section.refuse(nullptr, name + " needs hosts, and [fleet] hosts says how many there are");
}

void read_steps(toml_section &section, const fault_settings &fault, experiment &target) {
    index steps = 1;
    double over = 0;
    section.whole_number("steps", steps, 1, max_steps);
    section.seconds("over", over, 0, max_run_time);
    if ((steps > 1) != (over > 0))
        section.refuse(nullptr, "steps and over go together");
    if (steps > 1 && fault.servers.empty() && fault.proxies.empty())
        section.refuse(nullptr, "steps need servers or proxies to go over");
    add_steps(fault, steps, over, target);
}

void read_link_kinds(toml_section &section, link_fault_settings &fault) {
    if (!section.has("between"))
        return;
    std::vector<std::string> names;
    section.texts("between", names);
    for (const auto &name : names) {
        const auto known = std::find_if(link_names.begin(), link_names.end(),
                                        [&](const auto &each) { return name == each.first; });
        if (known == link_names.end())
            section.refuse_key("between", "holds \"" + name +
                                              "\"; known values: client-proxy, proxy-server, proxy-list, "
                                              "proxy-proxy");
        fault.between.push_back(known->second);
    }
}

link_directions read_directions(toml_section &section, link_fault_settings &fault) {
    link_directions directions =
        fault.kind == link_fault_kind::one_way ? link_directions::to_near_end : link_directions::both;
    section.one_of("direction", link_direction_names, directions);
    fault.to_far_end = directions != link_directions::to_near_end;
    fault.to_near_end = directions != link_directions::to_far_end;
    return directions;
}

void read_link_effects(toml_section &section, link_fault_settings &fault) {
    section.flag("list", fault.list);
    section.flag("clients", fault.clients);
    section.seconds("delay", fault.delay, 0, 60);
    section.seconds("jitter", fault.jitter, 0, 60);
    section.number("pace", fault.bytes_per_second, 0, 1e12);
    section.number("lost", fault.loss_share, 0, 1);
    section.number("doubled", fault.duplicate_share, 0, 1);
    section.number("reordered", fault.reorder_share, 0, 1);
}

void check_link_fault(const toml_section &section, const link_fault_settings &fault,
                      link_directions directions) {
    const auto refuse = [&](const char *reason) {
        section.refuse(nullptr, std::string(name_of(fault.kind)) + reason);
    };
    const bool slows = fault.delay + fault.jitter + fault.bytes_per_second > 0;
    const bool changes_datagrams = fault.loss_share + fault.duplicate_share + fault.reorder_share > 0;
    if (fault.kind == link_fault_kind::one_way && directions == link_directions::both)
        refuse(" is there or back; both is drop");
    if (fault.kind == link_fault_kind::slow && !slows)
        refuse(" needs delay, jitter or pace");
    if (fault.kind == link_fault_kind::datagrams && !changes_datagrams)
        refuse(" needs lost, doubled or reordered");
    if ((slows && fault.kind != link_fault_kind::slow && fault.kind != link_fault_kind::datagrams) ||
        (changes_datagrams && fault.kind != link_fault_kind::datagrams))
        refuse(" does not support delay, jitter, pace, lost, doubled or reordered");
    if (fault.kind == link_fault_kind::partition && fault.proxies.empty() && fault.servers.empty())
        refuse(" needs a group: proxies, servers or zones");
    if (fault.kind != link_fault_kind::partition && (fault.list || fault.clients))
        refuse(" has no group that the list is in or clients are cut off from");
    if (fault.lasts <= 0)
        refuse(" needs `for`");
}

} // namespace

void read_fault(toml_section &section, experiment &target) {
    fault_settings fault;
    section.one_of("kind", fault_names, fault.kind);
    read_times(section, "a fault", fault.at, fault.lasts, fault.every);
    section.number("factor", fault.factor, 0, 10000);
    const std::uint32_t seed = first_fault_seed + 2 * static_cast<std::uint32_t>(target.faults.size());
    read_ends(section, target, seed, fault.proxies, fault.servers);
    read_hosts(section, target, fault);
    read_use_case_and_tenant(section, target, fault);
    read_joining_servers(section, target, fault);
    check_fault(section, fault);
    read_steps(section, fault, target);
}

void read_link_fault(toml_section &section, experiment &target) {
    link_fault_settings fault;
    section.one_of("kind", link_fault_names, fault.kind);
    read_times(section, "a link", fault.at, fault.lasts, fault.every);
    read_link_kinds(section, fault);
    const std::uint32_t seed =
        first_link_fault_seed + 2 * static_cast<std::uint32_t>(target.link_faults.size());
    read_ends(section, target, seed, fault.proxies, fault.servers);
    section.number("share", fault.share, 0, 1);
    const link_directions directions = read_directions(section, fault);
    read_link_effects(section, fault);
    check_link_fault(section, fault, directions);
    target.link_faults.push_back(std::move(fault));
}

} // namespace harrierpass::testbed
