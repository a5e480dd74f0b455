// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/relay.hpp"

#include "testbed/links/socket_controls.hpp"
#include "testbed/loop/channel.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace harrierpass::testbed {
namespace {

constexpr std::size_t read_size = 65536; // bytes read at a time
constexpr std::size_t max_queued_bytes =
    262144;                                     // bytes of a direction that wait; more stay with their sender
constexpr std::uint32_t relay_net = 0x7f100000; // 127.16.0.0 and on: links' own addresses

} // namespace

relay::relay(loop &in, const link_table &table, std::uint32_t seed)
    : loop_(in), table_(table), random_(seed) {}

relay::~relay() {
    for (auto &[tag, each] : connections_)
        for (side *one : {&each->near, &each->far})
            if (one->watched)
                loop_.forget(one->socket.get());
    for (auto &[number, each] : links_)
        if (each.listening)
            loop_.forget(each.listening.get());
}

std::uint64_t relay::key(const link_id &which) {
    return (static_cast<std::uint64_t>(which.kind) << 56) | (std::uint64_t{which.near} << 28) | which.far;
}

far_state relay::far_state_of(const link_id &which) const {
    const auto found = far_.find({which.kind, which.far});
    return found == far_.end() ? far_state::up : found->second;
}

address relay::open(const link_id &which, const address &far) {
    auto &made = links_[key(which)];
    made.id = which;
    made.far = far;
    // An address of its own for each link: no connection that is made here can
    // take its port meanwhile. The process's number keeps two runs on one machine
    // apart.
    const auto place = static_cast<std::uint32_t>(links_.size());
    made.at = ipv4(relay_net + (static_cast<std::uint32_t>(::getpid() % 100) << 16) + place, 0);
    listen(made);
    made.at = local_address(made.listening);
    update_listener(made);
    return made.at;
}

void relay::set_far_address(const link_id &which, const address &far) {
    find(which).far = far;
}

void relay::listen(link &on) {
    on.listening = listen_on(on.at);
    if (!on.listening)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen for a link at " + to_text(on.at));
    on.filtered = false;
    loop_.watch(on.listening.get(), EPOLLIN, [this, which = on.id](std::uint32_t) { accept(which); });
}

void relay::close_listener(link &on) {
    loop_.forget(on.listening.get());
    on.listening.close();
}

void relay::update_listener(link &on) {
    const far_state far = far_state_of(on.id);
    if (far == far_state::refuses && on.listening)
        return close_listener(on);
    if (far == far_state::refuses)
        return;
    if (!on.listening)
        listen(on);
    const bool drops = far == far_state::silent || !table_.conditions(on.id).can_connect();
    if (drops != on.filtered)
        set_drop_filter(on.listening, drops);
    on.filtered = drops;
}

void relay::set_far_state(link_kind kind, index far, far_state is) {
    far_[{kind, far}] = is;
    for (auto &[number, each] : links_)
        if (each.id.kind == kind && each.id.far == far)
            update_listener(each);
}

void relay::accept(const link_id &which) {
    auto &on = find(which);
    address peer;
    while (on.listening) {
        tcp_socket one = accept_on(on.listening, peer);
        if (!one)
            break;
        if (table_.conditions(which).resets) {
            reset_on_close(one);
            continue;
        }
        auto made = std::make_unique<proxied_connection>();
        made->tag = next_++;
        made->of = which;
        made->near.socket = std::move(one);
        made->far.socket = start_connecting(on.far);
        made->far.connecting = true;
        if (!made->far.socket) {
            reset_on_close(made->near.socket);
            continue;
        }
        auto &of = *made;
        connections_[made->tag] = std::move(made);
        update_interest(of);
    }
}

// Which events each side waits for, from the state of both directions.
void relay::update_interest(proxied_connection &of) {
    update_interest_of(of, true);
    update_interest_of(of, false);
}

