// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/fleet_ports.hpp"

#include "testbed/model/ids.hpp"
#include "testbed/processes/answers.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace harrierpass::testbed {
namespace {

constexpr std::uint32_t part_net = 0x7f780000; // 127.120.0.0 and on: servers and lists in processes
constexpr double judge_period = 0.05;          // s between looks at what can be judged
constexpr std::size_t spare = 200;             // descriptors for the rest of this process

address part_address(index number, int port) {
    return ipv4(part_net + (static_cast<std::uint32_t>(::getpid() % 64) << 16) + number + 1, port);
}

part_message about(const member_list::member &what, part_message::kind as) {
    part_message made;
    made.is = as;
    made.small = static_cast<std::uint8_t>(what.state);
    made.a = what.server;
    made.x = what.started;
    made.number = what.revision;
    return made;
}

} // namespace

fleet_ports::fleet_ports(loop &in, run_environment &of, const fleet_places &where, const part_options &parts)
    : loop_(in), stage_(of), folder_(parts.folder) {
    const bool processes = !parts.self.empty();
    const bool serves_here = !processes || of.settings.fleet.hosts == 0;
    const bool lists_here = !processes || !of.settings.list.own_process;
    const index count = of.servers.size() + (of.settings.fleet.cache_aside ? 1 : 0);
    // Parts are at addresses of their own, under one port that is free at this moment: what is dialled from
    // here cannot take a place that a killed part comes back to.
    const tcp_socket free = must_listen(part_address(60000, 0));
    const int port = port_of(local_address(free));
    where_ = [this](index proxy, index server) {
        const auto link = server_links_.find({proxy, server});
        return link == server_links_.end() ? hosts_.at(server) : link->second;
    };
    for (index i = 0; i < count; ++i) {
        if (!serves_here) {
            hosts_.push_back(to_text(part_address(i, port)));
            continue;
        }
        servers_.push_back(std::make_unique<server_port>(
            in, of.servers, i,
            loopback(where.first_server > 0 ? where.first_server + static_cast<int>(i) : 0)));
        servers_.back()->on_connection = [this](index server, bool begins) { connection(server, begins); };
        hosts_.push_back(servers_.back()->at());
    }
    hosts_.resize(of.servers.size() + 1);
    for (index i = 0; i < of.settings.proxies.count; ++i) {
        if (!lists_here) {
            list_addresses_.push_back(part_address(of.servers.size() + 1 + i, port));
            continue;
        }
        lists_.push_back(std::make_unique<list_port>(
            in, of.settings, of.list, of.service, of.event_observer, i,
            loopback(where.first_list > 0 ? where.first_list + static_cast<int>(i) : 0), where_));
        lists_.back()->on_call = [this](list_call as, std::size_t bytes) {
            stage_.metrics.called(as, bytes);
        };
        list_addresses_.push_back(*parse_address(lists_.back()->at()));
    }
    of.list.on_change = [this](const membership::member &) { stage_.service.changed(); };
    killed_.resize(of.settings.fleet.hosts + 1);
    stopped_.resize(of.settings.fleet.hosts + 1);
    of.on_list_stop = [this](bool begins) { on_list(false, begins); };
    of.on_list_kill = [this](bool begins) { on_list(true, begins); };
    make_links();
    if (processes)
        make_parts(parts);
}

fleet_ports::~fleet_ports() {
    stage_.on_model = {};
    stage_.on_link = {};
}

// ---- Links

