// SPDX-License-Identifier: Apache-2.0
#include "testbed/load/client_port.hpp"

#include "testbed/model/ids.hpp"

#include <algorithm>
#include <charconv>

namespace harrierpass::testbed {

client_port::client_port(loop &in, const experiment &given, clients &people, observer &judge, index proxies)
    : loop_(in), given_(given), people_(people), judge_(judge), proxies_(proxies) {
    people_.there = [this](index proxy) { return proxies_.at(proxy).at.has_value() || may_use_open(proxy); };
    people_.send = [this](const asking &query) { put(query, false); };
    people_.leave = [this](const asking &query) { leave(query); };
}

// A proxy that is sent nobody new any more is used on the connections that are open, until they end.
bool client_port::may_use_open(index proxy) {
    auto &idle = proxies_.at(proxy).idle;
    std::erase_if(idle, [](const auto &each) { return !each->open(); });
    return !idle.empty();
}

void client_port::place(index proxy, const std::optional<address> &at) {
    auto &to = proxies_.at(proxy);
    to.at = at;
    to.idle.clear();
    if (at)
        return;
    std::vector<std::shared_ptr<channel>> gone;
    for (const auto &[tag, each] : open_)
        if (each.proxy == proxy)
            gone.push_back(each.on);
    std::sort(gone.begin(), gone.end(), [](const auto &one, const auto &two) { return one->tag < two->tag; });
    for (const auto &each : gone) {
        each->end(false);
        ended(each, channel::ending::reset);
    }
}

std::string client_port::text_of(const asking &query) const {
    const auto &use = given_.use_cases[query.use_case];
    const std::string id = to_id(query.op, query.attempt);
    std::string text = query.write ? "PUT /" : "GET /";
    text.append(use.name);
    if (query.keyed)
        text.append("/").append(std::to_string(query.key));
    text.append(" HTTP/1.1\r\nHost: lab\r\nX-Request-Id: ").append(id);
    text.append("\r\nX-Class: ").append(use.name);
    if (query.tenant != none)
        text.append("\r\nX-Tenant: ").append(given_.tenants[query.tenant].name);
    const double left = std::max(0.001, query.end - loop_.clock.now());
    text.append("\r\nX-Deadline: ").append(std::to_string(static_cast<long>(left * 1e6))).append("u\r\n");
    if (query.attempt > 0)
        text.append("X-Retry: 1\r\n");
    if (use.routing.effect == effect_kind::deduplicated)
        text.append("Idempotency-Key: k").append(std::to_string(query.op)).append("\r\n");
    const std::string body = query.write ? "by " + id : "";
    if (query.write)
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

void client_port::put(const asking &query, bool again) {
    auto &to = proxies_[query.proxy];
    std::shared_ptr<channel> on;
    while (!to.idle.empty() && !on && !again) {
        on = std::move(to.idle.back());
        to.idle.pop_back();
        if (!on->open())
            on.reset();
    }
    if (!on) {
        tcp_socket socket = dial_soon(*to.at);
        if (!socket) { // for want of descriptors here: the proxy has nothing to do with it
            loop_.clock.after(0, [this, query] {
                judge_.request_not_accepted(query.op, query.attempt);
                people_.answered(query.op, query.attempt, reply::cut, 0, false);
            });
            return;
        }
        ++dials_;
        on = std::make_shared<channel>(loop_, std::move(socket), http_reader::message_kind::response);
        on->tag = next_++;
        on->on_message = [this](const auto &from, const http_reader &answer) { message(from, answer); };
        on->on_end = [this](const auto &from, channel::ending how) { ended(from, how); };
        on->start(true);
        open_[on->tag] = {on, query.proxy, {}, {}};
    }
    auto &of = open_.at(on->tag);
    of.waits = waiting_answer{query, again, loop_.clock.now()};
    of.last = query;
    by_op_[query.op] = on->tag;
    on->send(text_of(query));
}

void client_port::message(const std::shared_ptr<channel> &on, const http_reader &answer) {
    auto &of = open_.at(on->tag);
    const auto &head = answer.head();
    if (!of.waits) { // more than was asked for
        judge_.response_received(of.last.op, of.last.attempt, reply::completed, true);
        return drop(on);
    }
    const asking query = of.waits->of;
    of.waits.reset();
    by_op_.erase(query.op);
    const reply how = head.status == 200                         ? reply::completed
                      : head.status == 503 || head.status == 429 ? reply::rejected
                                                                 : reply::aborted;
    double come_back = 0;
    const auto wait = head.header("Retry-After");
    std::from_chars(wait.data(), wait.data() + wait.size(), come_back);
    const bool fits =
        how != reply::completed ||
        answer.body().find("\"query\":\"" + to_id(query.op, query.attempt) + "\"") != std::string_view::npos;
    const bool keeps = head.keeps_alive() && answer.pipelined_bytes().empty();
    // Guards the referee's sight: a second answer may come with the first in one read.
    if (!answer.pipelined_bytes().empty())
        judge_.response_received(query.op, query.attempt, how, fits);
    if (keeps)
        proxies_[of.proxy].idle.push_back(on);
    else
        drop(on);
    people_.answered(query.op, query.attempt, how, come_back, fits);
}

void client_port::ended(const std::shared_ptr<channel> &on, channel::ending how) {
    const auto found = open_.find(on->tag);
    if (found == open_.end())
        return;
    const connection of = found->second;
    open_.erase(found);
    std::erase(proxies_[of.proxy].idle, on);
    if (!of.waits)
        return;
    const asking query = of.waits->of;
    by_op_.erase(query.op);
    const bool there = proxies_[query.proxy].at.has_value();
    // A connection that ends between two queries may cross one that was not read: it is sent once more.
    const bool crossed = on->messages > 0 && !on->heard() && !of.waits->again &&
                         how != channel::ending::malformed && !troubled(query.proxy, of.waits->sent);
    if (crossed && there)
        return put(query, true);
    // Its proxy has gone: the client asks elsewhere, and lost it is only if it had been read.
    if (crossed || how == channel::ending::failed)
        judge_.request_not_accepted(query.op, query.attempt);
    people_.answered(query.op, query.attempt, reply::cut, 0, false);
}

void client_port::leave(const asking &query) {
    const auto found = by_op_.find(query.op);
    if (found == by_op_.end())
        return;
    const auto on = open_.at(found->second).on;
    by_op_.erase(found);
    drop(on);
}

void client_port::drop(const std::shared_ptr<channel> &on) {
    on->end(false);
    open_.erase(on->tag);
}

} // namespace harrierpass::testbed
