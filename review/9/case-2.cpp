// SPDX-License-Identifier: Apache-2.0
// Case 9: discovery becomes slow, then a cache node drains. Does new work to it end once the drain counts as told
// and the grace is over?
#include "stage-2.hpp"

using namespace stage;

namespace {

constexpr double slowness = 0.8;    // s that an answer of discovery takes
constexpr double grace = 2;         // rules.drainGraceMs
constexpr double told_at_latest = 6; // s after discovery had the change
constexpr double slack = 0.05;      // "each time limit is 50 ms longer"
constexpr int node_count = 3, client_count = 4;

std::atomic<double> drained_at = 1e18;
std::atomic<int> runs = 0, late = 0, good = 0, others = 0;

void serve_node(int number, connection &caller) {
    message call;
    while (caller.read(call, 5) == read_result::complete) {
        if (call.target() == "/ping") {
            caller.send(answer(200, ""));
            continue;
        }
        ++runs;
        const double since = now() - drained_at;
        if (number == 0 && since > 0) {
            const bool is_late = since > told_at_latest + grace + slack;
            late += is_late;
            record().line("node s-0: gets %s %.3f s after discovery had its drain%s",
                          call.field("x-request-id").c_str(), since, is_late ? ", TOO LATE" : "");
        }
        sleep_for(0.01);
        caller.send(answer(200, "value for " + call.field("x-request-id")));
    }
}

void run_client(int number, int port, double until) {
    connection client(connect_to(port));
    for (int count = 0; now() < until; ++count) {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(count);
        message reply;
        client.send(request("GET", "ver-lote", "lote-" + id, id, 2000));
        const bool is_good = client.read(reply, 4, true) == read_result::complete && reply.status() == 200;
        (is_good ? good : others)++;
        sleep_for(0.2);
    }
}

} // namespace

int main() {
    return run([] {
        discovery list;
        std::vector<std::unique_ptr<server>> nodes;
        for (int i = 0; i < node_count; ++i) {
            nodes.push_back(std::make_unique<server>([i](connection &caller) { serve_node(i, caller); }));
            list.set("s-" + std::to_string(i), nodes.back()->port());
        }
        proxy balancer(list.port(), small_settings());
        std::vector<std::thread> clients;
        for (int i = 0; i < client_count; ++i)
            clients.emplace_back(run_client, i, balancer.port(), now() + 25);
        sleep_for(3);
        if (with_trouble()) {
            list.be_slow(slowness);
            record().line("discovery: each answer takes %.1f s from now on", slowness);
        }
        sleep_for(3);
        drained_at = now();
        list.set("s-0", nodes[0]->port(), "leaving");
        record().line("discovery: s-0 is leaving");
        for (auto &client : clients)
            client.join();
        record().line("summary: %d requests ran, %d served, %d not; %d sent to s-0 over %.2f s after its drain",
                      runs.load(), good.load(), others.load(), late.load(), told_at_latest + grace + slack);
        if (good < 100)
            return could_not_run;
        return late > 0 ? rule_broken : rule_held;
    });
}
