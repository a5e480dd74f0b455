// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/health_checker.hpp"

#include "net/http_call.hpp"

#include <chrono>
#include <new>
#include <string_view>
#include <thread>
#include <utility>

namespace harrierpass::proxy {
namespace {

constexpr double response_timeout_factor = 2; // timeout of a response, in connect timeouts
constexpr int max_checks_in_flight = 16;      // a failed zone has many endpoints; descriptors are scarce
constexpr std::string_view health_check_request = "GET /ping HTTP/1.1\r\nHost: probe\r\n\r\n";

} // namespace

health_checker::~health_checker() {
    while (in_flight_.load() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

// A check that cannot be made is reported as not made, so that the router requests it again.
void health_checker::start(endpoint_index endpoint) {
    const auto check_and_report = [this, endpoint] {
        check_result is_healthy;
        try {
            is_healthy = check(endpoint);
        } catch (const std::exception &) { // out of memory
        }
        report(endpoint, is_healthy);
    };
    if (in_flight_.fetch_add(1) >= max_checks_in_flight || !start_detached(check_and_report))
        report(endpoint, {});
}

void health_checker::report(endpoint_index endpoint, check_result is_healthy) {
    try {
        routing_.health_check_finished(endpoint, is_healthy);
    } catch (const std::bad_alloc &) { // the next event delivers the router's actions
    }
    in_flight_.fetch_sub(1);
}

// Uses a new connection, as an idle one could belong to an earlier process of the endpoint.
health_checker::check_result health_checker::check(endpoint_index endpoint) {
    upstream_connection connection = upstreams_.connect_new(endpoint, routing_.now());
    std::string_view unsent = health_check_request;
    std::string_view no_body;
    // An operator may have disabled the endpoint during the connect.
    const bool enabled = upstreams_.write_unless_disabled(endpoint, [&] {
        if (connection.socket)
            static_cast<void>(write_some(connection.socket, unsent, no_body)); // exchange() detects a failure
    });
    if (!enabled) {
        if (connection.socket)
            upstreams_.close_connection(std::move(connection), routing_.now(),
                                        upstream_close_reason::disabled);
        return std::nullopt;
    }
    if (!connection.socket && connection.local_shortage)
        return std::nullopt;
    counters_.add(counter::health_checks);
    if (!connection.socket) {
        upstreams_.close_idle_of(endpoint, routing_.now(), upstream_close_reason::suspect);
        return false;
    }
    return exchange(std::move(connection), unsent);
}

bool health_checker::exchange(upstream_connection connection, std::string_view unsent) {
    const auto buffer = buffers_.acquire();
    http_reader response(whole_buffer(buffer), http_reader::message_kind::response);
    const double timeout = response_timeout_factor * routing_.configuration_in_force()->connect_timeout;
    const bool is_complete = http_call(connection.socket, unsent, response, timeout);
    const bool is_healthy = is_complete && response.head().status == 200;
    if (is_healthy)
        counters_.add(counter::health_checks_answered);
    else
        upstreams_.close_idle_of(connection.endpoint, routing_.now(), upstream_close_reason::suspect);
    if (is_complete && response.head().keeps_alive() && response.pipelined_bytes().empty())
        upstreams_.release(std::move(connection), routing_.now());
    else
        upstreams_.close_connection(std::move(connection), routing_.now(),
                                    is_complete ? upstream_close_reason::health_checked
                                                : upstream_close_reason::health_check_failed);
    return is_healthy;
}

} // namespace harrierpass::proxy
