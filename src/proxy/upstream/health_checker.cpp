// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/health_checker.hpp"

#include "net/http_call.hpp"

#include <thread>

namespace harrierpass::proxy {
namespace {

constexpr double dials = 2;  // dial limits, in which a probe has its answer
constexpr int most_out = 16; // probes; a lost zone's servers at a time, and few descriptors

} // namespace

health_checker::~health_checker() {
    while (out_.load() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void health_checker::start(index server) {
    if (out_.fetch_add(1) < most_out && start_detached([this, server] {
            std::optional<bool> answered;
            try {
                answered = check(server);
            } catch (const std::exception &) { // no memory for it: the router asks again
            }
            finished(server, answered);
        }))
        return;
    finished(server, {}); // the router asks again
}

void health_checker::finished(index server, std::optional<bool> answered) {
    try {
        dispatcher_.health_check_finished(server, answered);
    } catch (const std::bad_alloc &) { // what the router decided waits for its next report
    }
    out_.fetch_sub(1);
}

// Not on a kept connection: one from before a silence would speak of the process that was there then.
std::optional<bool> health_checker::check(index server) {
    auto to = upstream_.connect_new(server, dispatcher_.now());
    std::string_view asks = "GET /ping HTTP/1.1\r\nHost: probe\r\n\r\n", none;
    // Guards a server that operators take out while the connection comes up.
    const bool may = upstream_.unless_disabled(server, [&] {
        if (to.socket)
            write_some(to.socket, asks, none); // where it breaks, so does the exchange
    });
    if (!may) {
        if (to.socket)
            upstream_.close_connection(std::move(to), dispatcher_.now(), "out");
        return std::nullopt; // not made
    }
    if (!to.socket && to.local_shortage) // says nothing of the server
        return std::nullopt;
    counters_.add(counter::health_checks);
    if (!to.socket) {
        upstream_.close_idle_of(server, dispatcher_.now(), "suspect");
        return false;
    }
    const auto buffer = buffers_.acquire();
    http_reader reader(whole_buffer(buffer), http_reader::message_kind::response);
    const bool whole_answer =
        http_call(to.socket, asks, reader, dials * dispatcher_.configuration_in_force()->connect_timeout);
    const bool answered = whole_answer && reader.head().status == 200;
    if (answered)
        counters_.add(counter::health_checks_answered);
    else
        upstream_.close_idle_of(server, dispatcher_.now(), "suspect");
    if (whole_answer && reader.head().keeps_alive() && reader.pipelined_bytes().empty())
        upstream_.release(std::move(to), dispatcher_.now());
    else
        upstream_.close_connection(std::move(to), dispatcher_.now(),
                                   whole_answer ? "probed" : "probe_failed");
    return answered;
}

} // namespace harrierpass::proxy
