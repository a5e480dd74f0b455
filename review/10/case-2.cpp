// SPDX-License-Identifier: Apache-2.0
// Case 10: some answers of a cache node begin and never end. Does each request get its final answer by half a
// second after its time?
#include "stage-2.hpp"

using namespace stage;

namespace {

constexpr int timeout_ms = 2000;
constexpr double late_answer = 0.5; // s after its time up to which a final answer only earns nothing
constexpr double extra = 0.05;      // "each time limit is 50 ms longer"
constexpr double gives_up = 4;      // s; the first client waits for 30 s, to see when its connection ends
constexpr double endless_share = 0.05;
constexpr int node_count = 3, client_count = 6;
std::atomic<int> runs = 0, endless = 0, served = 0, failed = 0, lost = 0;

void serve_node(int number, connection &caller) {
    std::minstd_rand random(static_cast<unsigned>(number * 7919 + caller.fd()) + 1);
    message call;
    while (caller.read(call, 5) == read_result::complete) {
        if (call.target() == "/ping") {
            caller.send(answer(200, ""));
            continue;
        }
        ++runs;
        const std::string piece = "64\r\n" + std::string(100, 'v') + "\r\n"; // a chunk of 100 bytes
        caller.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + piece);
        sleep_for(0.15);
        caller.send(piece);
        if (with_trouble() && std::uniform_real_distribution<>(0, 1)(random) < endless_share) {
            ++endless;
            record().line("node s-%d: the answer to %s never ends", number, call.field("x-request-id").c_str());
            message rest;
            caller.read(rest, 60); // until the proxy closes
            return;
        }
        caller.send("0\r\n\r\n");
    }
}

void run_client(int number, int port, double until) {
    auto client = std::make_unique<connection>(connect_to(port));
    for (int count = 0; now() < until; ++count) {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(count);
        message reply;
        client->send(request("GET", "ver-lote", "lote-" + id, id, timeout_ms));
        const double sent_at = now();
        const auto result = client->read(reply, number == 0 ? 30 : gives_up, true);
        const double took = now() - sent_at;
        const bool is_lost = took > timeout_ms / 1000.0 + late_answer + extra;
        lost += is_lost;
        served += result == read_result::complete && reply.status() == 200;
        failed += result != read_result::complete || reply.status() != 200;
        if (is_lost || result != read_result::complete || reply.status() != 200)
            record().line("client: %s: status %d, %s after %.3f s%s", id.c_str(), reply.status(),
                          result == read_result::complete ? "whole" : result == read_result::late ? "gives up" : "cut off",
                          took, is_lost ? ", LOST" : "");
        if (result != read_result::complete || reply.field("connection") == "close")
            client = std::make_unique<connection>(connect_to(port));
        sleep_for(0.02);
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
            clients.emplace_back(run_client, i, balancer.port(), now() + 15);
        for (auto &client : clients)
            client.join();
        record().line("summary: %d requests ran, %d answers never ended; clients: %d served, %d failed, %d of all lost",
                      runs.load(), endless.load(), served.load(), failed.load(), lost.load());
        if (served < 50 || (with_trouble() && endless < 5))
            return could_not_run;
        return lost > 0 ? rule_broken : rule_held;
    });
}
