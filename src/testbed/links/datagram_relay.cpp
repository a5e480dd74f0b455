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

constexpr std::size_t max_datagram_bytes = 256; // the platform's limit
constexpr std::size_t read_size = 2048; // bytes; longer datagrams are truncated, and exceed the limit anyway
constexpr double reorder_delay =
    0.02; // seconds by which a reordered datagram is delayed, so that later ones overtake it
constexpr std::uint32_t datagram_net = 0x7fc80000; // 127.200.0.0 and up

// The destination address of a datagram, in host order; 0 if the system did not report it.
std::uint32_t destination_of(msghdr &message) {
    std::uint32_t destination = 0;
    for (cmsghdr *header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header))
        if (header->cmsg_level == IPPROTO_IP && header->cmsg_type == IP_PKTINFO) {
            in_pktinfo info{};
            std::memcpy(&info, CMSG_DATA(header), sizeof info);
            destination = ntohl(info.ipi_addr.s_addr);
        }
    return destination;
}

} // namespace

datagram_relay::datagram_relay(loop &event_loop, const link_table &table, std::vector<address> proxies,
                               std::uint32_t seed)
    : loop_(event_loop), table_(table), proxies_(std::move(proxies)), random_(seed) {
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

address datagram_relay::address_of(index sender, index other) const {
    return numbered_address(sender * static_cast<std::uint32_t>(proxies_.size()) + other + 1);
}

address datagram_relay::broadcast_address(index sender) const {
    const auto count = static_cast<std::uint32_t>(proxies_.size());
    return numbered_address(count * count + sender + 1);
}

void datagram_relay::read() {
    std::array<char, read_size> bytes;
    std::array<char, 256> control;
    for (;;) {
        sockaddr_in from{};
        iovec buffer{bytes.data(), bytes.size()};
        msghdr message{};
        message.msg_name = &from;
        message.msg_namelen = sizeof from;
        message.msg_iov = &buffer;
        message.msg_iovlen = 1;
        message.msg_control = control.data();
        message.msg_controllen = control.size();
        const auto received = ::recvmsg(socket_.get(), &message, MSG_DONTWAIT);
        if (received < 0)
            return;
        arrival datagram;
        datagram.bytes.assign(bytes.data(), static_cast<std::size_t>(received));
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
    const index sender = to_all ? number - count * count : number / count;
    if (datagram.sent_to <= datagram_net || sender >= count ||
        to_text(datagram.sender) != to_text(proxies_[sender])) {
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
        return carry(sender, number % count, datagram.bytes);
    for (index other = 0; other < count; ++other)
        if (other != sender)
            carry(sender, other, datagram.bytes);
}

void datagram_relay::carry(index sender, index receiver, const std::string &bytes) {
    const direction_conditions conditions = table_.datagram_conditions(sender, receiver);
    if (conditions.dropped || random_.happens(conditions.loss_share)) {
        ++counters_.dropped;
        return;
    }
    const bool duplicated = random_.happens(conditions.duplicate_share);
    const bool reordered = random_.happens(conditions.reorder_share);
    counters_.duplicated += duplicated;
    counters_.reordered += reordered;
    for (int i = 0; i < (duplicated ? 2 : 1); ++i) {
        const double jitter = conditions.jitter > 0 ? conditions.jitter * random_.uniform() : 0;
        const double delay = conditions.delay + jitter + (reordered ? reorder_delay : 0);
        if (delay <= 0)
            deliver(sender, receiver, bytes);
        else
            loop_.clock.after(delay, [this, lifetime = std::weak_ptr(lifetime_), sender, receiver, bytes] {
                if (!lifetime.expired())
                    deliver(sender, receiver, bytes);
            });
    }
}

void datagram_relay::deliver(index sender, index receiver, const std::string &bytes) {
    address target = proxies_[receiver];
    const address source = address_of(receiver, sender);
    iovec buffer{const_cast<char *>(bytes.data()), bytes.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(in_pktinfo))> control{};
    msghdr message{};
    message.msg_name = &target.storage;
    message.msg_namelen = target.size;
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr *const header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = IPPROTO_IP;
    header->cmsg_type = IP_PKTINFO;
    header->cmsg_len = CMSG_LEN(sizeof(in_pktinfo));
    in_pktinfo info{};
    info.ipi_spec_dst = reinterpret_cast<const sockaddr_in *>(&source.storage)->sin_addr;
    std::memcpy(CMSG_DATA(header), &info, sizeof info);
    if (::sendmsg(socket_.get(), &message, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0)
        ++counters_.delivered;
}

} // namespace harrierpass::testbed
