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

constexpr std::size_t read_size = 65536;         // bytes read at a time
constexpr std::size_t max_queued_bytes = 262144; // per direction; further bytes stay in the sender's socket
constexpr std::uint32_t relay_net = 0x7f100000;  // 127.16.0.0 and up: addresses of links

} // namespace

relay::relay(loop &event_loop, const link_table &table, std::uint32_t seed)
    : loop_(event_loop), table_(table), random_(seed) {}

relay::~relay() {
    for (auto &[tag, connection] : connections_)
        for (side *end : {&connection->near, &connection->far})
            if (end->watched)
                loop_.forget(end->socket.get());
    for (auto &[key, link] : links_)
        if (link.listener)
            loop_.forget(link.listener.get());
}

std::uint64_t relay::key(const link_id &id) {
    return (static_cast<std::uint64_t>(id.kind) << 56) | (std::uint64_t{id.near} << 28) | id.far;
}

far_state relay::far_state_of(const link_id &id) const {
    const auto found = far_states_.find({id.kind, id.far});
    return found == far_states_.end() ? far_state::up : found->second;
}

address relay::open(const link_id &id, const address &far) {
    auto &link = links_[key(id)];
    link.id = id;
    link.far_address = far;
    // Each link has a separate address, so that no outgoing connection can take its port while the listener
    // is closed. The process id keeps two runs on one machine apart.
    const auto link_number = static_cast<std::uint32_t>(links_.size());
    link.near_address =
        ipv4(relay_net + (static_cast<std::uint32_t>(::getpid() % 100) << 16) + link_number, 0);
    listen(link);
    link.near_address = local_address(link.listener);
    update_listener(link);
    return link.near_address;
}

void relay::set_far_address(const link_id &id, const address &far) {
    find(id).far_address = far;
}

void relay::listen(link_entry &link) {
    link.listener = listen_on(link.near_address);
    if (!link.listener)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen for a link at " + to_text(link.near_address));
    link.filtered = false;
    loop_.watch(link.listener.get(), EPOLLIN, [this, id = link.id](std::uint32_t) { accept(id); });
}

void relay::close_listener(link_entry &link) {
    loop_.forget(link.listener.get());
    link.listener.close();
}

void relay::update_listener(link_entry &link) {
    const far_state far = far_state_of(link.id);
    if (far == far_state::refuses && link.listener)
        return close_listener(link);
    if (far == far_state::refuses)
        return;
    if (!link.listener)
        listen(link);
    const bool drops = far == far_state::silent || !table_.conditions(link.id).can_connect();
    if (drops != link.filtered)
        set_drop_filter(link.listener, drops);
    link.filtered = drops;
}

void relay::set_far_state(link_kind kind, index far, far_state state) {
    far_states_[{kind, far}] = state;
    for (auto &[key, link] : links_)
        if (link.id.kind == kind && link.id.far == far)
            update_listener(link);
}

void relay::accept(const link_id &id) {
    auto &link = find(id);
    address peer;
    while (link.listener) {
        tcp_socket accepted = accept_on(link.listener, peer);
        if (!accepted)
            break;
        if (table_.conditions(id).resets) {
            reset_on_close(accepted);
            continue;
        }
        auto created = std::make_unique<proxied_connection>();
        created->tag = next_tag_++;
        created->id = id;
        created->near.socket = std::move(accepted);
        created->far.socket = start_dial(link.far_address);
        created->far.connecting = true;
        if (!created->far.socket) {
            reset_on_close(created->near.socket);
            continue;
        }
        auto &connection = *created;
        connections_[created->tag] = std::move(created);
        update_interest(connection);
    }
}

// Sets the events that each side waits for, from the state of both directions.
void relay::update_interest(proxied_connection &connection) {
    update_interest_of(connection, true);
    update_interest_of(connection, false);
}

void relay::update_interest_of(proxied_connection &connection, bool near) {
    side &end = near ? connection.near : connection.far;
    const link_conditions &now = table_.conditions(connection.id);
    const direction outgoing = near ? direction::forward : direction::backward;
    const direction incoming = near ? direction::backward : direction::forward;
    const byte_stream &sent_stream = connection.streams[static_cast<int>(outgoing)],
                      &received_stream = connection.streams[static_cast<int>(incoming)];
    const bool writes = end.connecting || (!received_stream.chunks.empty() && !now.at(incoming).dropped &&
                                           received_stream.chunks.front().due <= loop_.clock.now());
    const bool reads = !end.connecting && !sent_stream.sender_ended && !now.at(outgoing).dropped &&
                       sent_stream.queued_bytes < max_queued_bytes;
    const std::uint32_t events = (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U);
    // A side whose two directions have ended has no further events, except a hang-up that epoll would report
    // forever.
    const bool done =
        end.broken || !end.socket || (sent_stream.sender_ended && received_stream.end_forwarded);
    const int fd = end.socket.get();
    if (done && end.watched) {
        loop_.forget(fd);
        end.watched = false;
    } else if (!done && end.watched) {
        loop_.change(fd, events);
    } else if (!done) {
        end.watched = true;
        loop_.watch(fd, events, [this, tag = connection.tag, near](std::uint32_t ready_events) {
            on_events(tag, near, ready_events);
        });
    }
}

