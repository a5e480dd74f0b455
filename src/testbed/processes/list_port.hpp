// SPDX-License-Identifier: Apache-2.0
// The list service on sockets: an address for each proxy, so that it is known who was told what; behind all
// of them one service (world/list_service.hpp).
#pragma once

#include "testbed/loop/channel.hpp"
#include "testbed/model/list_service.hpp"
#include "testbed/verification/run_metrics.hpp"

#include <unordered_map>

namespace harrierpass::testbed {

// Where each server is, for one proxy: directly, or over a link.
using server_places = std::function<std::string(index proxy, index server)>;

class list_port {
public:
    list_port(loop &in, const experiment &given, member_list &list, list_service &service, observer &sees,
              index proxy, const address &at, const server_places &where);
    ~list_port();
    list_port(const list_port &) = delete;
    list_port &operator=(const list_port &) = delete;
    std::string at() const { return to_text(at_); }
    static std::string entry(const experiment &of, const member_list::member &each, bool is_origin,
                             const std::string &host);
    std::function<void(list_call as, std::size_t bytes)> on_call; // what came of one

private:
    void accept();
    void message(const std::shared_ptr<channel> &on, const http_reader &asked);
    void tell(const std::shared_ptr<channel> &to, const list_answer &with);

    loop &loop_;
    const experiment &given_;
    member_list &list_;
    list_service &service_;
    observer &sees_;
    const index proxy_;
    const server_places &where_;
    tcp_socket listening_;
    address at_;
    random_generator chance_;
    std::unordered_map<std::uint64_t, std::shared_ptr<channel>> open_; // by tag
    std::unordered_map<std::uint64_t, std::uint64_t> calls_;           // by tag
    std::uint64_t next_ = 1;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
