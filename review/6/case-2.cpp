// SPDX-License-Identifier: Apache-2.0
// Case 6: cache nodes send some answers twice, the second copy some milliseconds later and only while nothing
// waits on the connection. Does each client get the answer that was made for its request?
#include "stage-2.hpp"

using namespace stage;

namespace {

constexpr double one_way = 0.002;      // s; the brief's plantas: 1.4 to 2.6 ms one way
constexpr double second_copy_share = 0.03;
constexpr int node_count = 3, client_count = 6;
constexpr double run_time = 20; // s

std::atomic<int> runs = 0, copies = 0, good = 0, foreign = 0, others = 0;

void serve_node(const std::string &id, connection &caller) {
    thread_local std::minstd_rand random(std::hash<std::string>{}(id) + static_cast<unsigned>(runs.load()));
    const auto fraction = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    message call;
    while (caller.read(call, 5) == read_result::complete) { // idle connections close after connIdleMs
        if (call.target() == "/ping") {
            caller.send(answer(200, ""));
            continue;
        }
        ++runs;
        sleep_for(0.002 + 0.004 * fraction());
        const std::string text = answer(200, "value of " + call.target() + " for " + call.field("x-request-id"),
                                        "X-Cache: hit\r\n");
        if (!caller.send(text))
            return;
        if (!with_trouble() || fraction() >= second_copy_share)
            continue;
        if (is_readable(caller.fd(), 0.001 + 0.005 * fraction()) || caller.has_buffered())
            continue; // a request waits on the connection: no second copy
        ++copies;
        record().line("node %s: second copy of the answer to %s", id.c_str(), call.field("x-request-id").c_str());
        if (!caller.send(text))
            return;
    }
}

void run_client(int number, int port, double until) {
    std::minstd_rand random(static_cast<unsigned>(number) + 1);
    const auto fraction = [&] { return std::uniform_real_distribution<>(0, 1)(random); };
    auto link = std::make_unique<connection>(connect_to(port));
    for (int count = 0; now() < until; ++count) {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(count);
        const std::string key = std::to_string(static_cast<int>(fraction() * 200));
        const std::string expected = "value of /ver-lote/" + key + " for " + id;
        message reply;
        link->send(request("GET", "ver-lote", key, id, 2000));
        if (link->read(reply, 3, true) != read_result::complete) {
            ++others;
            record().line("client: %s got no whole answer", id.c_str());
            link = std::make_unique<connection>(connect_to(port));
        } else if (reply.status() != 200) {
            ++others;
            record().line("client: %s got %d", id.c_str(), reply.status());
        } else if (reply.body == expected) {
            ++good;
        } else {
            ++foreign;
            record().line("client: %s asked for %s and was served \"%s\"", id.c_str(), key.c_str(),
                          reply.body.c_str());
        }
        if (reply.field("connection") == "close")
            link = std::make_unique<connection>(connect_to(port));
        sleep_for(0.02 * fraction());
    }
}

} // namespace

int main() {
    return run([] {
        discovery list;
        std::vector<std::unique_ptr<server>> nodes;
        std::vector<std::unique_ptr<stage::link>> links;
        for (int i = 0; i < node_count; ++i) {
            const std::string id = "s-" + std::to_string(i);
            nodes.push_back(std::make_unique<server>([id](connection &caller) { serve_node(id, caller); }));
            links.push_back(std::make_unique<stage::link>(nodes.back()->port(), one_way));
            list.set(id, links.back()->port());
        }
        proxy balancer(list.port(), small_settings());
        std::vector<std::thread> clients;
        for (int i = 0; i < client_count; ++i)
            clients.emplace_back(run_client, i, balancer.port(), now() + run_time);
        for (auto &client : clients)
            client.join();
        record().line("nodes ran %d requests and sent %d second copies", runs.load(), copies.load());
        record().line("clients: %d served with their own answer, %d with another one, %d refused or failed",
                      good.load(), foreign.load(), others.load());
        if (good < 500 || (with_trouble() && copies < 20))
            return could_not_run;
        return foreign > 0 ? rule_broken : rule_held;
    });
}
