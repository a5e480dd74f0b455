// SPDX-License-Identifier: Apache-2.0
// A fleet's stand-ins on loopback: each cache server, the origin in aside mode, and the list service, in one
// loop of this process or, where an experiment says so and the run can start them, in processes of their own;
// and the links before them.
#pragma once

#include "testbed/links/datagram_relay.hpp"
#include "testbed/links/relay.hpp"
#include "testbed/processes/fleet_workers.hpp"
#include "testbed/processes/list_port.hpp"
#include "testbed/processes/server_port.hpp"
#include "testbed/runs/run_environment.hpp"

namespace harrierpass::testbed {

// The ports of the first server and of the first proxy's list service; those of the others follow. 0: any.
struct fleet_listen_ports {
    int first_server = 0, first_list = 0;
};

// Used from the loop's thread only; the environment outlives it.
class fleet_ports {
public:
    // Opens the ports and links, and starts the workers. Throws std::system_error where there are no
    // descriptors or addresses.
    fleet_ports(loop &in, run_environment &environment, const fleet_listen_ports &where = {},
                const worker_options &options = {});
    ~fleet_ports();
    fleet_ports(const fleet_ports &) = delete;
    fleet_ports &operator=(const fleet_ports &) = delete;

    // Where a proxy finds the list and a server, and where clients find a proxy: over its link, if it has
    // one.
    std::string list_at(index proxy) const;
    std::string server_at(index server) const { return addresses_.servers.at(server); }
    address proxy_at(index proxy, const address &itself);
    // The configuration of a proxy of this fleet, as JSON.
    std::string configuration(index proxy, const std::string &listen, std::uint32_t seed) const;

    bool ready() const { return workers_.ready(); } // all workers are up
    void end() { workers_.end(); }                  // the workers are sent SIGTERM
    bool ended() const { return workers_.ended(); }
    // Descriptors that this process needs for it, as far as the experiment tells.
    static std::size_t descriptors(const experiment &given, std::size_t links);
    std::uint64_t deaths() const { return workers_.deaths(); } // of workers, by themselves
    const datagram_relay *datagrams() const { return datagrams_.get(); }

private:
    void open_servers(int first_port, int worker_port);
    void open_lists(int first_port, int worker_port);
    void open_datagrams();
    void open_links();
    void watch_environment();
    std::string server_address(index proxy, index server) const;
    void update_link(index server);
    void on_connection(index server, bool begins); // one came to a server, or is over

    loop &loop_;
    run_environment &environment_;
    const std::string folder_;
    fleet_addresses addresses_;
    const server_address_lookup server_address_;
    std::vector<std::unique_ptr<server_port>> servers_;
    std::vector<std::unique_ptr<list_port>> lists_;
    std::unique_ptr<relay> relay_;
    std::unique_ptr<datagram_relay> datagrams_;
    std::vector<address> peers_;              // that the proxies bind for datagrams
    std::map<index, std::string> list_links_; // by proxy
    std::map<index, address> proxy_links_;
    fleet_workers workers_;
};

} // namespace harrierpass::testbed
