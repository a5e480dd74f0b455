// SPDX-License-Identifier: Apache-2.0
// Under load, the file of the configuration is replaced and the proxy gets SIGHUP, twice in quick succession, every
// tenth of a second. The proxy must not end.
#include "../stage.hpp"

using namespace stage;

namespace {

constexpr int node_count = 4, client_count = 4;
constexpr double length = 90;       // s, at most
constexpr int in_a_row = 2;         // new configurations, one after the other
constexpr double gaps[] = {0.00003, 0.00005, 0.00007, 0.00009, 0.00012}; // s between them, in turn
constexpr double single_gap = 0.1; // s between pairs; with TROUBLE=0 between single configurations
constexpr double work = 0.020;

std::atomic<bool> stop{false};

void serve_node(int node, int fd) {
    reader requests(fd);
    for (message request; requests.read(request, 1e9) == got::whole;) {
        if (request.target() != "/ping") {
            record("node s-%d run %s", node, request.field("x-request-id").c_str());
            pause_for(work);
        }
        if (!write_whole(fd, response(200, "made for " + request.field("x-request-id") + "\n", "X-Cache: hit\r\n")))
            return;
    }
}

void run_client(int number, int port, std::atomic<long> &served, std::atomic<long> &others) {
    for (long i = 0; !stop; ++i) {
        const int fd = dial(port);
        if (fd < 0) {
            record("client %d can't connect", number);
            return;
        }
        reader answers(fd);
        for (int turn = 0; turn < 5 && !stop; ++turn) {
            char id[48], text[512];
            snprintf(id, sizeof id, "c%d-%ld-%d", number, i, turn);
            snprintf(text, sizeof text,
                     "GET /ver-lote/%ld HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: ver-lote\r\n"
                     "X-Tenant: hoteles-plata\r\nX-Deadline: 3000m\r\n\r\n",
                     (number * 37 + i * 5 + turn) % 300, id);
            message answer;
            const got what = write_whole(fd, text) ? answers.read(answer, now() + 4) : got::reset;
            ++(what == got::whole && answer.status() == 200 ? served : others);
            if (what != got::whole || answer.status() != 200)
                record("client %d %s: %d (%s)", number, id, answer.status(), name_of(what));
            if (what != got::whole || answer.field("connection") == "close")
                break;
        }
        close(fd);
    }
}

} // namespace

int main(int count, char **values) {
    const frame stage_frame = begin(count, values);
    discovery agent;
    for (int node = 0; node < node_count; ++node) {
        const int listener = listen_on();
        agent.add({"s-" + std::to_string(node), port_of(listener)});
        serve_connections(listener, [node](int fd) { serve_node(node, fd); });
    }
    agent.start();
    deployment d;
    d.listen = free_port();
    d.control = free_port();
    const string file = stage_frame.folder + "/config.json";
    // The configurations in turn differ in the grace of the drain.
    string texts[2];
    for (int i = 0; i < 2; ++i) {
        d.drain_grace_ms = 2000 + 100 * i;
        texts[i] = configuration(d, agent.port(), agent.whole_list());
    }
    write_file(file, texts[0]);
    const pid_t proxy = start_proxy(stage_frame.run_command, file, at(d.control), stage_frame.folder,
                                    stage_frame.folder + "/proxy.log");
    await_healthy(d.listen);
    std::atomic<long> served{0}, others{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < client_count; ++number)
        clients.emplace_back([&, number] { run_client(number, d.listen, served, others); });
    pause_for(1.5); // never in its first second
    const double from = now();
    long signals = 0;
    int status = 0;
    bool ended = false;
    size_t pair = 0;
    while (!ended && now() < from + (stage_frame.trouble ? length : 20)) {
        for (int i = 0; i < (stage_frame.trouble ? in_a_row : 1); ++i) {
            write_file(file, texts[++signals % 2]);
            kill(proxy, SIGHUP);
            for (const double until = now() + gaps[pair % std::size(gaps)]; now() < until;) {
            }
        }
        ++pair;
        record("%ld new configurations so far", signals);
        for (const double until = now() + single_gap; !ended && now() < until; pause_for(0.01))
            ended = has_ended(proxy, status);
    }
    stop = true;
    if (ended) {
        std::erase(children, proxy);
        record("BROKEN: the proxy has ended, by signal %d, status %d, after %ld new configurations",
               WIFSIGNALED(status) ? WTERMSIG(status) : 0, WIFEXITED(status) ? WEXITSTATUS(status) : 0, signals);
    }
    for (auto &client : clients)
        client.join();
    record("end: %ld new configurations in %.1f s, served %ld, others %ld", signals, now() - from, served.load(),
           others.load());
    printf("%ld new configurations in %.1f s, served %ld, others %ld%s\n", signals, now() - from, served.load(),
           others.load(), ended ? ", THE PROXY HAS CRASHED" : "");
    if (served < 50)
        give_up("too few requests");
    leave(ended ? 1 : 0);
}
