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

constexpr std::uint32_t worker_network = 0x7f780000; // 127.120.0.0 and on: servers and lists in processes
constexpr double check_period = 0.05;                // s between looks at what can be judged
constexpr std::size_t spare = 200;                   // descriptors for the rest of this process

address worker_address(index number, int port) {
    return ipv4(worker_network + (static_cast<std::uint32_t>(::getpid() % 64) << 16) + number + 1, port);
}

worker_message about(const member_list::member &what, worker_message::kind as) {
    worker_message made;
    made.is = as;
    made.small = static_cast<std::uint8_t>(what.state);
    made.a = what.server;
    made.x = what.started;
    made.number = what.revision;
    return made;
}

} // namespace

fleet_ports::fleet_ports(loop &in, stage &of, const fleet_listen_ports &where, const worker_options &options)
    : loop_(in), stage_(of), folder_(options.folder) {
    const bool processes = !options.self.empty();
    const bool serves_here = !processes || of.given.fleet.hosts == 0;
    const bool lists_here = !processes || !of.given.list.own_process;
    const index count = of.servers.size() + (of.given.fleet.aside ? 1 : 0);
    // Parts are at addresses of their own, under one port that is free at this moment: what is dialled from
    // here cannot take a place that a killed worker comes back to.
    const tcp_socket free = must_listen(worker_address(60000, 0));
    const int port = port_of(local_address(free));
    server_address_ = [this](index proxy, index server) {
        const auto link = server_links_.find({proxy, server});
        return link == server_links_.end() ? hosts_.at(server) : link->second;
    };
    for (index i = 0; i < count; ++i) {
        if (!serves_here) {
            hosts_.push_back(to_text(worker_address(i, port)));
            continue;
        }
        servers_.push_back(std::make_unique<server_port>(
            in, of.servers, i,
            loopback(where.first_server > 0 ? where.first_server + static_cast<int>(i) : 0)));
        servers_.back()->on_connection = [this](index server, bool begins) { connection(server, begins); };
        hosts_.push_back(servers_.back()->at());
    }
    hosts_.resize(of.servers.size() + 1);
    for (index i = 0; i < of.given.proxies.count; ++i) {
        if (!lists_here) {
            list_addresses_.push_back(worker_address(of.servers.size() + 1 + i, port));
            continue;
        }
        lists_.push_back(std::make_unique<list_port>(
            in, of.given, of.list, of.service, of.sees, i,
            loopback(where.first_list > 0 ? where.first_list + static_cast<int>(i) : 0), server_address_));
        lists_.back()->on_poll = [this](list_poll as, std::size_t bytes) {
            stage_.figures.on_poll(as, bytes);
        };
        list_addresses_.push_back(*parse_address(lists_.back()->at()));
    }
    of.list.on_change = [this](const membership::member &) { stage_.service.changed(); };
    killed_.resize(of.given.fleet.hosts + 1);
    stopped_.resize(of.given.fleet.hosts + 1);
    of.on_list_stop = [this](bool begins) { on_list(false, begins); };
    of.on_list_kill = [this](bool begins) { on_list(true, begins); };
    make_links();
    if (processes)
        start_workers(options);
}

fleet_ports::~fleet_ports() {
    stage_.on_model = {};
    stage_.on_link = {};
}

// ---- Links

