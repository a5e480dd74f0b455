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

constexpr double take_over_timeout = 1;                     // s for the response of the serving process
constexpr std::chrono::milliseconds broadcast_timeout{400}; // operators wait for 1 s at most
constexpr double usage_interval = 0.05;                     // s between two usage messages
constexpr double accept_retry_pause = 0.005;                // s after a failed accept4()
constexpr double no_peers_interval = 0.25;                  // s between checks while there are no peers
constexpr std::size_t max_peers = 4;                        // the platform starts one successor at a time
constexpr std::size_t max_message_size = 128UL * 1024;      // bytes; fits some thousand disabled endpoints

using kind = peer_message::kind;

// The letters that stand for the kinds on the wire.
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

// The address of a local socket. A path that is too long for sockaddr_un is reached through a descriptor of
// its directory.
class local_socket_name {
public:
    local_socket_name(const std::string &directory, const std::string &name) {
        std::string path = directory + "/" + name;
        if (path.size() >= sizeof address_.sun_path) {
            directory_ = tcp_socket(::open(directory.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
            path = "/proc/self/fd/" + std::to_string(directory_.get()) + "/" + name;
        }
        address_.sun_family = AF_UNIX;
        is_usable_ = path.size() < sizeof address_.sun_path;
        if (is_usable_)
            std::memcpy(address_.sun_path, path.c_str(), path.size() + 1);
    }
    bool is_usable() const { return is_usable_; }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&address_); }
    const char *path() const { return address_.sun_path; }

private:
    sockaddr_un address_{};
    tcp_socket directory_; // owns the descriptor of the directory
    bool is_usable_ = false;
};

