// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/server_port.hpp"

#include "router/router.hpp"
#include "testbed/model/ids.hpp"
#include "testbed/processes/answers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace harrierpass::testbed {
namespace {

constexpr double idle_check_period = 0.5;       // s between looks for idle connections
constexpr std::size_t backlog_filler_count = 4; // connections that fill a backlog of nothing

} // namespace

server_port::server_port(loop &in, fleet &of, index number, const address &at)
    : loop_(in), fleet_(of), number_(number) {
    listening_ = must_listen(at);
    at_ = local_address(listening_);
    listening_.close();
    if (number_ < fleet_.size()) {
        incarnation_ = fleet_.at(number_).incarnation();
        fleet_.at(number_).on_change = [this] { update_from_model(); };
    }
    update_from_model();
    loop_.clock.after(idle_check_period, [this, here = std::weak_ptr(lifetime_)] {
        if (!here.expired())
            close_idle_connections();
    });
}

server_port::~server_port() {
    if (listening_)
        loop_.forget(listening_.get());
    if (number_ < fleet_.size())
        fleet_.at(number_).on_change = {};
}

void server_port::listen() {
    listening_ = must_listen(at_);
    loop_.watch(listening_.get(), EPOLLIN, [this](std::uint32_t) { accept(); });
}

void server_port::update_from_model() {
    const bool is_server = number_ < fleet_.size();
    const bool up = !is_server || fleet_.at(number_).up();
    const bool silent = is_server && fleet_.at(number_).silent();
    if (is_server && (incarnation_ != fleet_.at(number_).incarnation() || !up) && !silent) {
        incarnation_ = fleet_.at(number_).incarnation();
        const auto all = std::move(open_);
        open_.clear();
        for (const auto &[tag, each] : all) {
            on_attempt_over(tag);
            each->end(true);
            connection(false);
        }
    }
    if (!up && !silent && listening_) {
        set_backlog_full(false);
        loop_.forget(listening_.get());
        listening_.close();
    }
    if (up && !listening_)
        listen();
    if (listening_)
        set_backlog_full(silent);
    std::vector<std::shared_ptr<channel>> all; // one that was closed meanwhile leaves open_
    for (const auto &[tag, each] : open_)
        all.push_back(each);
    for (const auto &each : all)
        each->set_frozen(silent);
}

// A machine that is gone accepts nothing and refuses nothing: with its backlog full, the system here drops
// what would connect.
void server_port::set_backlog_full(bool begins) {
    if (begins == !backlog_fillers_.empty())
        return;
    if (!begins) {
        backlog_fillers_.clear();
        ::listen(listening_.get(), 128);
        return;
    }
    loop_.change(listening_.get(), 0);
    ::listen(listening_.get(), 0);
    for (std::size_t i = 0; i < backlog_filler_count; ++i)
        backlog_fillers_.push_back(start_dial(at_));
}

void server_port::accept() {
    if (!backlog_fillers_.empty())
        return;
    loop_.change(listening_.get(), EPOLLIN);
    address peer;
    for (tcp_socket one; (one = accept_on(listening_, peer));) {
        const auto made =
            std::make_shared<channel>(loop_, std::move(one), http_reader::message_kind::request);
        made->tag = next_++;
        made->used = loop_.clock.now();
        made->on_message = [this](const auto &on, const http_reader &request) { message(on, request); };
        made->on_end = [this](const auto &on, channel::ending) {
            on_attempt_over(on->tag);
            if (open_.erase(on->tag) > 0)
                connection(false);
        };
        made->on_peer_closed_while_frozen = [this](const auto &on) { on_attempt_over(on->tag); };
        open_[made->tag] = made;
        connection(true);
        made->start(false);
    }
}

void server_port::connection(bool begins) {
    if (begins && number_ < fleet_.size())
        fleet_.at(number_).on_connection_opened();
    if (on_connection)
        on_connection(number_, begins);
}

void server_port::on_attempt_over(std::uint64_t tag) {
    if (const auto found = in_flight_.find(tag); found != in_flight_.end()) {
        fleet_.event_observer.attempt_ended(found->second.op, found->second.attempt, number_);
        in_flight_.erase(found);
    }
}

