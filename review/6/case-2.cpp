// SPDX-License-Identifier: Apache-2.0
// Case 6: during an upgrade a bad client sends the requests that other clients have open, under their ids. Does an
// at-most-once write run twice, and is the bad client served?
#include "stage-2.hpp"

using namespace stage;

namespace {

constexpr int writes = 6;
std::mutex lock;
std::map<std::string, int> run_count; // by id, of the at-most-once class
std::atomic<int> served = 0, not_served = 0, bad_served = 0, bad_refused = 0;

void serve_node(int number, connection &caller) {
    message call;
    while (caller.read(call, 5) == read_result::complete) {
        const std::string id = call.field("x-request-id");
        if (call.class_name() == "cierre-entrega") {
            std::unique_lock guard(lock);
            const int count = ++run_count[id];
            guard.unlock();
            record().line("node s-%d: runs %s %s id %s%s", number, call.method().c_str(), call.target().c_str(),
                          id.c_str(), count > 1 ? ", A SECOND TIME" : "");
            sleep_for(0.26); // the brief's mean work: 140 to 260 ms
        }
        if (!caller.send(answer(200, call.target() == "/ping" ? "" : "done " + id)))
            return;
    }
}

std::string write_of(int number) {
    const std::string text = std::to_string(number);
    return request("PUT", "cierre-entrega", "entrega-" + text, "write-" + text, 4000, "", "billed");
}

int status_of(connection &client) {
    message reply;
    return client.read(reply, 6, true) == read_result::complete ? reply.status() : 0;
}

} // namespace

int main() {
    return run([] {
        discovery list;
        std::vector<std::unique_ptr<server>> nodes;
        for (int i = 0; i < 3; ++i) {
            nodes.push_back(std::make_unique<server>([i](connection &caller) { serve_node(i, caller); }));
            list.set("s-" + std::to_string(i), nodes.back()->port());
        }
        proxy first(list.port(), small_settings(), "first", free_port());
        // The clients keep connections, which lead to the first process.
        std::vector<std::unique_ptr<connection>> clients;
        for (int i = 0; i < writes; ++i) {
            clients.push_back(std::make_unique<connection>(connect_to(first.port())));
            clients.back()->send(request("GET", "ver-lote", "lote", "read-" + std::to_string(i), 4000));
            if (status_of(*clients.back()) != 200)
                return could_not_run;
        }
        std::optional<proxy> second;
        if (with_trouble()) {
            second.emplace(list.port(), small_settings(), "second", free_port(), &first);
            record().line("platform: the second process says yes");
            ::kill(first.pid(), SIGTERM);
            record().line("platform: SIGTERM to the first process");
        }
        std::vector<std::thread> threads;
        for (int i = 0; i < writes; ++i)
            threads.emplace_back([i, &clients] {
                auto &client = *clients[static_cast<std::size_t>(i)];
                client.send(write_of(i));
                const int status = status_of(client);
                (status == 200 ? served : not_served)++;
                record().line("client: write-%d got %d", i, status);
            });
        sleep_for(0.05);
        for (int i = 0; i < writes; ++i)
            threads.emplace_back([i, port = first.port()] {
                connection client(connect_to(port));
                client.send(write_of(i));
                const int status = status_of(client);
                (status == 200 ? bad_served : bad_refused)++;
                record().line("bad client: write-%d, which is open for another client, got %d", i, status);
            });
        for (auto &thread : threads)
            thread.join();
        int twice = 0;
        for (const auto &[id, count] : run_count)
            twice += count > 1;
        record().line("summary: %zu writes, %d ran twice; clients: %d served, %d not; bad client: %d served, %d refused",
                      run_count.size(), twice, served.load(), not_served.load(), bad_served.load(),
                      bad_refused.load());
        if (served == 0)
            return could_not_run;
        return twice > 0 || bad_served > 0 ? rule_broken : rule_held;
    });
}
