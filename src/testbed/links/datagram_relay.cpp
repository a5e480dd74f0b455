// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/datagram_relay.hpp"

#include "testbed/loop/channel.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr std::size_t max_datagram_bytes = 256;    // the platform's limit
constexpr std::size_t read_size = 2048;            // bytes; what is longer is cut, and too long anyway
constexpr double reorder_delay = 0.02;             // s that a datagram is held so that later ones pass it
constexpr std::uint32_t datagram_net = 0x7fc80000; // 127.200.0.0 and on

// The address that a datagram was sent to, in host order; 0: the system did not
// say.
std::uint32_t destination_of(msghdr &message) {
    std::uint32_t destination = 0;
    for (cmsghdr *each = CMSG_FIRSTHDR(&message); each != nullptr; each = CMSG_NXTHDR(&message, each))
        if (each->cmsg_level == IPPROTO_IP && each->cmsg_type == IP_PKTINFO) {
            in_pktinfo info{};
            std::memcpy(&info, CMSG_DATA(each), sizeof info);
            destination = ntohl(info.ipi_addr.s_addr);
        }
    return destination;
}

} // namespace

datagram_relay::datagram_relay(loop &in, const link_table &table, std::vector<address> proxies,
                               std::uint32_t seed)
    : loop_(in), table_(table), proxies_(std::move(proxies)), random_(seed) {
    socket_ = tcp_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const address any = ipv4(INADDR_ANY, 0);
    const int on = 1;
    if (!socket_ || ::bind(socket_.get(), reinterpret_cast<const sockaddr *>(&any.storage), any.size) != 0 ||
        setsockopt(socket_.get(), IPPROTO_IP, IP_PKTINFO, &on, sizeof on) != 0)
        throw std::system_error(errno, std::generic_category(), "no socket for datagrams");
    port_ = port_of(local_address(socket_));
    loop_.watch(socket_.get(), EPOLLIN, [this](std::uint32_t) { read(); });
}

datagram_relay::~datagram_relay() {
    loop_.forget(socket_.get());
}

address datagram_relay::numbered_address(std::uint32_t number) const {
    return ipv4(datagram_net + number, port_);
}

address datagram_relay::address_of(index by, index other) const {
    return numbered_address(by * static_cast<std::uint32_t>(proxies_.size()) + other + 1);
}

address datagram_relay::broadcast_address(index by) const {
    const auto count = static_cast<std::uint32_t>(proxies_.size());
    return numbered_address(count * count + by + 1);
}

void datagram_relay::read() {
    std::array<char, read_size> bytes;
    std::array<char, 256> extra;
    for (;;) {
        sockaddr_in from{};
        iovec part{bytes.data(), bytes.size()};
        msghdr message{};
        message.msg_name = &from;
        message.msg_namelen = sizeof from;
        message.msg_iov = &part;
        message.msg_iovlen = 1;
        message.msg_control = extra.data();
        message.msg_controllen = extra.size();
        const auto got = ::recvmsg(socket_.get(), &message, MSG_DONTWAIT);
        if (got < 0)
            return;
        arrival datagram;
        datagram.bytes.assign(bytes.data(), static_cast<std::size_t>(got));
        std::memcpy(&datagram.sender.storage, &from, sizeof from);
        datagram.sender.size = sizeof from;
        datagram.sent_to = destination_of(message);
        route(datagram);
    }
}

void datagram_relay::route(const arrival &datagram) {
    const auto count = static_cast<std::uint32_t>(proxies_.size());
    const std::uint32_t number = datagram.sent_to - datagram_net - 1;
    const bool to_all = number >= count * count;
    const index by = to_all ? number - count * count : number / count;
    if (datagram.sent_to <= datagram_net || by >= count ||
        to_text(datagram.sender) != to_text(proxies_[by])) {
        ++counters_.foreign;
        return;
    }
    ++counters_.sent;
    counters_.bytes += datagram.bytes.size();
    if (datagram.bytes.size() > max_datagram_bytes) {
        ++counters_.too_long;
        return;
    }
    if (!to_all)
        return carry(by, number % count, datagram.bytes);
    for (index other = 0; other < count; ++other)
        if (other != by)
            carry(by, other, datagram.bytes);
}

void datagram_relay::carry(index from, index to, const std::string &bytes) {
    const direction_conditions conditions = table_.datagram_conditions(from, to);
    if (conditions.dropped || random_.happens(conditions.loss_share)) {
        ++counters_.dropped;
        return;
    }
    const bool twice = random_.happens(conditions.duplicate_share);
    const bool behind = random_.happens(conditions.reorder_share);
    counters_.duplicated += twice;
    counters_.reordered += behind;
    for (int i = 0; i < (twice ? 2 : 1); ++i) {
        const double jitter = conditions.jitter > 0 ? conditions.jitter * random_.uniform() : 0;
        const double wait = conditions.delay + jitter + (behind ? reorder_delay : 0);
        if (wait <= 0)
            deliver(from, to, bytes);
        else
            loop_.clock.after(wait, [this, here = std::weak_ptr(lifetime_), from, to, bytes] {
                if (!here.expired())
                    deliver(from, to, bytes);
            });
    }
}

void datagram_relay::deliver(index from, index to, const std::string &bytes) {
    address target = proxies_[to];
    const address source = address_of(to, from);
    iovec part{const_cast<char *>(bytes.data()), bytes.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(in_pktinfo))> extra{};
    msghdr message{};
    message.msg_name = &target.storage;
    message.msg_namelen = target.size;
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = extra.data();
    message.msg_controllen = extra.size();
    cmsghdr *const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = IPPROTO_IP;
    head->cmsg_type = IP_PKTINFO;
    head->cmsg_len = CMSG_LEN(sizeof(in_pktinfo));
    in_pktinfo info{};
    info.ipi_spec_dst = reinterpret_cast<const sockaddr_in *>(&source.storage)->sin_addr;
    std::memcpy(CMSG_DATA(head), &info, sizeof info);
    if (::sendmsg(socket_.get(), &message, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0)
        ++counters_.delivered;
}

} // namespace harrierpass::testbed