void server_port::message(const std::shared_ptr<channel> &on, const http_reader &request) {
    const auto &head = request.head();
    on->used = loop_.clock.now();
    if (head.target == "/ping") {
        if (number_ < fleet_.size() && !fleet_.at(number_).answers_health_checks())
            return;
        return on->send(text_answer(200, {}, {}));
    }
    const std::string_view path = head.target.substr(1, head.target.find('?') - 1);
    std::string_view name = head.header("X-Class");
    if (name.empty())
        name = path.substr(0, path.find('/'));
    const auto &uses = fleet_.settings.use_cases;
    const auto use = std::find_if(uses.begin(), uses.end(),
                                  [&](const request_class_settings &each) { return each.name == name; });
    const std::string id(head.header("X-Request-Id"));
    if (id.empty() || use == uses.end())
        return on->send(text_answer(id.empty() ? 404 : 400, {}, {}));
    const auto slash = path.rfind('/');
    const std::string key(slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1));
    job what;
    std::tie(what.op, what.attempt) = parse_request_id(id);
    what.use_case = static_cast<index>(use - uses.begin());
    what.write = head.method == "PUT";
    what.keyed = !key.empty();
    const auto [end, bad] = std::from_chars(key.data(), key.data() + key.size(), what.key);
    if (bad != std::errc{} || end != key.data() + key.size())
        what.key = ring_hash(key);
    fleet_.event_observer.foreign_request_seen(what.op, what.attempt, what.use_case);
    fleet_.event_observer.attempt_received(what.op, what.attempt, number_, loop_.clock.now());
    in_flight_[on->tag] = {what.op, what.attempt};
    const auto done = [this, here = std::weak_ptr(lifetime_), weak = std::weak_ptr(on), key, id,
                       write = what.write](const result &with) {
        const auto still = weak.lock();
        if (!here.expired() && still && still->open())
            finish(still, write, key, id, with);
    };
    if (number_ < fleet_.size())
        fleet_.at(number_).receive(what, done);
    else
        fleet_.receive_at_origin(what, done);
}

void server_port::finish(const std::shared_ptr<channel> &on, bool write, std::string_view key,
                         std::string_view id, const result &with) {
    static constexpr std::array<std::string_view, 4> notes = {"", "X-Cache: hit\r\n", "X-Cache: miss\r\n",
                                                              "X-Cache: pending\r\n"};
    // Noise, a head with a length that is none, a length that never comes.
    static constexpr std::array<std::string_view, 3> noise = {
        "\x01\x02\x03 garble\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nxyz",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxyz"};
    on->used = loop_.clock.now();
    on_attempt_over(on->tag);
    const std::string_view note = notes[static_cast<std::size_t>(with.cache)];
    switch (with.outcome) {
    case result::kind::completed:
        return on->send(text_answer(200, note,
                                    "{\"key\":\"" + std::string(key) + "\",\"query\":\"" + std::string(id) +
                                        "\",\"server\":\"" +
                                        (number_ < fleet_.size() ? server_id(number_) : "origin") +
                                        (write ? "\",\"written\":true}\n" : "\"}\n")));
    case result::kind::error:
        return on->send(text_answer(500, {}, {}));
    case result::kind::queue_full:
        return on->send(text_answer(503, "X-Not-Run: 1\r\n", {}));
    case result::kind::missed:
        return on->send(text_answer(404, note, {}));
    case result::kind::malformed:
        return on->send(noise[malformed_responses_++ % noise.size()]);
    }
}

void server_port::close_idle_connections() {
    std::vector<std::shared_ptr<channel>> idle;
    const bool silent = number_ < fleet_.size() && fleet_.at(number_).silent();
    for (const auto &[tag, each] : open_)
        if (!silent && !in_flight_.contains(tag) && !each->has_partial_message() &&
            each->used + fleet_.settings.fleet.idle_timeout < loop_.clock.now())
            idle.push_back(each);
    for (const auto &each : idle) {
        each->end(false);
        if (open_.erase(each->tag) > 0)
            connection(false);
    }
    loop_.clock.after(idle_check_period, [this, here = std::weak_ptr(lifetime_)] {
        if (!here.expired())
            close_idle_connections();
    });
}

} // namespace harrierpass::testbed
