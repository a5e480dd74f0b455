// SPDX-License-Identifier: Apache-2.0
// One of six cache nodes hangs for 12 s (it is stopped: it takes connections and bytes, and answers nothing). Clients
// write bodies of some MB for keys of that node. A request counts once its last byte is written.
#include "../stage.hpp"

#include <set>

using namespace stage;

namespace {

constexpr int node_count = 6;
constexpr double hang = 12;        // s
constexpr double client_time = 2;  // s, X-Deadline
constexpr double late_slack = 0.5; // s after its time within which an answer earns nothing and is not lost
constexpr double socket_slack = 0.05;
constexpr double work = 0.020;
constexpr double sizes_mb[] = {4, 5, 6, 8};

// A cache node in a process of its own.
pid_t start_node(int listener, int node) {
    const pid_t child = fork();
    if (child != 0) {
        children.push_back(child);
        return child;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (;;) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        std::thread([fd, node] {
            reader requests(fd);
            for (message request; requests.read(request, 1e9) == got::whole;) {
                const bool probe = request.target() == "/ping";
                if (!probe) {
                    pause_for(work);
                    record("node s-%d run %s, body of %zu bytes", node, request.field("x-request-id").c_str(),
                           request.body.size());
                }
                if (!write_whole(fd, response(200, "made for " + request.field("x-request-id") + "\n",
                                              "X-Cache: hit\r\nX-Node: s-" + std::to_string(node) + "\r\n")))
                    break;
            }
            close(fd);
        }).detach();
    }
}

struct write_result {
    bool written = false; // its last byte was written
    bool lost = false;
};

write_result put(int port, const string &id, const string &key, size_t size, double last_look) {
    write_result result;
    const int fd = dial(port);
    if (fd < 0)
        return result;
    const string head = "PUT /alta-retiro/" + key + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id +
                        "\r\nX-Class: alta-retiro\r\nX-Tenant: hoteles-plata\r\nIdempotency-Key: k" + id +
                        "\r\nX-Deadline: " + std::to_string(static_cast<int>(client_time * 1000)) +
                        "m\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    record("client sends %s for key %s, body of %zu bytes", id.c_str(), key.c_str(), size);
    // A client that can't write its body within 10 s gives up: it was never taken.
    timeval limit{10, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    result.written = write_whole(fd, head + string(size, 'x'));
    const double sent = now();
    if (!result.written) {
        record("client could not write the whole of %s", id.c_str());
        close(fd);
        return result;
    }
    record("client wrote the last byte of %s", id.c_str());
    reader answers(fd);
    message answer;
    const double due = sent + client_time + late_slack + socket_slack;
    got what = answers.read(answer, due);
    result.lost = what != got::whole;
    record("client %s: %s %d after %.3f s%s", id.c_str(), what == got::whole ? "answered" : name_of(what),
           answer.status(), now() - sent, result.lost ? " LOST" : "");
    if (what == got::late) {
        what = answers.read(answer, last_look);
        record("client %s: looked on until %.3f s after its last byte: %s %d", id.c_str(), now() - sent,
               name_of(what), answer.status());
    }
    close(fd);
    return result;
}

} // namespace

int main(int count, char **values) {
    const frame stage_frame = begin(count, values);
    discovery agent;
    std::vector<pid_t> nodes;
    for (int node = 0; node < node_count; ++node) {
        const int listener = listen_on();
        agent.add({"s-" + std::to_string(node), port_of(listener)});
        nodes.push_back(start_node(listener, node));
    }
    agent.start();
    deployment d;
    d.listen = free_port();
    d.control = free_port();
    const string file = stage_frame.folder + "/config.json";
    write_file(file, configuration(d, agent.port(), agent.whole_list()));
    const pid_t proxy = start_proxy(stage_frame.run_command, file, at(d.control), stage_frame.folder,
                                    stage_frame.folder + "/proxy.log");
    await_healthy(d.listen);

    // Reads tell which keys node s-0 serves.
    std::vector<string> keys;
    const int fd = dial(d.listen);
    reader answers(fd);
    for (int key = 0; key < 400 && keys.size() < std::size(sizes_mb); ++key) {
        const string id = "read" + std::to_string(key);
        write_whole(fd, "GET /ver-lote/" + std::to_string(key) + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id +
                            "\r\nX-Class: ver-lote\r\nX-Tenant: posadas-sur\r\nX-Deadline: 3000m\r\n\r\n");
        message answer;
        if (answers.read(answer, now() + 4) != got::whole || answer.status() != 200)
            give_up("a read before the disruption was not served");
        if (answer.field("x-node") == "s-0")
            keys.push_back(std::to_string(key));
    }
    close(fd);
    if (keys.size() < std::size(sizes_mb))
        give_up("too few keys of s-0");

    if (stage_frame.trouble) {
        kill(nodes[0], SIGSTOP);
        record("s-0 hangs");
    }
    const double hung_at = now();
    pause_for(0.05);
    std::vector<std::thread> clients;
    std::atomic<int> written{0}, lost{0};
    for (size_t i = 0; i < std::size(sizes_mb); ++i)
        clients.emplace_back([&, i] {
            const auto result = put(d.listen, "write" + std::to_string(i), keys[i],
                                    static_cast<size_t>(sizes_mb[i] * 1024 * 1024), hung_at + hang + 4);
            written += result.written;
            lost += result.lost;
        });
    pause_for(hang);
    if (stage_frame.trouble) {
        kill(nodes[0], SIGCONT);
        record("s-0 goes on");
    }
    for (auto &client : clients)
        client.join();
    int status = 0;
    if (has_ended(proxy, status))
        give_up("the proxy has ended");
    record("end: written whole %d, of these lost %d", written.load(), lost.load());
    printf("written whole %d, of these lost %d\n", written.load(), lost.load());
    if (written == 0)
        give_up("no request was written whole");
    leave(lost > 0 ? 1 : 0);
}
