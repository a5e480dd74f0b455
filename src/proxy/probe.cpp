// SPDX-License-Identifier: Apache-2.0
#include "proxy/probe.hpp"

#include "net/exchange.hpp"

#include <thread>

namespace harrierpass::proxy {
namespace {

constexpr double dials = 2;  // dial limits, in which a probe has its answer
constexpr int most_out = 16; // probes; a lost zone's servers at a time, and few descriptors

} // namespace

prober::~prober() {
    while (out_.load() > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void prober::start(index server) {
    if (out_.fetch_add(1) < most_out && start_detached([this, server] {
            std::optional<bool> answered;
            try {
                answered = probe(server);
            } catch (const std::exception &) { // no memory for it: the router asks again
            }
            over(server, answered);
        }))
        return;
    over(server, {}); // the router asks again
}

void prober::over(index server, std::optional<bool> answered) {
    try {
        desk_.probed(server, answered);
    } catch (const std::bad_alloc &) { // what the router decided waits for its next report
    }
    out_.fetch_sub(1);
}

// Not on a kept connection: one from before a silence would speak of the process that was there then.
std::optional<bool> prober::probe(index server) {
    auto to = upstream_.dial_new(server, desk_.now());
    std::string_view asks = "GET /ping HTTP/1.1\r\nHost: probe\r\n\r\n", none;
    // Guards a server that operators take out while the connection comes up.
    const bool may = upstream_.unless_out(server, [&] {
        if (to.socket)
            write_some(to.socket, asks, none); // where it breaks, so does the exchange
    });
    if (!may) {
        if (to.socket)
            upstream_.end(std::move(to), desk_.now(), "out");
        return std::nullopt; // not made
    }
    if (!to.socket && to.own_shortage) // says nothing of the server
        return std::nullopt;
    counters_.add(count::probes);
    if (!to.socket) {
        upstream_.end_kept(server, desk_.now(), "suspect");
        return false;
    }
    const auto buffer = buffers_.take();
    http_reader reader(whole(buffer), http_reader::side::answer);
    const bool whole_answer = exchange(to.socket, asks, reader, dials * desk_.given()->dial_limit);
    const bool answered = whole_answer && reader.head().status == 200;
    if (answered)
        counters_.add(count::probes_answered);
    else
        upstream_.end_kept(server, desk_.now(), "suspect");
    if (whole_answer && reader.head().keeps_alive() && reader.rest().empty())
        upstream_.keep(std::move(to), desk_.now());
    else
        upstream_.end(std::move(to), desk_.now(), whole_answer ? "probed" : "probe_failed");
    return answered;
}

} // namespace harrierpass::proxy
