// SPDX-License-Identifier: Apache-2.0
// Case 8: a cache node is out by hand. A new version is started and dies, then the upgrade is done again. Does the
// ban last over the upgrade?
#include "stage-2.hpp"

#include <array>

using namespace stage;

namespace {

constexpr double grace = 2.05; // rules.drainGraceMs, and "each time limit is 50 ms longer"
constexpr int node_count = 3;

std::array<std::atomic<int>, node_count> runs;
std::atomic<double> ban_binds_at = 1e18;
std::atomic<int> sent_to_banned = 0, served = 0, others = 0;

void serve_node(int number, connection &caller) {
    message call;
    while (caller.read(call, 5) == read_result::complete) {
        const std::string id = call.field("x-request-id");
        const bool is_banned = number == 0 && now() > ban_binds_at;
        sent_to_banned += is_banned;
        if (is_banned)
            record().line("node s-0: gets %s %s, though it is out by hand", call.target().c_str(), id.c_str());
        if (call.target() != "/ping")
            ++runs[static_cast<std::size_t>(number)];
        if (!caller.send(answer(200, call.target() == "/ping" ? "" : "value for " + id)))
            return;
    }
}

// Clients that come on new connections, as a front deals them out.
void run_client(int number, int port, const std::atomic<bool> &done) {
    for (int count = 0; !done; ++count) {
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(count);
        connection client(connect_to(port));
        message reply;
        const bool is_good = client.fd() >= 0 && client.send(request("GET", "ver-lote", "lote-" + id, id, 2000)) &&
                             client.read(reply, 4, true) == read_result::complete && reply.status() == 200;
        (is_good ? served : others)++;
        sleep_for(0.05);
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
        const int control = free_port();
        proxy first(list.port(), small_settings(), "first", control);
        std::atomic<bool> done = false;
        std::vector<std::thread> clients;
        for (int i = 0; i < 3; ++i)
            clients.emplace_back([i, &first, &done] { run_client(i, first.port(), done); });
        sleep_for(1);
        const int before = runs[0];
        const int answer_to_ban = proxy::call(control, "POST /cache-nodes/disable?target=s-0");
        ban_binds_at = now() + grace;
        record().line("operator: disable s-0 at the first process: %d", answer_to_ban);
        sleep_for(3);
        if (with_trouble()) {
            proxy second(list.port(), small_settings(), "second", free_port(), &first);
            record().line("platform: the second process says yes");
            sleep_for(0.5);
            second.stop();
            record().line("platform: the second process was killed; the first one serves on");
            sleep_for(2);
        }
        proxy third(list.port(), small_settings(), "third", free_port(), &first);
        record().line("platform: the third process says yes");
        ::kill(first.pid(), SIGTERM);
        record().line("platform: SIGTERM to the first process");
        sleep_for(3.7);
        first.stop();
        record().line("platform: SIGKILL to the first process");
        sleep_for(3);
        done = true;
        for (auto &client : clients)
            client.join();
        record().line("summary: nodes ran %d, %d, %d; %d served, %d not; s-0 got %d requests or probes while it was out",
                      runs[0].load(), runs[1].load(), runs[2].load(), served.load(), others.load(),
                      sent_to_banned.load());
        if (answer_to_ban != 200 || before == 0 || served < 100)
            return could_not_run;
        return sent_to_banned > 0 ? rule_broken : rule_held;
    });
}
