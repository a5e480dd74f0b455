// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/fleet_ports.hpp"

#include "testbed/processes/answers.hpp"
#include "testbed/processes/proxy_configuration.hpp"

#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace harrierpass::testbed {
namespace {

constexpr std::uint32_t worker_network = 0x7f780000; // 127.120.0.0 and on: servers and lists in processes
constexpr index probe_address = 60000;               // number of the address at which a free port is found
constexpr index first_peer_address = 61000;          // number of the first proxy's address for datagrams
constexpr std::uint32_t datagram_seed = 41, relay_seed = 43;

// Descriptors: for the rest of this process; a listener and some connections of both sides a link; a pipe, a
// list and kept connections a proxy.
constexpr std::size_t spare_descriptors = 200, descriptors_a_link = 6, descriptors_a_proxy = 24,
                      descriptors_a_server = 24;

// The process's number keeps two runs on one machine apart.
address worker_address(index number, int port) {
    return ipv4(worker_network + (static_cast<std::uint32_t>(::getpid() % 64) << 16) + number + 1, port);
}

int port_after(int first, index number) {
    return first > 0 ? first + static_cast<int>(number) : 0;
}

} // namespace

fleet_ports::fleet_ports(loop &in, run_environment &environment, const fleet_listen_ports &where,
                         const worker_options &options)
    : loop_(in), environment_(environment), folder_(options.folder),
      server_address_([this](index proxy, index server) { return server_address(proxy, server); }),
      workers_(in, environment, options, addresses_) {
    workers_.on_server_changed = [this](index server) { update_link(server); };
    workers_.on_connection = [this](index server, bool begins) { on_connection(server, begins); };
    // Workers are at addresses of their own, under one port that is free at this moment: what connects from
    // here cannot take a place that a killed worker comes back to.
    const tcp_socket free = must_listen(worker_address(probe_address, 0));
    const int worker_port = port_of(local_address(free));
    open_servers(where.first_server, worker_port);
    open_lists(where.first_list, worker_port);
    environment_.list.on_change = [this](const membership::member &) {
        environment_.service.on_list_changed();
    };
    environment_.on_list_stop = [this](bool begins) { workers_.on_list_fault(false, begins); };
    environment_.on_list_kill = [this](bool begins) { workers_.on_list_fault(true, begins); };
    if (environment_.settings.proxies.may_exchange_datagrams)
        open_datagrams();
    open_links();
    watch_environment();
    workers_.start();
}

fleet_ports::~fleet_ports() {
    environment_.on_model = {};
    environment_.on_link = {};
}

void fleet_ports::open_servers(int first_port, int worker_port) {
    const index count = environment_.servers.size() + (environment_.settings.fleet.cache_aside ? 1 : 0);
    for (index i = 0; i < count; ++i) {
        if (workers_.has_servers()) {
            addresses_.servers.push_back(to_text(worker_address(i, worker_port)));
            continue;
        }
        servers_.push_back(std::make_unique<server_port>(loop_, environment_.servers, i,
                                                         loopback(port_after(first_port, i))));
        servers_.back()->on_connection = [this](index server, bool begins) { on_connection(server, begins); };
        addresses_.servers.push_back(servers_.back()->at());
    }
    addresses_.servers.resize(environment_.servers.size() + 1);
}

void fleet_ports::open_lists(int first_port, int worker_port) {
    for (index i = 0; i < environment_.settings.proxies.count; ++i) {
        if (workers_.has_list()) {
            addresses_.lists.push_back(worker_address(environment_.servers.size() + 1 + i, worker_port));
            continue;
        }
        lists_.push_back(std::make_unique<list_port>(loop_, environment_.settings, environment_.list,
                                                     environment_.service, environment_.event_observer, i,
                                                     loopback(port_after(first_port, i)), server_address_));
        lists_.back()->on_poll = [this](list_poll as, std::size_t bytes) {
            environment_.metrics.on_poll(as, bytes);
        };
        addresses_.lists.push_back(*parse_address(lists_.back()->at()));
    }
}

