// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/hot_restart.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

constexpr double take_over_timeout = 1;                     // s for the process that serves to hand over
constexpr std::chrono::milliseconds broadcast_timeout{400}; // operators wait no longer than 1 s
constexpr double usage_interval = 0.05;                     // s between two messages of usage
constexpr double accept_retry_pause = 0.005;           // s until a successor is accepted that could not be
constexpr double alone_interval = 0.25;                // s between looks while there is no other process
constexpr std::size_t max_peers = 4;                   // the platform starts one successor at a time
constexpr std::size_t max_message_size = 128UL * 1024; // bytes; some thousand disabled endpoints

using kind = peer_message::kind;

// The kinds' letters on the wire.
constexpr std::array<std::pair<kind, char>, 8> kind_letters = {{{kind::hello, 'h'},
                                                                {kind::endpoint_disabled, 'o'},
                                                                {kind::endpoint_enabled, 'b'},
                                                                {kind::endpoint_enabled_at, 't'},
                                                                {kind::draining, 'a'},
                                                                {kind::ready, 'r'},
                                                                {kind::usage, 'u'},
                                                                {kind::done, 'd'}}};

char letter_of(kind type) {
    return std::ranges::find_if(kind_letters, [&](const auto &each) { return each.first == type; })->second;
}

std::optional<kind> kind_of(char letter) {
    const auto found =
        std::ranges::find_if(kind_letters, [&](const auto &each) { return each.second == letter; });
    return found == kind_letters.end() ? std::nullopt : std::optional(found->first);
}

// A local socket's name may be longer than the system takes: then by way of the open directory.
class local_name {
public:
    local_name(const std::string &directory, const std::string &name) {
        std::string path = directory + "/" + name;
        if (path.size() >= sizeof at_.sun_path) {
            directory_ = tcp_socket(::open(directory.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
            path = "/proc/self/fd/" + std::to_string(directory_.get()) + "/" + name;
        }
        at_.sun_family = AF_UNIX;
        usable_ = path.size() < sizeof at_.sun_path;
        if (usable_)
            std::memcpy(at_.sun_path, path.c_str(), path.size() + 1);
    }
    bool usable() const { return usable_; }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&at_); }
    const char *path() const { return at_.sun_path; }

private:
    sockaddr_un at_{};
    tcp_socket directory_; // any descriptor
    bool usable_ = false;
};

