// SPDX-License-Identifier: Apache-2.0
// The list service on sockets: a listener for each proxy, so that it is known which proxy was sent what;
// behind all of them is one service (model/list_service.hpp).
#pragma once

#include "testbed/loop/channel.hpp"
#include "testbed/model/list_service.hpp"
#include "testbed/verification/fleet_metrics.hpp"

#include <unordered_map>

namespace harrierpass::testbed {

// HOST:PORT at which a proxy finds a server: its own, or its link's.
using server_address_lookup = std::function<std::string(index proxy, index server)>;

// The listener for one proxy and its connections. All references outlive it.
class list_port {
public:
    // `checker` is notified of what the proxy was sent. Throws std::system_error where `at` is taken.
    list_port(loop &in, const experiment &given, member_list &list, list_service &service, observer &checker,
              index proxy, const address &at, const server_address_lookup &where);
    ~list_port();
    list_port(const list_port &) = delete;
    list_port &operator=(const list_port &) = delete;
    std::string at() const { return to_text(at_); }
    // An entry of the endpoint list as JSON. `host`: HOST:PORT.
    static std::string entry(const experiment &of, const member_list::member &each, bool is_origin,
                             const std::string &host);
    // A poll was answered, with so many bytes.
    std::function<void(list_poll as, std::size_t bytes)> on_poll;

private:
    void accept();
    void on_request(const std::shared_ptr<channel> &on, const http_reader &request);
    void send_list(const std::shared_ptr<channel> &to, const list_response &with);

    loop &loop_;
    const experiment &experiment_;
    member_list &list_;
    list_service &service_;
    observer &observer_;
    const index proxy_;
    const server_address_lookup &server_address_;
    tcp_socket listening_;
    address at_;
    random_generator random_;
    std::unordered_map<std::uint64_t, std::shared_ptr<channel>> open_; // by tag
    std::unordered_map<std::uint64_t, std::uint64_t> polls_;           // by tag
    std::uint64_t next_ = 1;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