void fleet_ports::open_datagrams() {
    for (index i = 0; i < environment_.settings.proxies.count; ++i) {
        // Its port is any that is free now; nobody else in the run binds at this address.
        const tcp_socket probe(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        const address at = worker_address(first_peer_address + i, 0);
        if (!probe || ::bind(probe.get(), reinterpret_cast<const sockaddr *>(&at.storage), at.size) != 0)
            throw std::system_error(errno, std::generic_category(), "no address for a proxy's datagrams");
        peers_.push_back(local_address(probe));
    }
    datagrams_ = std::make_unique<datagram_relay>(loop_, environment_.links, peers_, datagram_seed);
}

void fleet_ports::open_links() {
    relay_ = std::make_unique<relay>(loop_, environment_.links, relay_seed);
    for (const auto &each : environment_.links.link_ids()) {
        if (each.kind == link_kind::proxy_server)
            addresses_.server_links[{each.near, each.far}] =
                to_text(relay_->open(each, *parse_address(addresses_.servers.at(each.far))));
        else if (each.kind == link_kind::proxy_list)
            list_links_[each.near] = to_text(relay_->open(each, addresses_.lists.at(each.near)));
    }
}

// Follows the faults of links and of servers' models.
void fleet_ports::watch_environment() {
    environment_.on_link = [this](const link_id &which, const link_conditions &before,
                                  const link_conditions &now) {
        relay_->on_conditions_changed(which, before, now);
    };
    environment_.on_model = [this](const fault_settings &fault, index server, bool begins) {
        const bool as_a_host = fault.kind == fault_kind::host_kill || fault.kind == fault_kind::host_stop;
        if (!as_a_host)
            workers_.apply_server_fault(fault, server, begins);
        if (!as_a_host || begins)
            update_link(server);
    };
    for (index i = 0; i < environment_.servers.size(); ++i)
        update_link(i);
}

// A relay cannot refuse or be silent by itself as a far end is: the listener before it does what that would.
void fleet_ports::update_link(index server) {
    const auto &of = environment_.servers.at(server);
    relay_->set_far_state(link_kind::proxy_server, server,
                          of.silent() ? far_state::silent
                          : of.up()   ? far_state::up
                                      : far_state::refuses);
}

void fleet_ports::on_connection(index server, bool begins) {
    if (!begins)
        return environment_.metrics.on_connection_closed(server);
    environment_.metrics.on_connect(server, true);
    environment_.metrics.on_connection_opened(server);
}

std::string fleet_ports::server_address(index proxy, index server) const {
    const auto link = addresses_.server_links.find({proxy, server});
    return link == addresses_.server_links.end() ? addresses_.servers.at(server) : link->second;
}

std::string fleet_ports::list_at(index proxy) const {
    const auto link = list_links_.find(proxy);
    return link == list_links_.end() ? to_text(addresses_.lists.at(proxy)) : link->second;
}

address fleet_ports::proxy_at(index proxy, const address &itself) {
    const link_id which{link_kind::client_proxy, 0, proxy};
    if (!environment_.links.contains(which))
        return itself;
    const auto known = proxy_links_.find(proxy);
    if (known == proxy_links_.end())
        return proxy_links_[proxy] = relay_->open(which, itself);
    relay_->set_far_address(which, itself);
    return known->second;
}

std::string fleet_ports::configuration(index proxy, const std::string &listen, std::uint32_t seed) const {
    const auto &given = environment_.settings;
    proxy_environment made;
    made.listen = listen;
    made.list_service = list_at(proxy);
    made.folder = folder_;
    made.server_address = [this, proxy](index server) { return server_address(proxy, server); };
    if (given.proxies.may_exchange_datagrams) {
        made.peer_listen = to_text(peers_.at(proxy));
        for (index other = 0; other < given.proxies.count; ++other)
            made.peers.push_back(to_text(datagrams_->address_of(proxy, other)));
        made.all_peers = to_text(datagrams_->broadcast_address(proxy));
    }
    return proxy_configuration(given, proxy, seed, environment_.list, made);
}

std::size_t fleet_ports::descriptors(const experiment &given, std::size_t links) {
    return spare_descriptors + links * descriptors_a_link + given.proxies.count * descriptors_a_proxy +
           given.fleet.servers * descriptors_a_server;
}

} // namespace harrierpass::testbed
