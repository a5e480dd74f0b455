// SPDX-License-Identifier: Apache-2.0
#include "testbed/loop/channel.hpp"

#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace harrierpass::testbed {
namespace {

bool is_connected(const tcp_socket &socket) {
    address remote;
    remote.size = sizeof remote.storage;
    return ::getpeername(socket.get(), reinterpret_cast<sockaddr *>(&remote.storage), &remote.size) == 0;
}

} // namespace

address ipv4(std::uint32_t host, int port) {
    address result;
    auto *const ipv4_address = reinterpret_cast<sockaddr_in *>(&result.storage);
    ipv4_address->sin_family = AF_INET;
    ipv4_address->sin_addr.s_addr = htonl(host);
    ipv4_address->sin_port = htons(static_cast<std::uint16_t>(port));
    result.size = sizeof(sockaddr_in);
    return result;
}

int port_of(const address &socket_address) {
    return ntohs(reinterpret_cast<const sockaddr_in *>(&socket_address.storage)->sin_port);
}

channel::~channel() {
    end(false);
}

void channel::start(bool connecting) {
    // On loopback the connection is often established already: what is sent does not wait for the loop then.
    connecting_ = connecting && !is_connected(socket_);
    loop_.watch(socket_.get(), EPOLLIN | (connecting_ ? EPOLLOUT : 0U),
                [weak_self = weak_from_this()](std::uint32_t events) {
                    if (const auto self = weak_self.lock())
                        self->on_events(events);
                });
}

void channel::update_interest() {
    if (socket_ && !peer_closed_)
        loop_.change(socket_.get(),
                     frozen_ ? EPOLLRDHUP : EPOLLIN | (connecting_ || !output_.empty() ? EPOLLOUT : 0U));
}

void channel::set_frozen(bool frozen) {
    frozen_ = frozen;
    if (peer_closed_ && !frozen_ && socket_)
        return end_by_peer(ending::closed);
    update_interest();
}

void channel::send(std::string_view text) {
    output_ += text;
    if (!connecting_ && !frozen_)
        write();
}

void channel::write() {
    while (socket_ && !output_.empty()) {
        const auto written =
            ::send(socket_.get(), output_.data(), output_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return update_interest();
        if (written <= 0)
            return end_by_peer(ending::reset);
        output_.erase(0, static_cast<std::size_t>(written));
        if (output_.empty())
            update_interest();
    }
}

void channel::end(bool reset) {
    if (!socket_)
        return;
    if (!peer_closed_)
        loop_.forget(socket_.get());
    if (reset) {
        const linger zero_timeout{1, 0};
        setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &zero_timeout, sizeof zero_timeout);
    }
    socket_.close();
    // Keeps the reader: on_message may have called end() while read() still uses it.
}

void channel::end_by_peer(ending cause) {
    if (!socket_)
        return;
    const auto self = shared_from_this();
    end(false);
    if (const auto callback = on_end)
        callback(self, cause);
}

void channel::on_events(std::uint32_t events) {
    const auto self = shared_from_this();
    if (frozen_) { // epoll reports errors regardless of the registered events
        if ((events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP)) == 0 || peer_closed_)
            return;
        peer_closed_ = true;
        loop_.forget(socket_.get());
        if (on_peer_closed_while_frozen)
            on_peer_closed_while_frozen(self);
        return;
    }
    if (connecting_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
        if (finish_dial(socket_) != 0)
            return end_by_peer(ending::failed);
        connecting_ = false;
        update_interest();
    }
    if ((events & EPOLLOUT) != 0)
        write();
    if (socket_ && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
        read();
}

void channel::read() {
    while (socket_ && !frozen_) {
        if (!buffer_) {
            buffer_ = std::make_unique<char[]>(buffer_size);
            reader_ = std::make_unique<http_reader>(std::span(buffer_.get(), buffer_size), reads_);
        }
        auto state = http_reader::state::incomplete;
        const long received =
            as_number(read_some(socket_, reader_->free_space().data(), reader_->free_space().size()));
        if (received == -2) {
            if (!reader_->has_begun()) {
                reader_.reset();
                buffer_.reset();
            }
            return;
        }
        if (received > 0) {
            partial_message_ = true;
            state = reader_->received(static_cast<std::size_t>(received));
        } else {
            state = received == 0 ? reader_->on_peer_closed() : http_reader::state::truncated;
        }
        if (state == http_reader::state::incomplete)
            continue;
        if (state == http_reader::state::truncated)
            return end_by_peer(received == 0 ? ending::closed : ending::reset);
        if (state != http_reader::state::complete)
            return end_by_peer(ending::malformed);
        while (state == http_reader::state::complete) {
            ++messages;
            partial_message_ = false;
            on_message(shared_from_this(), *reader_);
            if (!socket_)
                return;
            const std::string pipelined(reader_->pipelined_bytes());
            std::memcpy(buffer_.get(), pipelined.data(), pipelined.size());
            reader_ = std::make_unique<http_reader>(std::span(buffer_.get(), buffer_size), reads_,
                                                    pipelined.size());
            if (pipelined.empty()) {
                reader_.reset();
                buffer_.reset();
                break;
            }
            state = reader_->parse_buffered();
        }
        if (state != http_reader::state::complete && state != http_reader::state::incomplete)
            return end_by_peer(ending::malformed);
        if (received == 0)
            return end_by_peer(ending::closed);
    }
}

} // namespace harrierpass::testbed