void relay::update_interest_of(proxied_connection &of, bool near) {
    side &here = near ? of.near : of.far;
    const link_conditions &now = table_.conditions(of.of);
    const direction out = near ? direction::forward : direction::backward;
    const direction in = near ? direction::backward : direction::forward;
    const byte_stream &sends = of.streams[static_cast<int>(out)], &gets = of.streams[static_cast<int>(in)];
    const bool writes = here.connecting || (!gets.chunks.empty() && !now.at(in).dropped &&
                                            gets.chunks.front().due <= loop_.clock.now());
    const bool reads = !here.connecting && !sends.sender_ended && !now.at(out).dropped &&
                       sends.queued_bytes < max_queued_bytes;
    const std::uint32_t events = (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U);
    // Nothing more can come from a side that has ended and been ended: its
    // hang-up would be told for ever.
    const bool done = here.gone || !here.socket || (sends.sender_ended && gets.end_forwarded);
    const int fd = here.socket.get();
    if (done && here.watched) {
        loop_.forget(fd);
        here.watched = false;
    } else if (!done && here.watched) {
        loop_.change(fd, events);
    } else if (!done) {
        here.watched = true;
        loop_.watch(fd, events, [this, tag = of.tag, near](std::uint32_t came_events) {
            on_events(tag, near, came_events);
        });
    }
}

void relay::on_events(std::uint64_t tag, bool near, std::uint32_t events) {
    const auto found = connections_.find(tag);
    if (found == connections_.end())
        return;
    proxied_connection &of = *found->second;
    side &here = near ? of.near : of.far;
    const direction out = near ? direction::forward : direction::backward;
    const bool broke = (events & (EPOLLERR | EPOLLHUP)) != 0;
    if (here.connecting)
        return on_connected(of);
    if (broke && table_.conditions(of.of).at(out).dropped) { // nobody can be told now
        here.gone = true;
        return update_interest(of);
    }
    // A full direction is not read: without this its reset would be reported by
    // each epoll_wait.
    if ((events & EPOLLERR) != 0)
        return finish(tag, !near, near);
    if ((events & EPOLLIN) != 0 || broke)
        read_from_sender(of, out);
    if (connections_.contains(tag) && (events & EPOLLOUT) != 0)
        write_to_receiver(tag, near ? direction::backward : direction::forward);
}

// The connection to the far end is up, or has failed.
void relay::on_connected(proxied_connection &of) {
    int failed = 0;
    socklen_t size = sizeof failed;
    getsockopt(of.far.socket.get(), SOL_SOCKET, SO_ERROR, &failed, &size);
    if (failed != 0)
        return finish(of.tag, true, false);
    of.far.connecting = false;
    const auto tag = of.tag;
    write_to_receiver(tag, direction::forward);
    if (connections_.contains(tag))
        update_interest(of);
}

// When bytes that were read now may be written: after the delay, at the link's
// rate, and in their order.
double relay::due_time(const proxied_connection &of, direction to, std::size_t bytes) {
    const direction_conditions &conditions = table_.conditions(of.of).at(to);
    const double now = loop_.clock.now();
    const double wire =
        conditions.bytes_per_second > 0 ? static_cast<double>(bytes) / conditions.bytes_per_second : 0;
    const double jitter = conditions.jitter > 0 ? conditions.jitter * random_.uniform() : 0;
    const double last_due = of.streams[static_cast<int>(to)].last_due;
    return std::max({now + conditions.delay + jitter, last_due + wire, now + wire});
}

void relay::read_from_sender(proxied_connection &of, direction to) {
    const auto tag = of.tag;
    side &from = to == direction::forward ? of.near : of.far;
    byte_stream &into = of.streams[static_cast<int>(to)];
    std::array<char, read_size> part;
    while (!into.sender_ended && into.queued_bytes < max_queued_bytes) {
        const long got = as_number(read_some(from.socket, part.data(), part.size()));
        if (got == -2)
            break;
        if (got < 0)
            return finish(tag, to == direction::backward, to == direction::forward);
        const double now = loop_.clock.now();
        const double due = due_time(of, to, static_cast<std::size_t>(got));
        into.last_due = due;
        if (got == 0)
            into.sender_ended = true;
        else if (!of.far_end_dead || to != direction::forward) { // what goes to the dead is gone
            into.chunks.push_back({due, std::string(part.data(), static_cast<std::size_t>(got))});
            into.queued_bytes += static_cast<std::size_t>(got);
        }
        if (due > now)
            loop_.clock.at(due, [this, here = std::weak_ptr(lifetime_), tag, to] {
                if (!here.expired())
                    write_to_receiver(tag, to);
            });
    }
    write_to_receiver(tag, to);
}

