// SPDX-License-Identifier: Apache-2.0
// Case 7: a cache node turns a long upload away before the body has come, and keeps the connection alive. What
// does the proxy write next on that connection? The next client's value contains the text of a request.
#include "stage-2.hpp"

using namespace stage;

namespace {

constexpr int rounds = 6;
constexpr std::size_t upload_size = 100000; // bytes; bodies of up to 32 MB occur
constexpr std::size_t upload_piece = 16000;
constexpr double upload_rate = 64000; // bytes/s, the rate at which a client may send a body
std::mutex lock;
std::map<std::string, std::string> sent;      // target by id, of what clients sent
std::map<std::string, int> run_count;         // by id, what the node ran
std::atomic<int> unsent_runs = 0, turned_away = 0, foreign = 0, not_run = 0;

bool is_upload(const message &call) {
    return std::strtoull(call.field("content-length").c_str(), nullptr, 10) > 65536;
}

// The node is sound: it refuses the upload because its queue is full, and then reads the rest of the body that
// the request's head announced. Without the trouble it refuses when the body has come.
void serve_node(connection &caller) {
    message call;
    for (;;) {
        const auto head = caller.read_head(call, 5);
        if (head != read_result::complete) {
            if (head == read_result::malformed)
                record().line("node: closes, cannot read \"%.60s\"", call.first_line.c_str());
            return;
        }
        if (call.target() == "/ping") {
            caller.send(answer(200, ""));
            continue;
        }
        const std::string id = call.field("x-request-id");
        const bool refused = is_upload(call);
        const std::string refusal = answer(503, "", "X-Not-Run: 1\r\n");
        if (refused && with_trouble()) {
            record().line("node: turns %s away, queue full, before its body has come", id.c_str());
            caller.send(refusal);
        }
        if (caller.read_body(call, 30) != read_result::complete) {
            record().line("node: the body of %s never came whole", id.c_str());
            return;
        }
        if (refused) {
            ++turned_away;
            record().line("node: the body of %s is whole", id.c_str());
            if (!with_trouble())
                caller.send(refusal);
            continue;
        }
        const std::lock_guard guard(lock);
        ++run_count[id];
        const auto found = sent.find(id);
        const bool was_sent = found != sent.end() && found->second == call.method() + " " + call.target();
        unsent_runs += !was_sent;
        record().line("node: ran %s %s id %s%s", call.method().c_str(), call.target().c_str(), id.c_str(),
                      was_sent ? "" : ", WHICH NO CLIENT SENT");
        caller.send(answer(200, "done " + id));
    }
}

std::string put(const std::string &class_name, const std::string &key, const std::string &id,
                const std::string &body) {
    const std::lock_guard guard(lock);
    sent[id] = "PUT /" + class_name + "/" + key;
    return request("PUT", class_name, key, id, 4000, "Idempotency-Key: k-" + id + "\r\n", body);
}

void await_reply(connection &client, const std::string &id, bool is_value) {
    message reply;
    const auto result = client.read(reply, 6, true);
    record().line("client: %s got %s %d \"%s\"", id.c_str(),
                  result == read_result::complete ? "answer" : "no answer", reply.status(), reply.body.c_str());
    if (result != read_result::complete || reply.status() != 200 || !is_value)
        return;
    foreign += reply.body != "done " + id;
    const std::lock_guard guard(lock);
    if (run_count[id] == 0) {
        ++not_run;
        record().line("client: %s was told 200, and no node ran it", id.c_str());
    }
}

void play_round(int port, int number) {
    const std::string name = std::to_string(number);
    connection uploader(connect_to(port)), writer(connect_to(port));
    const std::string upload = put("alta-retiro", "cart-" + name, "upload-" + name, std::string(upload_size, 'x'));
    for (std::size_t at = 0; at < upload.size(); at += upload_piece) {
        uploader.send(upload.substr(at, upload_piece));
        if (is_readable(uploader.fd(), static_cast<double>(upload_piece) / upload_rate))
            break; // the client has its answer and sends no more
    }
    await_reply(uploader, "upload-" + name, false);
    uploader.close();
    // A value as any client may store it: empty lines, and the text of a request that nobody sent.
    std::string value;
    while (value.size() < 50000)
        value += "\r\n";
    value += "PUT /cierre-entrega/bill-" + name + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: ghost-" + name +
             "\r\nX-Class: cierre-entrega\r\nX-Tenant: posadas-sur\r\nContent-Length: 0\r\n\r\n";
    writer.send(put("alta-retiro", "lot-" + name, "value-" + name, value));
    await_reply(writer, "value-" + name, true);
}

} // namespace

int main() {
    return run([] {
        server node(serve_node);
        discovery list;
        list.set("s-0", node.port());
        proxy balancer(list.port(), small_settings());
        for (int i = 0; i < rounds; ++i) {
            play_round(balancer.port(), i);
            sleep_for(0.3);
        }
        record().line("%d requests ran that no client sent; %d clients were served with another answer; %d were "
                      "told 200 for a write that no node ran",
                      unsent_runs.load(), foreign.load(), not_run.load());
        if (run_count.empty())
            return could_not_run;
        return unsent_runs + foreign + not_run > 0 ? rule_broken : rule_held;
    });
}
