// SPDX-License-Identifier: Apache-2.0
#include "testbed/loop/channel.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace harrierpass::testbed {

address ipv4(std::uint32_t where, int port) {
    address made;
    auto *const to = reinterpret_cast<sockaddr_in *>(&made.storage);
    to->sin_family = AF_INET;
    to->sin_addr.s_addr = htonl(where);
    to->sin_port = htons(static_cast<std::uint16_t>(port));
    made.size = sizeof(sockaddr_in);
    return made;
}

int port_of(const address &of) {
    return ntohs(reinterpret_cast<const sockaddr_in *>(&of.storage)->sin_port);
}

tcp_socket start_connecting(const address &to) {
    tcp_socket made(::socket(to.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!made)
        return made;
    const int on = 1;
    setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(made.get(), reinterpret_cast<const sockaddr *>(&to.storage), to.size) != 0 &&
        errno != EINPROGRESS)
        made.close();
    return made;
}

channel::~channel() {
    end(false);
}

void channel::start(bool connecting) {
    connecting_ = connecting;
    loop_.watch(socket_.get(), EPOLLIN | (connecting ? EPOLLOUT : 0U),
                [self = weak_from_this()](std::uint32_t events) {
                    if (const auto here = self.lock())
                        here->on_events(events);
                });
}

void channel::update_interest() {
    if (socket_ && !peer_gone_)
        loop_.change(socket_.get(),
                     frozen_ ? EPOLLRDHUP : EPOLLIN | (connecting_ || !out_.empty() ? EPOLLOUT : 0U));
}

void channel::set_frozen(bool frozen) {
    frozen_ = frozen;
    if (peer_gone_ && !frozen_ && socket_)
        return end_by_peer(ending::closed);
    update_interest();
}

void channel::send(std::string_view text) {
    out_ += text;
    if (!connecting_ && !frozen_)
        write();
}

void channel::write() {
    while (socket_ && !out_.empty()) {
        const auto wrote = ::send(socket_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return update_interest();
        if (wrote <= 0)
            return end_by_peer(ending::reset);
        out_.erase(0, static_cast<std::size_t>(wrote));
        if (out_.empty())
            update_interest();
    }
}

void channel::end(bool reset) {
    if (!socket_)
        return;
    if (!peer_gone_)
        loop_.forget(socket_.get());
    if (reset) {
        const linger none_left{1, 0};
        setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &none_left, sizeof none_left);
    }
    socket_.close();
    // The reader may be in use further up the stack: a message's owner ends its connection from within.
}

void channel::end_by_peer(ending how) {
    if (!socket_)
        return;
    const auto self = shared_from_this();
    end(false);
    if (const auto call = on_end)
        call(self, how);
}

void channel::on_events(std::uint32_t events) {
    const auto self = shared_from_this();
    if (frozen_) { // errors are told whatever is asked for
        if ((events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP)) == 0 || peer_gone_)
            return;
        peer_gone_ = true;
        loop_.forget(socket_.get());
        if (on_peer_closed_while_frozen)
            on_peer_closed_while_frozen(self);
        return;
    }
    if (connecting_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
        int failed = 0;
        socklen_t size = sizeof failed;
        getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &failed, &size);
        if (failed != 0)
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
        const long got =
            as_number(read_some(socket_, reader_->free_space().data(), reader_->free_space().size()));
        if (got == -2) {
            if (!reader_->has_begun()) {
                reader_.reset();
                buffer_.reset();
            }
            return;
        }
        if (got > 0) {
            partial_message_ = true;
            state = reader_->received(static_cast<std::size_t>(got));
        } else {
            state = got == 0 ? reader_->on_peer_closed() : http_reader::state::truncated;
        }
        if (state == http_reader::state::incomplete)
            continue;
        if (state == http_reader::state::truncated)
            return end_by_peer(got == 0 ? ending::closed : ending::reset);
        if (state != http_reader::state::complete)
            return end_by_peer(ending::malformed);
        while (state == http_reader::state::complete) {
            ++messages;
            partial_message_ = false;
            on_message(shared_from_this(), *reader_);
            if (!socket_)
                return;
            const std::string rest(reader_->pipelined_bytes());
            std::memcpy(buffer_.get(), rest.data(), rest.size());
            reader_ =
                std::make_unique<http_reader>(std::span(buffer_.get(), buffer_size), reads_, rest.size());
            if (rest.empty()) {
                reader_.reset();
                buffer_.reset();
                break;
            }
            state = reader_->parse_buffered();
        }
        if (state != http_reader::state::complete && state != http_reader::state::incomplete)
            return end_by_peer(ending::malformed);
        if (got == 0)
            return end_by_peer(ending::closed);
    }
}

} // namespace harrierpass::testbed