void relay::write_to_receiver(std::uint64_t tag, direction to) {
    const auto found = connections_.find(tag);
    if (found == connections_.end())
        return;
    proxied_connection &of = *found->second;
    side &into = to == direction::forward ? of.far : of.near;
    byte_stream &from = of.streams[static_cast<int>(to)];
    const double now = loop_.clock.now();
    while (!from.chunks.empty() && from.chunks.front().due <= now && !into.connecting && !into.gone &&
           !table_.conditions(of.of).at(to).dropped) {
        auto &next = from.chunks.front();
        const auto wrote =
            ::send(into.socket.get(), next.bytes.data(), next.bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (wrote <= 0)
            return finish(tag, to == direction::forward, to == direction::backward);
        forwarded_bytes_ += static_cast<std::uint64_t>(wrote);
        from.queued_bytes -= static_cast<std::size_t>(wrote);
        next.bytes.erase(0, static_cast<std::size_t>(wrote));
        if (next.bytes.empty())
            from.chunks.pop_front();
    }
    forward_end(of, to);
    if (of.streams[0].end_forwarded && of.streams[1].end_forwarded)
        return finish(tag, false, false);
    update_interest(of);
}

// Ends the receiver's half once the sender's has ended and all that it sent was
// written.
void relay::forward_end(proxied_connection &of, direction to) {
    const side &into = to == direction::forward ? of.far : of.near;
    byte_stream &from = of.streams[static_cast<int>(to)];
    const bool all_written = from.chunks.empty() && from.last_due <= loop_.clock.now();
    const bool reachable = !into.connecting && !table_.conditions(of.of).at(to).dropped && !of.far_end_dead;
    if (!from.sender_ended || from.end_forwarded || !all_written || !reachable)
        return;
    from.end_forwarded = true;
    ::shutdown(into.socket.get(), SHUT_WR);
}

void relay::finish(std::uint64_t tag, bool reset_near, bool reset_far) {
    const auto found = connections_.find(tag);
    if (found == connections_.end())
        return;
    const auto of = std::move(found->second);
    connections_.erase(found);
    for (side *one : {&of->near, &of->far})
        if (one->watched)
            loop_.forget(one->socket.get());
    if (reset_near)
        reset_on_close(of->near.socket);
    if (reset_far && of->far.socket)
        reset_on_close(of->far.socket);
}

void relay::on_conditions_changed(const link_id &which, const link_conditions &before,
                                  const link_conditions &now) {
    const auto known = links_.find(key(which));
    if (known == links_.end())
        return;
    update_listener(known->second);
    std::vector<std::uint64_t> tags;
    for (const auto &[tag, each] : connections_)
        if (each->of == which)
            tags.push_back(tag);
    for (const auto tag : tags)
        apply_conditions(tag, before, now);
}

void relay::apply_conditions(std::uint64_t tag, const link_conditions &before, const link_conditions &now) {
    proxied_connection &of = *connections_.at(tag);
    if (now.resets)
        return finish(tag, true, true);
    if (now.half_open && !before.half_open)
        kill_far_end(of);
    if (before.half_open && !now.half_open && of.far_end_dead)
        return finish(tag, true, false);
    if (of.far_end_dead)
        return update_interest(of);
    resume(of, before, now);
}

// The far end gets a reset; what was on its way is gone, and the near end hears
// of nothing.
void relay::kill_far_end(proxied_connection &of) {
    of.far_end_dead = true;
    if (of.far.watched)
        loop_.forget(of.far.socket.get());
    of.far.watched = false;
    of.far.gone = true;
    reset_on_close(of.far.socket);
    of.far.socket.close();
    for (auto &each : of.streams) {
        each.chunks.clear();
        each.queued_bytes = 0;
    }
    of.streams[static_cast<int>(direction::backward)].sender_ended = true; // nothing comes from it any more
}

// Goes on with what was queued. A sender that has ended while its direction was
// dropped takes it with it.
void relay::resume(proxied_connection &of, const link_conditions &before, const link_conditions &now) {
    const auto tag = of.tag;
    const auto sender_lost = [&](direction to, const side &from) {
        const bool reopened = before.at(to).dropped && !now.at(to).dropped;
        return reopened && (from.gone || peer_has_ended(from.socket));
    };
    const bool near_lost = sender_lost(direction::forward, of.near);
    const bool far_lost = sender_lost(direction::backward, of.far);
    if (near_lost || far_lost)
        return finish(tag, far_lost, near_lost);
    write_to_receiver(tag, direction::forward);
    write_to_receiver(tag, direction::backward);
    if (connections_.contains(tag))
        update_interest(of);
}

} // namespace harrierpass::testbed