void fleet_ports::make_links() {
    if (stage_.settings.proxies.may_exchange_datagrams) {
        for (index i = 0; i < stage_.settings.proxies.count; ++i) {
            // Its port is any that is free now; nobody else in the run binds at this address.
            const tcp_socket probe(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
            const address at = part_address(61000 + i, 0);
            if (!probe || ::bind(probe.get(), reinterpret_cast<const sockaddr *>(&at.where), at.size) != 0)
                throw std::system_error(errno, std::generic_category(), "no address for a proxy's datagrams");
            peers_.push_back(local_address(probe));
        }
        datagrams_ = std::make_unique<datagram_relay>(loop_, stage_.links, peers_, 41);
    }
    relay_ = std::make_unique<relay>(loop_, stage_.links, 43);
    for (const auto &each : stage_.links.all()) {
        if (each.kind == link_kind::proxy_server)
            server_links_[{each.near, each.far}] =
                to_text(relay_->open(each, *parse_address(hosts_.at(each.far))));
        else if (each.kind == link_kind::proxy_list)
            list_links_[each.near] = to_text(relay_->open(each, list_addresses_.at(each.near)));
    }
    stage_.on_link = [this](const link_id &which, const link_now &before, const link_now &now) {
        relay_->changed(which, before, now);
    };
    stage_.on_model = [this](const fault_settings &fault, index server, bool begins) {
        const bool as_a_host = fault.kind == fault_kind::host_kill || fault.kind == fault_kind::host_stop;
        const index host = host_of(stage_.settings, server);
        if (host < hosts_parts_.size() && !as_a_host) {
            part_message made;
            made.is = part_message::kind::fault;
            made.small = static_cast<std::uint8_t>(fault.kind);
            made.flag = begins;
            made.a = server;
            made.b = fault.use_case;
            made.x = fault.factor;
            hosts_parts_[host]->send(made);
        }
        if (!as_a_host || begins)
            follow(server);
    };
    for (index i = 0; i < stage_.servers.size(); ++i)
        follow(i);
}

// A relay cannot refuse or be silent by itself as a far end is: the listener before it does what that would.
void fleet_ports::follow(index server) {
    const auto &of = stage_.servers.at(server);
    relay_->far_end(link_kind::proxy_server, server,
                    of.silent() ? far_state::silent
                    : of.up()   ? far_state::up
                                : far_state::refuses);
}

std::string fleet_ports::list_at(index proxy) const {
    const auto link = list_links_.find(proxy);
    return link == list_links_.end() ? to_text(list_addresses_.at(proxy)) : link->second;
}

address fleet_ports::proxy_at(index proxy, const address &itself) {
    const link_id which{link_kind::client_proxy, 0, proxy};
    if (!stage_.links.names(which))
        return itself;
    const auto known = proxy_links_.find(proxy);
    if (known == proxy_links_.end())
        return proxy_links_[proxy] = relay_->open(which, itself);
    relay_->move(which, itself);
    return known->second;
}

std::size_t fleet_ports::descriptors(const experiment &given, std::size_t links) {
    // A listener and some connections of both sides a link; a pipe, a list and kept connections a proxy.
    return spare + links * 6 + std::size_t{given.proxies.count} * 24 + std::size_t{given.fleet.servers} * 24;
}

// ---- Parts

std::string fleet_ports::setup(const std::string &role, index host, bool cold) const {
    nlohmann::json made = {{"role", role},
                           {"experiment", folder_ + "/experiment.toml"},
                           {"offset", loop_.offset()},
                           {"seed", 1000 + host},
                           {"host", host},
                           {"cold", cold},
                           {"addresses", hosts_},
                           {"lists", nlohmann::json::array()},
                           {"links", nlohmann::json::array()}};
    for (const auto &each : list_addresses_)
        made["lists"].push_back(to_text(each));
    for (const auto &[pair, at] : server_links_)
        made["links"].push_back({pair.first, pair.second, at});
    return made.dump();
}

void fleet_ports::write_setup(const std::string &name, const std::string &text) const {
    std::ofstream(folder_ + "/" + name + ".json") << text;
}

void fleet_ports::make_parts(const part_options &parts) {
    if (stage_.settings.fleet.hosts == 0 && !stage_.settings.list.own_process)
        return;
    std::ofstream(folder_ + "/experiment.toml") << stage_.settings.merged_text;
    const auto made = [&](const std::string &name, const std::string &text) {
        write_setup(name, text);
        auto part = std::make_unique<part_process>(
            loop_, stage_.events,
            std::vector<std::string>{parts.self, "part", folder_ + "/" + name + ".json"},
            folder_ + "/" + name + ".log");
        part->on_death = [this] { ++deaths_; };
        return part;
    };
    for (index host = 0; host < stage_.settings.fleet.hosts; ++host) {
        hosts_parts_.push_back(made("servers" + std::to_string(host), setup("servers", host, false)));
        serve(*hosts_parts_.back(), host);
        hosts_parts_.back()->start();
    }
    stage_.on_host = [this](index host, fault_kind kind, bool begins) { on_host(host, kind, begins); };
    if (stage_.settings.fleet.hosts > 0)
        stage_.servers.on_wrote = [this](std::uint64_t key) {
            part_message told;
            told.is = part_message::kind::void_copy;
            told.key = key;
            for (const auto &each : hosts_parts_)
                each->send(told);
        };
    if (stage_.settings.list.own_process) {
        list_part_ = made("list", setup("list", 0, false));
        list_part_->on_message = [this](const part_message &what) {
            if (what.is == part_message::kind::call)
                stage_.metrics.called(static_cast<list_call>(what.small), what.number);
        };
        stage_.list.on_change = [this](const membership::member &what) {
            list_part_->send(about(what, part_message::kind::publish));
        };
        list_part_->start();
        tell_list();
    }
    const auto again = [this](const auto &self) -> void {
        stage_.events.heard(stage_.own_events, loop_.clock.now());
        stage_.events.judge();
        loop_.clock.after(judge_period, [self] { self(self); });
    };
    again(again);
}

void fleet_ports::connection(index server, bool begins) {
    if (!begins)
        return stage_.metrics.closed(server);
    stage_.metrics.dialled(server, true);
    stage_.metrics.opened(server);
}

// What the origin and its marks are to all servers is here, wherever they are.
void fleet_ports::serve(part_process &part, index host) {
    part.on_message = [this, &part](const part_message &what) {
        part_message made;
        made.number = what.number;
        if (what.is == part_message::kind::fetch)
            return stage_.servers.source().fetch([&part, made](bool there) mutable {
                made.is = part_message::kind::fetched;
                made.flag = there;
                part.send(made);
            });
        if (what.is == part_message::kind::write) {
            const job asked{what.event.op, what.event.a, what.event.b, true, what.flag != 0, what.key, none};
            return stage_.servers.write(asked, what.a, [&part, made](bool seen, bool there) mutable {
                made.is = part_message::kind::written;
                made.flag = seen;
                made.flag2 = there;
                part.send(made);
            });
        }
        if (what.is == part_message::kind::connection)
            return connection(what.a, what.flag != 0);
        if (what.is == part_message::kind::event && what.event.is == seen::kind::fell) {
            stage_.servers.at(what.event.a).fall();
            follow(what.event.a);
        }
    };
    part.on_ready = [this, &part, host] {
        for (index i = 0; i < stage_.servers.size(); ++i) {
            if (host_of(stage_.settings, i) != host)
                continue;
            // What the script has made of it meanwhile: a new process knows nothing of it.
            const bool up = stage_.servers.at(i).up(), from_start = i < stage_.settings.fleet.servers;
            if (up != from_start) {
                part_message made;
                made.is = part_message::kind::fault;
                made.small = static_cast<std::uint8_t>(up ? fault_kind::join : fault_kind::crash);
                made.flag = 1;
                made.a = i;
                part.send(made);
            }
            follow(i);
        }
    };
}

void fleet_ports::on_host(index host, fault_kind kind, bool begins) {
    auto &part = *hosts_parts_.at(host);
    if (kind == fault_kind::host_stop) {
        stopped_[host] += begins ? 1 : static_cast<index>(-1);
        return part.stop(stopped_[host] > 0);
    }
    if (begins && killed_[host]++ == 0) {
        const double before = loop_.exact();
        part.kill();
        // Later than all that it had written, and earlier than what anybody does for its death.
        seen died;
        died.is = seen::kind::died;
        died.when = std::max(before, part.last()) + 1e-7;
        for (index i = 0; i < stage_.servers.size(); ++i)
            if (host_of(stage_.settings, i) == host) {
                died.a = i;
                stage_.events.put(stage_.own_events, died);
            }
    } else if (!begins && --killed_[host] == 0) {
        write_setup("servers" + std::to_string(host), setup("servers", host, true));
        part.start();
    }
}

void fleet_ports::tell_list() {
    for (const auto &each : stage_.list.all())
        list_part_->send(about(each, part_message::kind::load));
}

// In one loop with the rest, a list service that is killed or stopped is silent; as a process it is the real
// thing.
void fleet_ports::on_list(bool kills, bool begins) {
    if (!list_part_)
        return stage_.list.silent(begins);
    auto &held = kills ? killed_.back() : stopped_.back();
    held += begins ? 1 : static_cast<index>(-1);
    if (!kills)
        return list_part_->stop(held > 0);
    if (begins && held == 1) {
        list_part_->kill();
    } else if (!begins && held == 0) {
        list_part_->start();
        tell_list();
    }
}

bool fleet_ports::ready() const {
    return std::all_of(hosts_parts_.begin(), hosts_parts_.end(),
                       [](const auto &each) { return each->ready(); }) &&
           (!list_part_ || list_part_->ready() || killed_.back() > 0);
}

void fleet_ports::end() {
    for (const auto &each : hosts_parts_)
        each->end();
    if (list_part_)
        list_part_->end();
}

bool fleet_ports::ended() const {
    return std::none_of(hosts_parts_.begin(), hosts_parts_.end(),
                        [](const auto &each) { return each->runs(); }) &&
           !(list_part_ && list_part_->runs());
}

std::string fleet_ports::configuration(index proxy, const std::string &listen, std::uint32_t seed) const {
    static constexpr std::array<const char *, 3> effects = {"idempotent", "deduplicated", "at_most_once"};
    static constexpr std::array<const char *, 3> groups = {"all", "zone", "cell"};
    const auto &given = stage_.settings;
    using nlohmann::json;
    json uses = json::array(), tenants = json::array();
    for (const auto &each : given.use_cases)
        uses.push_back({{"name", each.name},
                        {"effect", effects[static_cast<std::size_t>(each.routing.effect)]},
                        {"group", groups[static_cast<std::size_t>(each.routing.scope)]},
                        {"windowMs", each.routing.deduplication_window * 1000},
                        {"sloTimeMs", each.routing.latency_objective * 1000},
                        {"statementTimeoutMs", each.timeout * 1000},
                        {"importance", each.routing.priority_weight},
                        {"tardyImportance", each.routing.late_value_share}});
    for (const auto &each : given.tenants)
        tenants.push_back({{"name", each.name}, {"quotaRps", each.quota_rps}});
    std::ostringstream hexadecimal;
    hexadecimal << std::hex << seed;
    json made = {
        {"name", "p" + std::to_string(proxy)},
        {"listen", listen},
        {"discovery", list_at(proxy)},
        {"seed", hexadecimal.str()},
        {"limits",
         {{"cores", 1.0}, {"memory_mb", given.proxies.memory_mb}, {"sockets", given.proxies.sockets}}},
        {"settings",
         {{"peersTotal", given.proxies.count},
          {"me", proxy},
          {"tickMs", 5},
          {"locality", zone_of_proxy(given, proxy)},
          {"zones", given.fleet.zones},
          {"shapes", {"cache", "origin"}},
          {"weights", "nominal"},
          {"limits",
           {{"cancel", given.proxies.may_cancel},
            {"probes", given.proxies.may_check_health},
            {"retryAfter", given.proxies.max_retry_after > 0},
            {"maxRetryAfterMs", given.proxies.max_retry_after * 1000},
            {"maxExecutions", given.proxies.max_attempts},
            {"secondCopies", false},
            {"dialTimeoutMs", given.network.connect_timeout * 1000},
            {"connIdleMs", given.fleet.idle_timeout * 1000}}},
          {"rules",
           {{"startCapacity", given.warm_up.routing.initial_capacity_share},
            {"coldMs", given.warm_up.routing.warm_up_time * 1000},
            {"drainGraceMs", given.list.drain_grace * 1000},
            {"mustAskInMs", 10000}}},
          {"fees",
           {{"crossZone", 0.0}, {"origin", given.costs.origin}, {"handshake", given.costs.handshake}}},
          {"excessImportance", given.proxies.over_quota_weight_share},
          {"tenants", tenants},
          {"useCases", uses}}}};
    if (given.proxies.may_exchange_datagrams) {
        made["peer_listen"] = to_text(peers_.at(proxy));
        for (index other = 0; other < given.proxies.count; ++other)
            made["peers"].push_back(to_text(datagrams_->as_seen(proxy, other)));
        made["peers_all"] = to_text(datagrams_->all_as_seen(proxy));
    }
    if (given.proxies.initial_list != initial_list_kind::none) {
        const bool old = starts_with_stale_list(given, proxy);
        json members = json::array();
        for (const auto &each : stage_.list.initial_members_of(given, proxy))
            members.push_back(json::parse(list_port::entry(given, each, each.server == stage_.servers.size(),
                                                           where_(proxy, each.server))));
        made["known"] = {
            {"revision", old ? 0 : stage_.list.revision()}, {"complete", true}, {"members", members}};
    }
    if (given.proxies.shared_list)
        made["startup"] = {{"list_service", "shared"},
                           {"lists_per_s", list_poll_settings(given).snapshots_per_second}};
    if (given.proxies.snapshots)
        made["startup"]["snapshot"] = folder_ + "/p" + std::to_string(proxy) + ".list";
    if (given.fleet.cache_aside)
        made["settings"]["familyInfo"] = {{"mode", "aside"}, {"originKind", 1}};
    return made.dump(2) + "\n";
}

} // namespace harrierpass::testbed