void relay::on_events(std::uint64_t tag, bool near, std::uint32_t events) {
    const auto found = connections_.find(tag);
    if (found == connections_.end())
        return;
    proxied_connection &connection = *found->second;
    side &end = near ? connection.near : connection.far;
    const direction outgoing = near ? direction::forward : direction::backward;
    const bool hung_up = (events & (EPOLLERR | EPOLLHUP)) != 0;
    if (end.connecting)
        return on_connected(connection);
    if (hung_up &&
        table_.conditions(connection.id).at(outgoing).dropped) { // the other end cannot be notified now
        end.broken = true;
        return update_interest(connection);
    }
    // A direction with a full queue is not read, so that each epoll_wait would report its reset again.
    if ((events & EPOLLERR) != 0)
        return finish(tag, !near, near);
    if ((events & EPOLLIN) != 0 || hung_up)
        read_from_sender(connection, outgoing);
    if (connections_.contains(tag) && (events & EPOLLOUT) != 0)
        write_to_receiver(tag, near ? direction::backward : direction::forward);
}

// Called when the connection to the far end is established or has failed.
void relay::on_connected(proxied_connection &connection) {
    if (finish_dial(connection.far.socket) != 0)
        return finish(connection.tag, true, false);
    connection.far.connecting = false;
    const auto tag = connection.tag;
    write_to_receiver(tag, direction::forward);
    if (connections_.contains(tag))
        update_interest(connection);
}

// The time from which bytes that were just read may be written: after the delay, at the link's rate, and in
// order.
double relay::due_time(const proxied_connection &connection, direction flow, std::size_t bytes) {
    const direction_conditions &conditions = table_.conditions(connection.id).at(flow);
    const double now = loop_.clock.now();
    const double transfer_time =
        conditions.bytes_per_second > 0 ? static_cast<double>(bytes) / conditions.bytes_per_second : 0;
    const double jitter = conditions.jitter > 0 ? conditions.jitter * random_.uniform() : 0;
    const double last_due = connection.streams[static_cast<int>(flow)].last_due;
    return std::max({now + conditions.delay + jitter, last_due + transfer_time, now + transfer_time});
}

void relay::read_from_sender(proxied_connection &connection, direction flow) {
    const auto tag = connection.tag;
    side &sender = flow == direction::forward ? connection.near : connection.far;
    byte_stream &stream = connection.streams[static_cast<int>(flow)];
    std::array<char, read_size> buffer;
    while (!stream.sender_ended && stream.queued_bytes < max_queued_bytes) {
        const long received = as_number(read_some(sender.socket, buffer.data(), buffer.size()));
        if (received == -2)
            break;
        if (received < 0)
            return finish(tag, flow == direction::backward, flow == direction::forward);
        const double now = loop_.clock.now();
        const double due = due_time(connection, flow, static_cast<std::size_t>(received));
        stream.last_due = due;
        if (received == 0)
            stream.sender_ended = true;
        else if (!connection.far_end_dead ||
                 flow != direction::forward) { // bytes to a dead far end are dropped
            stream.chunks.push_back({due, std::string(buffer.data(), static_cast<std::size_t>(received))});
            stream.queued_bytes += static_cast<std::size_t>(received);
        }
        if (due > now)
            loop_.clock.at(due, [this, lifetime = std::weak_ptr(lifetime_), tag, flow] {
                if (!lifetime.expired())
                    write_to_receiver(tag, flow);
            });
    }
    write_to_receiver(tag, flow);
}

