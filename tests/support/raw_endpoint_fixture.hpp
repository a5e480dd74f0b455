// SPDX-License-Identifier: Apache-2.0
// A proxy in front of one endpoint whose bytes a test controls.
#pragma once

#include "support/raw_endpoint.hpp"
#include "support/stand.hpp"

namespace harrierpass::proxy {

// The configuration with an endpoint list of one endpoint on `port`.
inline std::string configuration_with_endpoint(const proxy_fixture &fixture, int port) {
    std::string config = fixture.config;
    const std::string known =
        R"({"revision":41,"complete":true,"members":[{"id":"s0","host_port":"127.0.0.1:)" +
        std::to_string(port) +
        R"(","locality":"a","flavor":"m","cell":0,"phase":"active","size":1.0,"up_since_ms":0}]})";
    return config.replace(config.find(R"("known":null)"), 12, R"("known":)" + known);
}

// A proxy with one raw endpoint. Discovery sends no list.
struct raw_endpoint_fixture {
    explicit raw_endpoint_fixture(std::function<void(int fd)> handle_connection,
                                  bool has_small_buffers = false, int request_timeout_ms = 3000)
        : fixture({.discovery_silent = true, .request_timeout_ms = request_timeout_ms, .start_proxy = false}),
          server(std::move(handle_connection), has_small_buffers) {
        std::string config = fixture.config;
        const auto begin = config.find(R"("known":{)"), end = config.find(R"(,"settings")");
        config.replace(begin, end - begin, R"("known":null)");
        fixture.config = config;
        proxy =
            std::make_unique<service>(read_configuration(configuration_with_endpoint(fixture, server.port)),
                                      log_output, log_level::debug);
        port = ntohs(reinterpret_cast<const sockaddr_in &>(proxy->listen_address().storage).sin_port);
    }
    proxy_fixture fixture;
    std::ostringstream log_output;
    test::raw_endpoint server;
    std::unique_ptr<service> proxy;
    int port = 0;
};

} // namespace harrierpass::proxy
