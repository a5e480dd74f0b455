// SPDX-License-Identifier: Apache-2.0
#include "testbed/load/client_connections.hpp"

#include "testbed/model/ids.hpp"

#include <algorithm>
#include <charconv>

namespace harrierpass::testbed {

client_connections::client_connections(loop &in, const experiment &given, load_generator &generator,
                                       observer &checker, index proxies)
    : loop_(in), experiment_(given), generator_(generator), checker_(checker), proxies_(proxies) {
    generator_.is_reachable = [this](index proxy) {
        return proxies_.at(proxy).at.has_value() || may_use_open(proxy);
    };
    generator_.send = [this](const client_request &query) { send(query, false); };
    generator_.abandon = [this](const client_request &query) { abandon(query); };
}

// A proxy that is sent nobody new any more is used on the connections that are open, until they end.
bool client_connections::may_use_open(index proxy) {
    auto &idle = proxies_.at(proxy).idle;
    std::erase_if(idle, [](const auto &each) { return !each->open(); });
    return !idle.empty();
}

void client_connections::set_proxy_address(index proxy, const std::optional<address> &at) {
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
        on_connection_ended(each, channel::ending::reset);
    }
}

std::string client_connections::request_text(const client_request &query) const {
    const auto &use = experiment_.use_cases[query.use_case];
    const std::string id = to_request_id(query.op, query.attempt);
    std::string text = query.write ? "PUT /" : "GET /";
    text.append(use.name);
    if (query.keyed)
        text.append("/").append(std::to_string(query.key));
    text.append(" HTTP/1.1\r\nHost: lab\r\nX-Request-Id: ").append(id);
    text.append("\r\nX-Class: ").append(use.name);
    if (query.tenant != none)
        text.append("\r\nX-Tenant: ").append(experiment_.tenants[query.tenant].name);
    const double left = std::max(0.001, query.end - loop_.precise_now());
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

void client_connections::send(const client_request &query, bool resent) {
    auto &to = proxies_[query.proxy];
    std::shared_ptr<channel> on;
    while (!to.idle.empty() && !on && !resent) {
        on = std::move(to.idle.back());
        to.idle.pop_back();
        if (!on->open())
            on.reset();
    }
    if (!on) {
        tcp_socket socket = start_dial(*to.at);
        if (!socket) { // for want of descriptors here: the proxy has nothing to do with it
            loop_.clock.after(0, [this, query] {
                checker_.request_not_accepted(query.op, query.attempt);
                generator_.answered(query.op, query.attempt, reply::cut, 0, false);
            });
            return;
        }
        ++connects_;
        on = std::make_shared<channel>(loop_, std::move(socket), http_reader::message_kind::response);
        on->tag = next_++;
        on->on_message = [this](const auto &from, const http_reader &answer) { on_response(from, answer); };
        on->on_end = [this](const auto &from, channel::ending how) { on_connection_ended(from, how); };
        on->start(true);
        open_[on->tag] = {on, query.proxy, {}, {}};
    }
    auto &of = open_.at(on->tag);
    of.pending = pending_response{query, resent, loop_.clock.now()};
    of.last = query;
    tag_of_operation_[query.op] = on->tag;
    on->send(request_text(query));
}

void client_connections::on_response(const std::shared_ptr<channel> &on, const http_reader &answer) {
    auto &of = open_.at(on->tag);
    const auto &head = answer.head();
    if (!of.pending) { // more than was asked for
        checker_.response_received(of.last.op, of.last.attempt, reply::completed, true);
        return close(on);
    }
    const client_request query = of.pending->of;
    of.pending.reset();
    tag_of_operation_.erase(query.op);
    const reply how = head.status == 200                         ? reply::completed
                      : head.status == 503 || head.status == 429 ? reply::rejected
                                                                 : reply::aborted;
    double retry_after = 0;
    const auto wait = head.header("Retry-After");
    std::from_chars(wait.data(), wait.data() + wait.size(), retry_after);
    const bool fits = how != reply::completed ||
                      answer.body().find("\"query\":\"" + to_request_id(query.op, query.attempt) + "\"") !=
                          std::string_view::npos;
    const bool keeps = head.keeps_alive() && answer.pipelined_bytes().empty();
    // Guards the rule checker's sight: a second answer may come with the first in one read.
    if (!answer.pipelined_bytes().empty())
        checker_.response_received(query.op, query.attempt, how, fits);
    if (keeps)
        proxies_[of.proxy].idle.push_back(on);
    else
        close(on);
    generator_.answered(query.op, query.attempt, how, retry_after, fits);
}

void client_connections::on_connection_ended(const std::shared_ptr<channel> &on, channel::ending how) {
    const auto found = open_.find(on->tag);
    if (found == open_.end())
        return;
    const connection of = found->second;
    open_.erase(found);
    std::erase(proxies_[of.proxy].idle, on);
    if (!of.pending)
        return;
    const client_request query = of.pending->of;
    tag_of_operation_.erase(query.op);
    const bool has_address = proxies_[query.proxy].at.has_value();
    // A connection that ends between two queries may cross one that was not read: it is sent once more.
    const bool crossed = on->messages > 0 && !on->has_partial_message() && !of.pending->resent &&
                         how != channel::ending::malformed &&
                         !link_impaired_since(query.proxy, of.pending->sent);
    if (crossed && has_address)
        return send(query, true);
    // Its proxy has gone: the client asks elsewhere, and lost it is only if it had been read.
    if (crossed || how == channel::ending::failed)
        checker_.request_not_accepted(query.op, query.attempt);
    generator_.answered(query.op, query.attempt, reply::cut, 0, false);
}

void client_connections::abandon(const client_request &query) {
    const auto found = tag_of_operation_.find(query.op);
    if (found == tag_of_operation_.end())
        return;
    const auto on = open_.at(found->second).on;
    tag_of_operation_.erase(found);
    close(on);
}

void client_connections::close(const std::shared_ptr<channel> &on) {
    on->end(false);
    open_.erase(on->tag);
}

} // namespace harrierpass::testbed
