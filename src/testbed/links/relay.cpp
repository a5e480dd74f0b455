// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/relay.hpp"

#include "testbed/loop/channel.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace harrierpass::testbed {
namespace {

constexpr std::size_t piece_size = 65536;       // bytes read at a time
constexpr std::size_t most_held = 262144;       // bytes of a direction that wait; more stay with their sender
constexpr std::size_t most_datagram = 256;      // bytes; the platform's limit
constexpr double reorder_by = 0.02;             // s that a datagram is held so that later ones pass it
constexpr std::uint32_t relay_net = 0x7f100000; // 127.16.0.0 and on: links' own addresses
constexpr std::uint32_t datagram_net = 0x7fc80000; // 127.200.0.0 and on

void reset_soon(const tcp_socket &of) {
    const linger none_left{1, 0};
    setsockopt(of.get(), SOL_SOCKET, SO_LINGER, &none_left, sizeof none_left);
}

// Whether the other side has ended its sending.
bool has_ended(const tcp_socket &of) {
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(of.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
           info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

// Listeners with a filter that takes nothing: the system answers no connection, as if nobody were there.
void filter(const tcp_socket &on, bool drops) {
    sock_filter nothing{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog all{1, &nothing};
    const int unused = 0;
    const int failed = drops ? setsockopt(on.get(), SOL_SOCKET, SO_ATTACH_FILTER, &all, sizeof all)
                             : setsockopt(on.get(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    if (failed != 0)
        throw std::system_error(errno, std::generic_category(), "cannot drop what connects to a link");
}

} // namespace

relay::relay(loop &in, const link_table &table, std::uint32_t seed)
    : loop_(in), table_(table), chance_(seed) {}

relay::~relay() {
    for (auto &[tag, each] : pairs_)
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

far_state relay::far_of(const link_id &which) const {
    const auto found = far_.find({which.kind, which.far});
    return found == far_.end() ? far_state::up : found->second;
}

address relay::open(const link_id &which, const address &far) {
    auto &made = links_[key(which)];
    made.id = which;
    made.far = far;
    // An address of its own for each link: no connection that is made here can take its port meanwhile. The
    // process's number keeps two runs on one machine apart.
    const auto place = static_cast<std::uint32_t>(links_.size());
    made.at = ipv4(relay_net + (static_cast<std::uint32_t>(::getpid() % 100) << 16) + place, 0);
    listen(made);
    made.at = local_address(made.listening);
    follow(made);
    return made.at;
}

void relay::move(const link_id &which, const address &far) {
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

void relay::shut(link &on) {
    loop_.forget(on.listening.get());
    on.listening.close();
}

void relay::follow(link &on) {
    const far_state far = far_of(on.id);
    if (far == far_state::refuses && on.listening)
        return shut(on);
    if (far == far_state::refuses)
        return;
    if (!on.listening)
        listen(on);
    const bool drops = far == far_state::silent || !table_.now(on.id).comes_up();
    if (drops != on.filtered)
        filter(on.listening, drops);
    on.filtered = drops;
}

void relay::far_end(link_kind kind, index far, far_state is) {
    far_[{kind, far}] = is;
    for (auto &[number, each] : links_)
        if (each.id.kind == kind && each.id.far == far)
            follow(each);
}

void relay::accept(const link_id &which) {
    auto &on = find(which);
    address peer;
    while (on.listening) {
        tcp_socket one = accept_on(on.listening, peer);
        if (!one)
            break;
        if (table_.now(which).resets) {
            reset_soon(one);
            continue;
        }
        auto made = std::make_unique<pair>();
        made->tag = next_++;
        made->of = which;
        made->near.socket = std::move(one);
        made->far.socket = dial_soon(on.far);
        made->far.connecting = true;
        if (!made->far.socket) {
            reset_soon(made->near.socket);
            continue;
        }
        auto &of = *made;
        pairs_[made->tag] = std::move(made);
        ask(of);
    }
}

// Which events each side waits for, from the state of both directions.
void relay::ask(pair &of) {
    watch(of, true);
    watch(of, false);
}

void relay::watch(pair &of, bool near) {
    side &here = near ? of.near : of.far;
    const link_now &now = table_.now(of.of);
    const direction out = near ? direction::there : direction::back;
    const direction in = near ? direction::back : direction::there;
    const flow &sends = of.flows[static_cast<int>(out)], &gets = of.flows[static_cast<int>(in)];
    const bool writes = here.connecting || (!gets.waits.empty() && !now.at(in).dropped &&
                                            gets.waits.front().due <= loop_.clock.now());
    const bool reads = !here.connecting && !sends.ended && !now.at(out).dropped && sends.held < most_held;
    const std::uint32_t events = (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U);
    // Nothing more can come from a side that has ended and been ended: its hang-up would be told for ever.
    const bool done = here.gone || !here.socket || (sends.ended && gets.passed);
    const int fd = here.socket.get();
    if (done && here.watched) {
        loop_.forget(fd);
        here.watched = false;
    } else if (!done && here.watched) {
        loop_.change(fd, events);
    } else if (!done) {
        here.watched = true;
        loop_.watch(fd, events,
                    [this, tag = of.tag, near](std::uint32_t came_events) { came(tag, near, came_events); });
    }
}

void relay::came(std::uint64_t tag, bool near, std::uint32_t events) {
    const auto found = pairs_.find(tag);
    if (found == pairs_.end())
        return;
    pair &of = *found->second;
    side &here = near ? of.near : of.far;
    const direction out = near ? direction::there : direction::back;
    const bool broke = (events & (EPOLLERR | EPOLLHUP)) != 0;
    if (here.connecting) {
        int failed = 0;
        socklen_t size = sizeof failed;
        getsockopt(here.socket.get(), SOL_SOCKET, SO_ERROR, &failed, &size);
        if (failed != 0)
            return finish(tag, true, false);
        here.connecting = false;
        push(tag, direction::there);
        if (pairs_.contains(tag))
            ask(of);
        return;
    }
    if (broke && table_.now(of.of).at(out).dropped) { // nobody can be told now
        here.gone = true;
        return ask(of);
    }
    // Guards against a reset that a full direction would never read, and be told of for ever.
    if ((events & EPOLLERR) != 0)
        return finish(tag, !near, near);
    if ((events & EPOLLIN) != 0 || broke)
        take(of, out);
    if (pairs_.contains(tag) && (events & EPOLLOUT) != 0)
        push(tag, near ? direction::back : direction::there);
}

void relay::take(pair &of, direction to) {
    const auto tag = of.tag;
    side &from = to == direction::there ? of.near : of.far;
    flow &into = of.flows[static_cast<int>(to)];
    std::array<char, piece_size> part;
    while (!into.ended && into.held < most_held) {
        const long got = read_some(from.socket, part.data(), part.size());
        if (got == -2)
            break;
        if (got < 0)
            return finish(tag, to == direction::back, to == direction::there);
        const way_now &way = table_.now(of.of).at(to);
        const double now = loop_.clock.now();
        const double wire = way.pace > 0 ? static_cast<double>(got) / way.pace : 0;
        double due = now + way.delay + (way.jitter > 0 ? way.jitter * chance_.uniform() : 0);
        due = std::max({due, into.last_due + wire, now + wire}); // in its order, at its pace
        into.last_due = due;
        if (got == 0)
            into.ended = true;
        else if (!of.cut || to != direction::there) { // what goes to the dead is gone
            into.waits.push_back({due, std::string(part.data(), static_cast<std::size_t>(got))});
            into.held += static_cast<std::size_t>(got);
        }
        if (due > now)
            loop_.clock.at(due, [this, here = std::weak_ptr(here_), tag, to] {
                if (!here.expired())
                    push(tag, to);
            });
    }
    push(tag, to);
}

void relay::push(std::uint64_t tag, direction to) {
    const auto found = pairs_.find(tag);
    if (found == pairs_.end())
        return;
    pair &of = *found->second;
    side &into = to == direction::there ? of.far : of.near;
    flow &from = of.flows[static_cast<int>(to)];
    const double now = loop_.clock.now();
    while (!from.waits.empty() && from.waits.front().due <= now && !into.connecting && !into.gone &&
           !table_.now(of.of).at(to).dropped) {
        auto &next = from.waits.front();
        const auto wrote =
            ::send(into.socket.get(), next.bytes.data(), next.bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (wrote <= 0)
            return finish(tag, to == direction::there, to == direction::back);
        carried_ += static_cast<std::uint64_t>(wrote);
        from.held -= static_cast<std::size_t>(wrote);
        next.bytes.erase(0, static_cast<std::size_t>(wrote));
        if (next.bytes.empty())
            from.waits.pop_front();
    }
    const bool may_end = from.ended && !from.passed && from.waits.empty() && from.last_due <= now &&
                         !into.connecting && !table_.now(of.of).at(to).dropped && !of.cut;
    if (may_end) {
        from.passed = true;
        ::shutdown(into.socket.get(), SHUT_WR);
    }
    if (of.flows[0].passed && of.flows[1].passed)
        return finish(tag, false, false);
    ask(of);
}

void relay::finish(std::uint64_t tag, bool reset_near, bool reset_far) {
    const auto found = pairs_.find(tag);
    if (found == pairs_.end())
        return;
    const auto of = std::move(found->second);
    pairs_.erase(found);
    for (side *one : {&of->near, &of->far})
        if (one->watched)
            loop_.forget(one->socket.get());
    if (reset_near)
        reset_soon(of->near.socket);
    if (reset_far && of->far.socket)
        reset_soon(of->far.socket);
}

void relay::changed(const link_id &which, const link_now &before, const link_now &now) {
    const auto known = links_.find(key(which));
    if (known == links_.end())
        return;
    follow(known->second);
    std::vector<std::uint64_t> tags;
    for (const auto &[tag, each] : pairs_)
        if (each->of == which)
            tags.push_back(tag);
    for (const auto tag : tags) {
        pair &of = *pairs_.at(tag);
        if (now.resets) {
            finish(tag, true, true);
            continue;
        }
        if (now.half_open && !before.half_open) {
            of.cut = true;
            if (of.far.watched)
                loop_.forget(of.far.socket.get());
            of.far.watched = false;
            of.far.gone = true;
            reset_soon(of.far.socket);
            of.far.socket.close();
            of.flows[0].waits.clear();
            of.flows[1].waits.clear();
            of.flows[0].held = of.flows[1].held = 0;
            of.flows[1].ended = true; // nothing comes from it any more, nor its end
        }
        if (before.half_open && !now.half_open && of.cut) {
            finish(tag, true, false);
            continue;
        }
        if (of.cut) {
            ask(of);
            continue;
        }
        // A sender that has ended meanwhile takes what was held with it.
        const auto lost = [&](direction way, const side &from) {
            return before.at(way).dropped && !now.at(way).dropped && (from.gone || has_ended(from.socket));
        };
        const bool near_lost = lost(direction::there, of.near), far_lost = lost(direction::back, of.far);
        if (near_lost || far_lost) {
            finish(tag, far_lost, near_lost);
            continue;
        }
        push(tag, direction::there);
        push(tag, direction::back);
        if (pairs_.contains(tag))
            ask(of);
    }
}

// ---- Datagrams

datagram_relay::datagram_relay(loop &in, const link_table &table, std::vector<address> proxies,
                               std::uint32_t seed)
    : loop_(in), table_(table), proxies_(std::move(proxies)), chance_(seed) {
    socket_ = tcp_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const address any = ipv4(INADDR_ANY, 0);
    const int on = 1;
    if (!socket_ || ::bind(socket_.get(), reinterpret_cast<const sockaddr *>(&any.where), any.size) != 0 ||
        setsockopt(socket_.get(), IPPROTO_IP, IP_PKTINFO, &on, sizeof on) != 0)
        throw std::system_error(errno, std::generic_category(), "no socket for datagrams");
    port_ = port_of(local_address(socket_));
    loop_.watch(socket_.get(), EPOLLIN, [this](std::uint32_t) { read(); });
}

datagram_relay::~datagram_relay() {
    loop_.forget(socket_.get());
}

address datagram_relay::seen_at(std::uint32_t number) const {
    return ipv4(datagram_net + number, port_);
}

address datagram_relay::as_seen(index by, index other) const {
    return seen_at(by * static_cast<std::uint32_t>(proxies_.size()) + other + 1);
}

address datagram_relay::all_as_seen(index by) const {
    const auto count = static_cast<std::uint32_t>(proxies_.size());
    return seen_at(count * count + by + 1);
}

void datagram_relay::read() {
    std::array<char, 2048> bytes;
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
        std::uint32_t to = 0;
        for (cmsghdr *each = CMSG_FIRSTHDR(&message); each != nullptr; each = CMSG_NXTHDR(&message, each))
            if (each->cmsg_level == IPPROTO_IP && each->cmsg_type == IP_PKTINFO) {
                in_pktinfo info{};
                std::memcpy(&info, CMSG_DATA(each), sizeof info);
                to = ntohl(info.ipi_addr.s_addr);
            }
        const auto count = static_cast<std::uint32_t>(proxies_.size());
        const std::uint32_t number = to - datagram_net - 1;
        const bool all = number >= count * count;
        const index by = all ? number - count * count : number / count;
        address sender;
        std::memcpy(&sender.where, &from, sizeof from);
        sender.size = sizeof from;
        if (to <= datagram_net || by >= count || to_text(sender) != to_text(proxies_[by])) {
            ++counts_.foreign;
            continue;
        }
        ++counts_.sent;
        counts_.bytes += static_cast<std::uint64_t>(got);
        if (static_cast<std::size_t>(got) > most_datagram) {
            ++counts_.too_long;
            continue;
        }
        const std::string what(bytes.data(), static_cast<std::size_t>(got));
        if (!all)
            carry(by, number % count, what);
        for (index other = 0; all && other < count; ++other)
            if (other != by)
                carry(by, other, what);
    }
}

void datagram_relay::carry(index from, index to, const std::string &what) {
    const way_now way = table_.datagrams(from, to);
    if (way.dropped || chance_.happens(way.lost)) {
        ++counts_.lost;
        return;
    }
    const bool twice = chance_.happens(way.doubled), behind = chance_.happens(way.reordered);
    counts_.doubled += twice;
    counts_.reordered += behind;
    for (int i = 0; i < (twice ? 2 : 1); ++i) {
        const double wait =
            way.delay + (way.jitter > 0 ? way.jitter * chance_.uniform() : 0) + (behind ? reorder_by : 0);
        if (wait <= 0)
            deliver(from, to, what);
        else
            loop_.clock.after(wait, [this, here = std::weak_ptr(here_), from, to, what] {
                if (!here.expired())
                    deliver(from, to, what);
            });
    }
}

void datagram_relay::deliver(index from, index to, const std::string &what) {
    address target = proxies_[to];
    const address source = as_seen(to, from);
    iovec part{const_cast<char *>(what.data()), what.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(in_pktinfo))> extra{};
    msghdr message{};
    message.msg_name = &target.where;
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
    info.ipi_spec_dst = reinterpret_cast<const sockaddr_in *>(&source.where)->sin_addr;
    std::memcpy(CMSG_DATA(head), &info, sizeof info);
    if (::sendmsg(socket_.get(), &message, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0)
        ++counts_.delivered;
}

} // namespace harrierpass::testbed