void fleet_ports::make_links() {
    if (stage_.given.proxies.peers) {
        for (index i = 0; i < stage_.given.proxies.count; ++i) {
            // Its port is any that is free now; nobody else in the run binds at this address.
            const tcp_socket probe(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
            const address at = worker_address(61000 + i, 0);
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
    stage_.on_link = [this](const link_id &which, const link_conditions &before, const link_conditions &now) {
        relay_->on_conditions_changed(which, before, now);
    };
    stage_.on_model = [this](const fault_spec &fault, index server, bool begins) {
        const bool as_a_host = fault.kind == fault_kind::host_kill || fault.kind == fault_kind::host_stop;
        const index host = host_of(stage_.given, server);
        if (host < server_workers_.size() && !as_a_host) {
            worker_message made;
            made.is = worker_message::kind::fault;
            made.small = static_cast<std::uint8_t>(fault.kind);
            made.flag = begins;
            made.a = server;
            made.b = fault.use_case;
            made.x = fault.factor;
            server_workers_[host]->send(made);
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
    relay_->set_far_state(link_kind::proxy_server, server,
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
    if (!stage_.links.contains(which))
        return itself;
    const auto known = proxy_links_.find(proxy);
    if (known == proxy_links_.end())
        return proxy_links_[proxy] = relay_->open(which, itself);
    relay_->set_far_address(which, itself);
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

void fleet_ports::start_workers(const worker_options &options) {
    if (stage_.given.fleet.hosts == 0 && !stage_.given.list.own_process)
        return;
    std::ofstream(folder_ + "/experiment.toml") << stage_.given.whole;
    const auto made = [&](const std::string &name, const std::string &text) {
        write_setup(name, text);
        auto worker = std::make_unique<worker_process>(
            loop_, stage_.events,
            std::vector<std::string>{options.self, "part", folder_ + "/" + name + ".json"},
            folder_ + "/" + name + ".log");
        worker->on_death = [this] { ++deaths_; };
        return worker;
    };
    for (index host = 0; host < stage_.given.fleet.hosts; ++host) {
        server_workers_.push_back(made("servers" + std::to_string(host), setup("servers", host, false)));
        serve(*server_workers_.back(), host);
        server_workers_.back()->start();
    }
    stage_.on_host = [this](index host, fault_kind kind, bool begins) { on_host(host, kind, begins); };
    if (stage_.given.fleet.hosts > 0)
        stage_.servers.on_wrote = [this](std::uint64_t key) {
            worker_message told;
            told.is = worker_message::kind::void_copy;
            told.key = key;
            for (const auto &each : server_workers_)
                each->send(told);
        };
    if (stage_.given.list.own_process) {
        list_worker_ = made("list", setup("list", 0, false));
        list_worker_->on_message = [this](const worker_message &what) {
            if (what.is == worker_message::kind::poll)
                stage_.figures.on_poll(static_cast<list_poll>(what.small), what.number);
        };
        stage_.list.on_change = [this](const membership::member &what) {
            list_worker_->send(about(what, worker_message::kind::publish));
        };
        list_worker_->start();
        publish_list();
    }
    const auto again = [this](const auto &self) -> void {
        stage_.events.advance_source(stage_.own_events, loop_.clock.now());
        stage_.events.deliver_ready();
        loop_.clock.after(check_period, [self] { self(self); });
    };
    again(again);
}

void fleet_ports::connection(index server, bool begins) {
    if (!begins)
        return stage_.figures.on_connection_closed(server);
    stage_.figures.on_connect(server, true);
    stage_.figures.on_connection_opened(server);
}

// What the origin and its marks are to all servers is here, wherever they are.
void fleet_ports::serve(worker_process &worker, index host) {
    worker.on_message = [this, &worker](const worker_message &what) {
        worker_message made;
        made.number = what.number;
        if (what.is == worker_message::kind::fetch)
            return stage_.servers.source().fetch([&worker, made](bool there) mutable {
                made.is = worker_message::kind::fetched;
                made.flag = there;
                worker.send(made);
            });
        if (what.is == worker_message::kind::write) {
            const job asked{what.event.op, what.event.a, what.event.b, true, what.flag != 0, what.key, none};
            return stage_.servers.write(asked, what.a, [&worker, made](bool seen, bool there) mutable {
                made.is = worker_message::kind::written;
                made.flag = seen;
                made.flag2 = there;
                worker.send(made);
            });
        }
        if (what.is == worker_message::kind::connection)
            return connection(what.a, what.flag != 0);
        if (what.is == worker_message::kind::event && what.event.is == observed_event::kind::fell) {
            stage_.servers.at(what.event.a).fall();
            follow(what.event.a);
        }
    };
    worker.on_ready = [this, &worker, host] {
        for (index i = 0; i < stage_.servers.size(); ++i) {
            if (host_of(stage_.given, i) != host)
                continue;
            // What the script has made of it meanwhile: a new process knows nothing of it.
            const bool up = stage_.servers.at(i).up(), from_start = i < stage_.given.fleet.servers;
            if (up != from_start) {
                worker_message made;
                made.is = worker_message::kind::fault;
                made.small = static_cast<std::uint8_t>(up ? fault_kind::join : fault_kind::crash);
                made.flag = 1;
                made.a = i;
                worker.send(made);
            }
            follow(i);
        }
    };
}

void fleet_ports::on_host(index host, fault_kind kind, bool begins) {
    auto &worker = *server_workers_.at(host);
    if (kind == fault_kind::host_stop) {
        stopped_[host] += begins ? 1 : static_cast<index>(-1);
        return worker.stop(stopped_[host] > 0);
    }
    if (begins && killed_[host]++ == 0) {
        const double before = loop_.exact();
        worker.kill();
        // Later than all that it had written, and earlier than what anybody does for its death.
        observed_event died;
        died.is = observed_event::kind::died;
        died.when = std::max(before, worker.last()) + 1e-7;
        for (index i = 0; i < stage_.servers.size(); ++i)
            if (host_of(stage_.given, i) == host) {
                died.a = i;
                stage_.events.add(stage_.own_events, died);
            }
    } else if (!begins && --killed_[host] == 0) {
        write_setup("servers" + std::to_string(host), setup("servers", host, true));
        worker.start();
    }
}

void fleet_ports::publish_list() {
    for (const auto &each : stage_.list.all())
        list_worker_->send(about(each, worker_message::kind::load));
}

// In one loop with the rest, a list service that is killed or stopped is silent; as a process it is the real
// thing.
void fleet_ports::on_list(bool kills, bool begins) {
    if (!list_worker_)
        return stage_.list.silent(begins);
    auto &held = kills ? killed_.back() : stopped_.back();
    held += begins ? 1 : static_cast<index>(-1);
    if (!kills)
        return list_worker_->stop(held > 0);
    if (begins && held == 1) {
        list_worker_->kill();
    } else if (!begins && held == 0) {
        list_worker_->start();
        publish_list();
    }
}

bool fleet_ports::ready() const {
    return std::all_of(server_workers_.begin(), server_workers_.end(),
                       [](const auto &each) { return each->ready(); }) &&
           (!list_worker_ || list_worker_->ready() || killed_.back() > 0);
}

void fleet_ports::end() {
    for (const auto &each : server_workers_)
        each->end();
    if (list_worker_)
        list_worker_->end();
}

bool fleet_ports::ended() const {
    return std::none_of(server_workers_.begin(), server_workers_.end(),
                        [](const auto &each) { return each->runs(); }) &&
           !(list_worker_ && list_worker_->runs());
}

std::string fleet_ports::configuration(index proxy, const std::string &listen, std::uint32_t seed) const {
    static constexpr std::array<const char *, 3> effects = {"idempotent", "deduplicated", "at_most_once"};
    static constexpr std::array<const char *, 3> groups = {"all", "zone", "cell"};
    const auto &given = stage_.given;
    using nlohmann::json;
    json uses = json::array(), tenants = json::array();
    for (const auto &each : given.use_cases)
        uses.push_back({{"name", each.name},
                        {"effect", effects[static_cast<std::size_t>(each.decides.effect)]},
                        {"group", groups[static_cast<std::size_t>(each.decides.scope)]},
                        {"windowMs", each.decides.deduplication_window * 1000},
                        {"sloTimeMs", each.decides.latency_objective * 1000},
                        {"statementTimeoutMs", each.statement_timeout * 1000},
                        {"importance", each.decides.priority_weight},
                        {"tardyImportance", each.decides.late_value_share}});
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
           {{"cancel", given.proxies.cancel},
            {"probes", given.proxies.probes},
            {"retryAfter", given.proxies.advice > 0},
            {"maxRetryAfterMs", given.proxies.advice * 1000},
            {"maxExecutions", given.proxies.max_executions},
            {"secondCopies", false},
            {"dialTimeoutMs", given.network.dial_limit * 1000},
            {"connIdleMs", given.fleet.idle * 1000}}},
          {"rules",
           {{"startCapacity", given.cold.decides.initial_capacity_share},
            {"coldMs", given.cold.decides.warm_up_time * 1000},
            {"drainGraceMs", given.list.drain_grace * 1000},
            {"mustAskInMs", 10000}}},
          {"fees",
           {{"crossZone", 0.0}, {"origin", given.prices.origin}, {"handshake", given.prices.handshake}}},
          {"excessImportance", given.proxies.excess_importance},
          {"tenants", tenants},
          {"useCases", uses}}}};
    if (given.proxies.peers) {
        made["peer_listen"] = to_text(peers_.at(proxy));
        for (index other = 0; other < given.proxies.count; ++other)
            made["peers"].push_back(to_text(datagrams_->address_of(proxy, other)));
        made["peers_all"] = to_text(datagrams_->broadcast_address(proxy));
    }
    if (given.proxies.known != known_list::none) {
        const bool old = knows_old(given, proxy);
        json members = json::array();
        for (const auto &each : stage_.list.known_by(given, proxy))
            members.push_back(json::parse(list_port::entry(given, each, each.server == stage_.servers.size(),
                                                           server_address_(proxy, each.server))));
        made["known"] = {
            {"revision", old ? 0 : stage_.list.revision()}, {"complete", true}, {"members", members}};
    }
    if (given.proxies.shared_list)
        made["startup"] = {{"list_service", "shared"},
                           {"lists_per_s", list_terms(given).snapshots_per_second}};
    if (given.proxies.snapshots)
        made["startup"]["snapshot"] = folder_ + "/p" + std::to_string(proxy) + ".list";
    if (given.fleet.aside)
        made["settings"]["familyInfo"] = {{"mode", "aside"}, {"originKind", 1}};
    return made.dump(2) + "\n";
}

} // namespace harrierpass::testbed