void relay::write_to_receiver(std::uint64_t tag, direction flow) {
    const auto found = connections_.find(tag);
    if (found == connections_.end())
        return;
    proxied_connection &connection = *found->second;
    side &receiver = flow == direction::forward ? connection.far : connection.near;
    byte_stream &stream = connection.streams[static_cast<int>(flow)];
    const double now = loop_.clock.now();
    while (!stream.chunks.empty() && stream.chunks.front().due <= now && !receiver.connecting &&
           !receiver.broken && !table_.conditions(connection.id).at(flow).dropped) {
        auto &next = stream.chunks.front();
        const auto written =
            ::send(receiver.socket.get(), next.bytes.data(), next.bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (written <= 0)
            return finish(tag, flow == direction::forward, flow == direction::backward);
        forwarded_bytes_ += static_cast<std::uint64_t>(written);
        stream.queued_bytes -= static_cast<std::size_t>(written);
        next.bytes.erase(0, static_cast<std::size_t>(written));
        if (next.bytes.empty())
            stream.chunks.pop_front();
    }
    forward_end(connection, flow);
    if (connection.streams[0].end_forwarded && connection.streams[1].end_forwarded)
        return finish(tag, false, false);
    update_interest(connection);
}

// Shuts down the receiver's connection for writing once the sender has ended and all its bytes are written.
void relay::forward_end(proxied_connection &connection, direction flow) {
    const side &receiver = flow == direction::forward ? connection.far : connection.near;
    byte_stream &stream = connection.streams[static_cast<int>(flow)];
    const bool all_written = stream.chunks.empty() && stream.last_due <= loop_.clock.now();
    const bool reachable = !receiver.connecting && !table_.conditions(connection.id).at(flow).dropped &&
                           !connection.far_end_dead;
    if (!stream.sender_ended || stream.end_forwarded || !all_written || !reachable)
        return;
    stream.end_forwarded = true;
    ::shutdown(receiver.socket.get(), SHUT_WR);
}

void relay::finish(std::uint64_t tag, bool reset_near, bool reset_far) {
    const auto found = connections_.find(tag);
    if (found == connections_.end())
        return;
    const auto connection = std::move(found->second);
    connections_.erase(found);
    for (side *end : {&connection->near, &connection->far})
        if (end->watched)
            loop_.forget(end->socket.get());
    if (reset_near)
        reset_on_close(connection->near.socket);
    if (reset_far && connection->far.socket)
        reset_on_close(connection->far.socket);
}

void relay::on_conditions_changed(const link_id &id, const link_conditions &before,
                                  const link_conditions &now) {
    const auto found = links_.find(key(id));
    if (found == links_.end())
        return;
    update_listener(found->second);
    std::vector<std::uint64_t> tags;
    for (const auto &[tag, connection] : connections_)
        if (connection->id == id)
            tags.push_back(tag);
    for (const auto tag : tags)
        apply_conditions(tag, before, now);
}

void relay::apply_conditions(std::uint64_t tag, const link_conditions &before, const link_conditions &now) {
    proxied_connection &connection = *connections_.at(tag);
    if (now.resets)
        return finish(tag, true, true);
    if (now.half_open && !before.half_open)
        kill_far_end(connection);
    if (before.half_open && !now.half_open && connection.far_end_dead)
        return finish(tag, true, false);
    if (connection.far_end_dead)
        return update_interest(connection);
    resume(connection, before, now);
}

// Resets the far end's connection and drops the queued bytes; the near end is not notified.
void relay::kill_far_end(proxied_connection &connection) {
    connection.far_end_dead = true;
    if (connection.far.watched)
        loop_.forget(connection.far.socket.get());
    connection.far.watched = false;
    connection.far.broken = true;
    reset_on_close(connection.far.socket);
    connection.far.socket.close();
    for (auto &stream : connection.streams) {
        stream.chunks.clear();
        stream.queued_bytes = 0;
    }
    connection.streams[static_cast<int>(direction::backward)].sender_ended =
        true; // the far end sends nothing more
}

// Forwards the queued bytes. If the sender has ended while its direction was dropped, ends the connection
// instead.
void relay::resume(proxied_connection &connection, const link_conditions &before,
                   const link_conditions &now) {
    const auto tag = connection.tag;
    const auto sender_lost = [&](direction flow, const side &sender) {
        const bool reopened = before.at(flow).dropped && !now.at(flow).dropped;
        return reopened && (sender.broken || peer_has_ended(sender.socket));
    };
    const bool near_lost = sender_lost(direction::forward, connection.near);
    const bool far_lost = sender_lost(direction::backward, connection.far);
    if (near_lost || far_lost)
        return finish(tag, far_lost, near_lost);
    write_to_receiver(tag, direction::forward);
    write_to_receiver(tag, direction::backward);
    if (connections_.contains(tag))
        update_interest(connection);
}

} // namespace harrierpass::testbed
