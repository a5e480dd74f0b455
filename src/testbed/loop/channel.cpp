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
    auto *const to = reinterpret_cast<sockaddr_in *>(&made.where);
    to->sin_family = AF_INET;
    to->sin_addr.s_addr = htonl(where);
    to->sin_port = htons(static_cast<std::uint16_t>(port));
    made.size = sizeof(sockaddr_in);
    return made;
}

int port_of(const address &of) {
    return ntohs(reinterpret_cast<const sockaddr_in *>(&of.where)->sin_port);
}

tcp_socket dial_soon(const address &to) {
    tcp_socket made(::socket(to.where.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!made)
        return made;
    const int on = 1;
    setsockopt(made.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(made.get(), reinterpret_cast<const sockaddr *>(&to.where), to.size) != 0 &&
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
                        here->came(events);
                });
}

void channel::ask() {
    if (socket_ && !gone_)
        loop_.change(socket_.get(),
                     still_ ? EPOLLRDHUP : EPOLLIN | (connecting_ || !out_.empty() ? EPOLLOUT : 0U));
}

void channel::stand(bool still) {
    still_ = still;
    if (gone_ && !still_ && socket_)
        return lost(ending::closed);
    ask();
}

void channel::send(std::string_view text) {
    out_ += text;
    if (!connecting_ && !still_)
        write();
}

void channel::write() {
    while (socket_ && !out_.empty()) {
        const auto wrote = ::send(socket_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return ask();
        if (wrote <= 0)
            return lost(ending::reset);
        out_.erase(0, static_cast<std::size_t>(wrote));
        if (out_.empty())
            ask();
    }
}

void channel::end(bool reset) {
    if (!socket_)
        return;
    if (!gone_)
        loop_.forget(socket_.get());
    if (reset) {
        const linger none_left{1, 0};
        setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &none_left, sizeof none_left);
    }
    socket_.close();
    // The reader may be in use further up the stack: a message's owner ends its connection from within.
}

void channel::lost(ending how) {
    if (!socket_)
        return;
    const auto self = shared_from_this();
    end(false);
    if (const auto call = on_end)
        call(self, how);
}

void channel::came(std::uint32_t events) {
    const auto self = shared_from_this();
    if (still_) { // errors are told whatever is asked for
        if ((events & (EPOLLRDHUP | EPOLLERR | EPOLLHUP)) == 0 || gone_)
            return;
        gone_ = true;
        loop_.forget(socket_.get());
        if (on_gone)
            on_gone(self);
        return;
    }
    if (connecting_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
        int failed = 0;
        socklen_t size = sizeof failed;
        getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &failed, &size);
        if (failed != 0)
            return lost(ending::failed);
        connecting_ = false;
        ask();
    }
    if ((events & EPOLLOUT) != 0)
        write();
    if (socket_ && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
        read();
}

void channel::read() {
    while (socket_ && !still_) {
        if (!buffer_) {
            buffer_ = std::make_unique<char[]>(buffer_size);
            reader_ = std::make_unique<http_reader>(std::span(buffer_.get(), buffer_size), side_);
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
            begun_ = true;
            state = reader_->received(static_cast<std::size_t>(got));
        } else {
            state = got == 0 ? reader_->on_peer_closed() : http_reader::state::truncated;
        }
        if (state == http_reader::state::incomplete)
            continue;
        if (state == http_reader::state::truncated)
            return lost(got == 0 ? ending::closed : ending::reset);
        if (state != http_reader::state::complete)
            return lost(ending::malformed);
        while (state == http_reader::state::complete) {
            ++messages;
            begun_ = false;
            on_message(shared_from_this(), *reader_);
            if (!socket_)
                return;
            const std::string rest(reader_->pipelined_bytes());
            std::memcpy(buffer_.get(), rest.data(), rest.size());
            reader_ =
                std::make_unique<http_reader>(std::span(buffer_.get(), buffer_size), side_, rest.size());
            if (rest.empty()) {
                reader_.reset();
                buffer_.reset();
                break;
            }
            state = reader_->parse_buffered();
        }
        if (state != http_reader::state::complete && state != http_reader::state::incomplete)
            return lost(ending::malformed);
        if (got == 0)
            return lost(ending::closed);
    }
}

} // namespace harrierpass::testbed
