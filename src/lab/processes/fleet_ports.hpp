// SPDX-License-Identifier: Apache-2.0
// The stand-ins on sockets: each cache server of a fleet, the origin in aside mode, and discovery, on
// loopback in one loop. The models decide what is answered and when; this gives them connections, and takes
// these away as a process or a machine that dies would.
#pragma once

#include "lab/loop/channel.hpp"
#include "lab/runs/stage.hpp"
#include "lab/world/ids.hpp"

#include <unordered_set>

namespace harrierpass::lab {

// One server's listener and connections.
class server_port {
public:
    // `number` is the fleet's size for the origin. Port 0: any.
    server_port(loop &in, stage &of, index number, int port);
    ~server_port();
    std::string at() const { return to_text(at_); }
    void follow(); // the model's state has changed

private:
    struct work { // in hand on one connection
        operation op;
        index attempt;
    };
    void listen();
    void accept();
    void plug(bool begins);
    void message(const std::shared_ptr<channel> &on, const http_reader &asked);
    void finish(const std::shared_ptr<channel> &on, bool write, std::string_view key, std::string_view id,
                const result &with);
    void over(std::uint64_t tag);
    void tidy();

    loop &loop_;
    stage &stage_;
    const index number_;
    tcp_socket listening_;
    address at_;
    std::vector<tcp_socket> plugs_; // connections that nobody accepts, so that no other comes up
    std::unordered_map<std::uint64_t, std::shared_ptr<channel>> open_; // by tag
    std::unordered_map<std::uint64_t, work> in_hand_;                  // by tag
    std::uint64_t next_ = 1, life_ = 0;
    std::uint64_t spoilt_ = 0;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

// Discovery as one proxy sees it.
class list_port {
public:
    list_port(loop &in, stage &of, index proxy, int port, const std::vector<std::string> &hosts);
    ~list_port();
    std::string at() const { return to_text(at_); }
    void changed(); // the list
    static std::string entry(const stage &of, const membership::member &each, const std::string &host);

private:
    struct waiting_call {
        std::shared_ptr<channel> on;
        std::uint64_t since;
    };
    void accept();
    void message(const std::shared_ptr<channel> &on, const http_reader &asked);
    void tell(const std::shared_ptr<channel> &to, bool whole, const std::vector<membership::member> &members);

    loop &loop_;
    stage &stage_;
    const index proxy_;
    const std::vector<std::string> &hosts_;
    tcp_socket listening_;
    address at_;
    chance chance_;
    std::unordered_map<std::uint64_t, std::shared_ptr<channel>> open_;
    std::unordered_map<std::uint64_t, waiting_call> watching_; // by tag
    std::uint64_t next_ = 1;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

struct fleet_places {
    int first_server = 0, first_list = 0; // ports; 0: any
};

class fleet_ports {
public:
    fleet_ports(loop &in, stage &of, const fleet_places &where = {});
    std::string list_at(index proxy) const { return lists_.at(proxy)->at(); }
    std::string server_at(index server) const { return hosts_.at(server); }
    // The configuration of a proxy of this fleet, as JSON.
    std::string configuration(index proxy, const std::string &listen, std::uint32_t seed) const;

private:
    stage &stage_;
    std::vector<std::unique_ptr<server_port>> servers_;
    std::vector<std::string> hosts_;
    std::vector<std::unique_ptr<list_port>> lists_;
};

} // namespace harrierpass::lab