tcp_socket local_socket() {
    return tcp_socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

// Whether the other process is the same user's; no other is believed.
bool is_same_user(const tcp_socket &socket) {
    ucred credentials{};
    socklen_t size = sizeof credentials;
    return ::getsockopt(socket.get(), SOL_SOCKET, SO_PEERCRED, &credentials, &size) == 0 &&
           credentials.uid == ::getuid();
}

// One message and, if it brings one, a descriptor. Empty: nothing there (errno EAGAIN), or the end.
std::string receive(const tcp_socket &from, tcp_socket &with) {
    std::string text(max_message_size, '\0');
    iovec part{text.data(), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    errno = 0;
    const auto got = ::recvmsg(from.get(), &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    for (cmsghdr *each = got > 0 ? CMSG_FIRSTHDR(&message) : nullptr; each != nullptr;
         each = CMSG_NXTHDR(&message, each)) {
        if (each->cmsg_level != SOL_SOCKET || each->cmsg_type != SCM_RIGHTS)
            continue;
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(each), sizeof fd);
        with = tcp_socket(fd);
    }
    return text;
}

shared_usage parse_usage(std::string_view text) {
    static constexpr const char *bad = "no numbers of what is in use";
    const auto space = std::min(text.find(' '), text.size());
    return {parse_number<std::size_t>(text.substr(0, space), bad),
            parse_number<std::size_t>(text.substr(std::min(space + 1, text.size())), bad), true};
}

} // namespace

std::string to_text(const shared_usage &usage) {
    return std::to_string(usage.descriptors) + " " + std::to_string(usage.clients);
}

std::string to_message(const std::vector<peer_message> &messages) {
    std::string text;
    for (const auto &each : messages)
        text.append(1, letter_of(each.type))
            .append(std::to_string(each.text.size()))
            .append(":")
            .append(each.text);
    return text;
}

std::vector<peer_message> read_message(std::string_view text) {
    static constexpr const char *bad = "a message of the other process cannot be read";
    std::vector<peer_message> messages;
    while (!text.empty()) {
        const auto colon = text.find(':');
        const auto type = kind_of(text[0]);
        if (!type || colon == std::string_view::npos)
            throw parse_error{bad};
        const auto size = parse_number<std::size_t>(text.substr(1, colon - 1), bad);
        if (size > text.size() - colon - 1)
            throw parse_error{bad};
        messages.push_back({*type, std::string(text.substr(colon + 1, size))});
        text.remove_prefix(colon + 1 + size);
    }
    return messages;
}

hot_restart::hot_restart(std::string directory, const std::string &listen)
    : directory_(std::move(directory)), name_("harrierpass-" + listen + ".sock") {}

hot_restart::~hot_restart() {
    over_ = true;
    if (thread_)
        wake_thread(thread_->id());
    thread_.reset();
}

std::optional<std::pair<tcp_socket, std::vector<peer_message>>> hot_restart::take_over() {
    const local_name at(directory_, name_);
    peer one{local_socket()};
    if (!at.usable() || !one.socket || ::connect(one.socket.get(), at.get(), sizeof(sockaddr_un)) != 0 ||
        !is_same_user(one.socket) || !write(one, {{peer_message::kind::hello, {}}}))
        return std::nullopt;
    const double end = steady_now() + take_over_timeout;
    while (steady_now() < end) {
        pollfd in{one.socket.get(), POLLIN, 0};
        ::poll(&in, 1, static_cast<int>((end - steady_now()) * 1000) + 1); // the program's first thread
        tcp_socket with;
        const std::string text = receive(one.socket, with);
        if (text.empty() && errno == EAGAIN)
            continue;
        if (text.empty() || !with)
            return std::nullopt;
        try {
            auto state = read_message(text);
            for (const auto &each : state)
                if (each.type == peer_message::kind::usage)
                    one.usage = parse_usage(each.text);
            peers_.push_back(std::move(one));
            return std::pair(std::move(with), std::move(state));
        } catch (const parse_error &) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void hot_restart::run(callbacks functions, const tcp_socket &listening) {
    callbacks_ = std::move(functions);
    listening_ = listening.get();
    if (!peers_.empty())
        on_peers_changed(); // from the start on the limits are shared with the process before
    thread_.emplace([this] { loop(); });
}

void hot_restart::start_serving() {
    serves_ = true;
    broadcast({peer_message::kind::ready, {}});
    wake_thread(thread_->id());
}

// Made beside its place and renamed: a successor finds a socket at any time, and one that a killed process
// left is replaced.
void hot_restart::listen_for_successors() {
    successor_socket_ = local_socket();
    const local_name beside(directory_, name_ + "." + std::to_string(::getpid())), at(directory_, name_);
    if (!successor_socket_ || !beside.usable() || !at.usable())
        return;
    ::unlink(beside.path());
    if (::bind(successor_socket_.get(), beside.get(), sizeof(sockaddr_un)) != 0 ||
        ::listen(successor_socket_.get(), max_peers) != 0 || std::rename(beside.path(), at.path()) != 0)
        successor_socket_.close();
}

void hot_restart::loop() {
    double usage_sent_at = 0;
    std::vector<pollfd> polled;
    while (!over_) {
        if (serves_ && !successor_socket_)
            listen_for_successors();
        polled.assign(1, {successor_socket_.get(), POLLIN, 0});
        {
            const std::lock_guard guard(lock_);
            for (const auto &each : peers_)
                polled.push_back({each.socket.get(), POLLIN, 0});
        }
        const bool alone = polled.size() == 1;
        wait_on(polled, alone ? alone_interval : usage_interval);
        bool changed = false;
        auto in = polled.begin() + 1;
        for (auto each = peers_.begin(); in != polled.end(); ++in) {
            const bool stays = in->revents == 0 || read_messages(*each);
            changed = changed || in->revents != 0;
            if (stays) {
                ++each;
                continue;
            }
            const std::lock_guard guard(lock_);
            each = peers_.erase(each);
        }
        if (polled.front().revents != 0) {
            tcp_socket from(
                ::accept4(successor_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
            if (!from) // it still waits, so polling at once would spin
                wait_on({}, accept_retry_pause);
            if (from && is_same_user(from) && peers_.size() < max_peers) {
                const std::lock_guard guard(lock_);
                peers_.push_back({std::move(from)});
                changed = true;
            }
        }
        if (changed)
            on_peers_changed();
        if (steady_now() - usage_sent_at < usage_interval || alone)
            continue;
        usage_sent_at = steady_now();
        const std::string usage = to_text(callbacks_.local_usage());
        const std::lock_guard guard(lock_);
        for (auto &each : peers_)
            write(each, {{peer_message::kind::usage, usage}});
    }
}

bool hot_restart::read_messages(peer &from) {
    tcp_socket none_expected;
    const std::string text = receive(from.socket, none_expected);
    if (text.empty())
        return errno == EAGAIN;
    std::vector<peer_message> all;
    try {
        all = read_message(text);
        for (const auto &each : all) {
            switch (each.type) {
            case peer_message::kind::hello:
                from.is_successor = true;
                if (!write(from, callbacks_.state(), listening_))
                    return false;
                continue;
            case peer_message::kind::usage:
                from.usage = parse_usage(each.text);
                continue;
            case peer_message::kind::done: {
                const std::lock_guard guard(lock_);
                ++from.acknowledged;
                acknowledged_.notify_all();
                continue;
            }
            case peer_message::kind::ready:
                from.ready = true;
                on_peers_changed();
                callbacks_.on_message(each);
                break;
            default:
                callbacks_.on_message(each);
            }
            const std::lock_guard guard(lock_);
            for (auto &other : peers_) // a third process, where one upgrade follows another
                if (&other != &from && each.type != peer_message::kind::ready && write(other, {each}))
                    ++other.sent;
            write(from, {{peer_message::kind::done, {}}});
        }
    } catch (const parse_error &) { // as of another release: it is treated as ended
        return false;
    }
    return true;
}

void hot_restart::on_peers_changed() {
    shared_usage used;
    bool has_successor = false;
    for (const auto &each : peers_) {
        used.has_peers = true;
        used.descriptors += each.usage.descriptors;
        used.clients += each.usage.clients;
        has_successor = has_successor || (each.is_successor && each.ready);
    }
    has_successor_ = has_successor;
    callbacks_.on_peer_usage(used);
}

void hot_restart::broadcast(const peer_message &message) {
    std::unique_lock guard(lock_);
    for (auto &each : peers_)
        if (write(each, {message}))
            ++each.sent;
    acknowledged_.wait_for(guard, broadcast_timeout, [&] {
        return std::all_of(peers_.begin(), peers_.end(),
                           [](const peer &each) { return each.acknowledged >= each.sent; });
    });
}

// Never waits: the socket's buffer holds far more than is sent at a time, so a full one is a process that
// hangs.
bool hot_restart::write(peer &to, const std::vector<peer_message> &messages, int with_socket) {
    const std::string text = to_message(messages);
    iovec part{const_cast<char *>(text.data()), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    if (with_socket >= 0) {
        message.msg_control = control.data();
        message.msg_controllen = control.size();
        cmsghdr *const head = CMSG_FIRSTHDR(&message);
        head->cmsg_level = SOL_SOCKET;
        head->cmsg_type = SCM_RIGHTS;
        head->cmsg_len = CMSG_LEN(sizeof(int));
        std::memcpy(CMSG_DATA(head), &with_socket, sizeof with_socket);
    }
    return ::sendmsg(to.socket.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
}

} // namespace harrierpass::proxy