tcp_socket local_socket() {
    return tcp_socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

// Whether the peer process runs as the same user; others are not trusted.
bool is_same_user(const tcp_socket &socket) {
    ucred credentials{};
    socklen_t size = sizeof credentials;
    return ::getsockopt(socket.get(), SOL_SOCKET, SO_PEERCRED, &credentials, &size) == 0 &&
           credentials.uid == ::getuid();
}

// Receives one message and the descriptor passed with it, if any. Returns an empty text if no message is
// available (errno is EAGAIN) or the peer has closed.
std::string receive(const tcp_socket &socket, tcp_socket &passed_descriptor) {
    std::string text(max_message_size, '\0');
    iovec part{text.data(), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    errno = 0;
    const auto received = ::recvmsg(socket.get(), &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
    text.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    for (cmsghdr *header = received > 0 ? CMSG_FIRSTHDR(&message) : nullptr; header != nullptr;
         header = CMSG_NXTHDR(&message, header)) {
        if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS)
            continue;
        int fd = -1;
        std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
        passed_descriptor = tcp_socket(fd);
    }
    return text;
}

shared_usage parse_usage(std::string_view text) {
    static constexpr const char *error_message = "malformed usage message from another process";
    const auto space = std::min(text.find(' '), text.size());
    return {parse_number<std::size_t>(text.substr(0, space), error_message),
            parse_number<std::size_t>(text.substr(std::min(space + 1, text.size())), error_message), true};
}

} // namespace

std::string to_text(const shared_usage &usage) {
    return std::to_string(usage.descriptors) + " " + std::to_string(usage.clients);
}

std::string to_message(const std::vector<peer_message> &messages) {
    std::string text;
    for (const auto &message : messages)
        text.append(1, letter_of(message.type))
            .append(std::to_string(message.text.size()))
            .append(":")
            .append(message.text);
    return text;
}

std::vector<peer_message> read_message(std::string_view text) {
    static constexpr const char *error_message = "malformed message from another process";
    std::vector<peer_message> messages;
    while (!text.empty()) {
        const auto colon = text.find(':');
        const auto type = kind_of(text[0]);
        if (!type || colon == std::string_view::npos)
            throw parse_error{error_message};
        const auto size = parse_number<std::size_t>(text.substr(1, colon - 1), error_message);
        if (size > text.size() - colon - 1)
            throw parse_error{error_message};
        messages.push_back({*type, std::string(text.substr(colon + 1, size))});
        text.remove_prefix(colon + 1 + size);
    }
    return messages;
}

hot_restart::hot_restart(std::string directory, const std::string &listen)
    : directory_(std::move(directory)), name_("harrierpass-" + listen + ".sock") {}

hot_restart::~hot_restart() {
    stopping_ = true;
    if (thread_)
        wake_thread(thread_->id());
    thread_.reset();
}

std::optional<std::pair<tcp_socket, std::vector<peer_message>>> hot_restart::take_over() {
    const local_socket_name socket_name(directory_, name_);
    peer predecessor{local_socket()};
    if (!socket_name.is_usable() || !predecessor.socket ||
        ::connect(predecessor.socket.get(), socket_name.get(), sizeof(sockaddr_un)) != 0 ||
        !is_same_user(predecessor.socket) || !write(predecessor, {{peer_message::kind::hello, {}}}))
        return std::nullopt;
    const double deadline = steady_now() + take_over_timeout;
    while (steady_now() < deadline) {
        pollfd readable{predecessor.socket.get(), POLLIN, 0};
        // poll() and not wait_on(): this is the main thread of the program.
        ::poll(&readable, 1, static_cast<int>((deadline - steady_now()) * 1000) + 1);
        tcp_socket listener;
        const std::string text = receive(predecessor.socket, listener);
        if (text.empty() && errno == EAGAIN)
            continue;
        if (text.empty() || !listener)
            return std::nullopt;
        try {
            auto state = read_message(text);
            for (const auto &message : state)
                if (message.type == peer_message::kind::usage)
                    predecessor.usage = parse_usage(message.text);
            peers_.push_back(std::move(predecessor));
            return std::pair(std::move(listener), std::move(state));
        } catch (const parse_error &) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

void hot_restart::run(callbacks handlers, const tcp_socket &listener) {
    callbacks_ = std::move(handlers);
    listener_fd_ = listener.get();
    if (!peers_.empty())
        on_peers_changed(); // shares the limits with the predecessor from the start
    thread_.emplace([this] { loop(); });
}

void hot_restart::start_serving() {
    is_serving_ = true;
    broadcast({peer_message::kind::ready, {}});
    wake_thread(thread_->id());
}

// Binds the socket under a temporary name and renames it: successors find a socket at any time, and the
// socket of a killed process is replaced.
void hot_restart::listen_for_successors() {
    successor_socket_ = local_socket();
    const local_socket_name temporary(directory_, name_ + "." + std::to_string(::getpid()));
    const local_socket_name final_name(directory_, name_);
    if (!successor_socket_ || !temporary.is_usable() || !final_name.is_usable())
        return;
    ::unlink(temporary.path());
    if (::bind(successor_socket_.get(), temporary.get(), sizeof(sockaddr_un)) != 0 ||
        ::listen(successor_socket_.get(), max_peers) != 0 ||
        std::rename(temporary.path(), final_name.path()) != 0)
        successor_socket_.close();
}

void hot_restart::loop() {
    double usage_sent_at = 0;
    std::vector<pollfd> polled;
    while (!stopping_) {
        if (is_serving_ && !successor_socket_)
            listen_for_successors();
        polled.assign(1, {successor_socket_.get(), POLLIN, 0});
        {
            const std::lock_guard guard(mutex_);
            for (const auto &peer_process : peers_)
                polled.push_back({peer_process.socket.get(), POLLIN, 0});
        }
        const bool has_peers = polled.size() > 1;
        wait_on(polled, has_peers ? usage_interval : no_peers_interval);
        bool changed = false;
        auto polled_peer = polled.begin() + 1;
        for (auto peer_process = peers_.begin(); polled_peer != polled.end(); ++polled_peer) {
            const bool keep = polled_peer->revents == 0 || read_messages(*peer_process);
            changed = changed || polled_peer->revents != 0;
            if (keep) {
                ++peer_process;
                continue;
            }
            const std::lock_guard guard(mutex_);
            peer_process = peers_.erase(peer_process);
        }
        if (polled.front().revents != 0) {
            tcp_socket successor(
                ::accept4(successor_socket_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
            if (!successor) // it still waits in the backlog: polling without a pause would spin
                wait_on({}, accept_retry_pause);
            if (successor && is_same_user(successor) && peers_.size() < max_peers) {
                const std::lock_guard guard(mutex_);
                peers_.push_back({std::move(successor)});
                changed = true;
            }
        }
        if (changed)
            on_peers_changed();
        if (steady_now() - usage_sent_at < usage_interval || !has_peers)
            continue;
        usage_sent_at = steady_now();
        const std::string usage = to_text(callbacks_.local_usage());
        const std::lock_guard guard(mutex_);
        for (auto &peer_process : peers_)
            write(peer_process, {{peer_message::kind::usage, usage}});
    }
}

bool hot_restart::read_messages(peer &sender) {
    tcp_socket unexpected_descriptor;
    const std::string text = receive(sender.socket, unexpected_descriptor);
    if (text.empty())
        return errno == EAGAIN;
    std::vector<peer_message> messages;
    try {
        messages = read_message(text);
        for (const auto &message : messages) {
            switch (message.type) {
            case peer_message::kind::hello:
                sender.is_successor = true;
                if (!write(sender, callbacks_.state(), listener_fd_))
                    return false;
                continue;
            case peer_message::kind::usage:
                sender.usage = parse_usage(message.text);
                continue;
            case peer_message::kind::done: {
                const std::lock_guard guard(mutex_);
                ++sender.acknowledged;
                acknowledged_.notify_all();
                continue;
            }
            case peer_message::kind::ready:
                sender.ready = true;
                on_peers_changed();
                callbacks_.on_message(message);
                break;
            default:
                callbacks_.on_message(message);
            }
            const std::lock_guard guard(mutex_);
            for (auto &other :
                 peers_) // a third process exists if a second upgrade follows before the first ends
                if (&other != &sender && message.type != peer_message::kind::ready && write(other, {message}))
                    ++other.sent;
            write(sender, {{peer_message::kind::done, {}}});
        }
    } catch (const parse_error &) { // e.g. from another release; handled like the end of the peer
        return false;
    }
    return true;
}

void hot_restart::on_peers_changed() {
    shared_usage total;
    bool has_successor = false;
    for (const auto &peer_process : peers_) {
        total.has_peers = true;
        total.descriptors += peer_process.usage.descriptors;
        total.clients += peer_process.usage.clients;
        has_successor = has_successor || (peer_process.is_successor && peer_process.ready);
    }
    has_successor_ = has_successor;
    callbacks_.on_peer_usage(total);
}

void hot_restart::broadcast(const peer_message &message) {
    std::unique_lock guard(mutex_);
    for (auto &peer_process : peers_)
        if (write(peer_process, {message}))
            ++peer_process.sent;
    acknowledged_.wait_for(guard, broadcast_timeout, [&] {
        return std::all_of(peers_.begin(), peers_.end(), [](const auto &peer_process) {
            return peer_process.acknowledged >= peer_process.sent;
        });
    });
}

// Never blocks: the socket buffer holds far more than one batch of messages, so a full buffer means that the
// peer hangs.
bool hot_restart::write(peer &receiver, const std::vector<peer_message> &messages, int passed_fd) {
    const std::string text = to_message(messages);
    iovec part{const_cast<char *>(text.data()), text.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    if (passed_fd >= 0) {
        message.msg_control = control.data();
        message.msg_controllen = control.size();
        cmsghdr *const header = CMSG_FIRSTHDR(&message);
        header->cmsg_level = SOL_SOCKET;
        header->cmsg_type = SCM_RIGHTS;
        header->cmsg_len = CMSG_LEN(sizeof(int));
        std::memcpy(CMSG_DATA(header), &passed_fd, sizeof passed_fd);
    }
    return ::sendmsg(receiver.socket.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
}

} // namespace harrierpass::proxy
