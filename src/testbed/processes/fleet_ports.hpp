// SPDX-License-Identifier: Apache-2.0
// A fleet's stand-ins on loopback: each cache server, the origin in aside mode, and the list service, in one
// loop of this process or, where an experiment says so and the run can start them, in processes of their own;
// and the links before them.
#pragma once

#include "testbed/links/relay.hpp"
#include "testbed/processes/list_port.hpp"
#include "testbed/processes/server_port.hpp"
#include "testbed/processes/worker_process.hpp"
#include "testbed/runs/run_environment.hpp"

namespace harrierpass::testbed {

struct fleet_places {
    int first_server = 0, first_list = 0; // ports; 0: any
};

// How parts become processes; without `self` all is in the caller's loop.
struct part_options {
    std::string self;   // this program, which can be a part
    std::string folder; // for setups and logs
};

class fleet_ports {
public:
    fleet_ports(loop &in, run_environment &of, const fleet_places &where = {},
                const part_options &parts = {});
    ~fleet_ports();
    fleet_ports(const fleet_ports &) = delete;
    fleet_ports &operator=(const fleet_ports &) = delete;
    // Where a proxy finds the list and a server, and where clients find a proxy: over its link, if it has
    // one.
    std::string list_at(index proxy) const;
    std::string server_at(index server) const { return hosts_.at(server); }
    address proxy_at(index proxy, const address &itself);
    // The configuration of a proxy of this fleet, as JSON.
    std::string configuration(index proxy, const std::string &listen, std::uint32_t seed) const;

    bool ready() const; // all parts are up
    void end();         // the parts, told so
    bool ended() const;
    // Descriptors that this process needs for it, as far as the experiment tells.
    static std::size_t descriptors(const experiment &given, std::size_t links);
    std::uint64_t deaths() const { return deaths_; } // of parts, by themselves
    const datagram_relay *datagrams() const { return datagrams_.get(); }

private:
    void make_links();
    void make_parts(const part_options &parts);
    std::string setup(const std::string &role, index host, bool cold) const;
    void write_setup(const std::string &name, const std::string &text) const;
    void serve(part_process &part, index host);
    void tell_list();
    void on_host(index host, fault_kind kind, bool begins);
    void on_list(bool kills, bool begins);
    void follow(index server);
    void connection(index server, bool begins); // one came to a server, or is over

    loop &loop_;
    run_environment &stage_;
    std::vector<std::unique_ptr<server_port>> servers_;
    std::vector<std::string> hosts_;
    std::vector<address> list_addresses_;
    std::vector<std::unique_ptr<list_port>> lists_;
    std::unique_ptr<relay> relay_;
    std::unique_ptr<datagram_relay> datagrams_;
    std::vector<address> peers_;
    std::map<std::pair<index, index>, std::string> server_links_; // by proxy, server
    std::map<index, std::string> list_links_;                     // by proxy
    std::map<index, address> proxy_links_;
    server_places where_;
    std::string folder_;
    std::vector<std::unique_ptr<part_process>> hosts_parts_; // by host
    std::unique_ptr<part_process> list_part_;
    std::vector<index> killed_, stopped_; // by host: faults that hold it; the list's behind them
    std::uint64_t deaths_ = 0;
};

} // namespace harrierpass::testbed
