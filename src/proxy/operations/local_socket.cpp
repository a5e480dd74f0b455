// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/local_socket.hpp"

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <string_view>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

// The address of a local socket. A path that is too long for sockaddr_un is reached through a descriptor of
// its directory.
class local_socket_name {
public:
    local_socket_name(const std::string &directory, const std::string &name);
    // Whether the path fits into an address.
    [[nodiscard]] bool is_usable() const { return is_usable_; }
    [[nodiscard]] const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&address_); }
    // The path, valid as long as this object.
    [[nodiscard]] const char *path() const { return address_.sun_path; }

private:
    sockaddr_un address_{};
    tcp_socket directory_; // owns the descriptor of the directory
    bool is_usable_ = false;
};

local_socket_name::local_socket_name(const std::string &directory, const std::string &name) {
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

tcp_socket local_socket() {
    return tcp_socket(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

bool read_credentials(const tcp_socket &socket, ucred &credentials) {
    socklen_t size = sizeof credentials;
    return ::getsockopt(socket.get(), SOL_SOCKET, SO_PEERCRED, &credentials, &size) == 0;
}

// Whether the peer process runs as the same user; others are not trusted.
bool is_same_user(const tcp_socket &socket) {
    ucred credentials{};
    return read_credentials(socket, credentials) && credentials.uid == ::getuid();
}

} // namespace

tcp_socket listen_locally(const std::string &directory, const std::string &name,
                          const std::string &temporary_name, int backlog) {
    tcp_socket socket = local_socket();
    const local_socket_name temporary(directory, temporary_name);
    const local_socket_name final_name(directory, name);
    if (!socket || !temporary.is_usable() || !final_name.is_usable())
        return {};
    ::unlink(temporary.path());
    if (::bind(socket.get(), temporary.get(), sizeof(sockaddr_un)) != 0 ||
        ::listen(socket.get(), backlog) != 0 || std::rename(temporary.path(), final_name.path()) != 0)
        return {};
    return socket;
}

tcp_socket connect_locally(const std::string &directory, const std::string &name) {
    const local_socket_name address(directory, name);
    tcp_socket socket = local_socket();
    if (!address.is_usable() || !socket || ::connect(socket.get(), address.get(), sizeof(sockaddr_un)) != 0 ||
        !is_same_user(socket))
        return {};
    return socket;
}

bool is_listening_locally(const std::string &directory, const std::string &name) {
    const local_socket_name address(directory, name);
    const tcp_socket socket = local_socket();
    return address.is_usable() && socket &&
           (::connect(socket.get(), address.get(), sizeof(sockaddr_un)) == 0 || errno == EAGAIN);
}

tcp_socket accept_locally(const tcp_socket &listener) {
    tcp_socket accepted(::accept4(listener.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (!accepted || !is_same_user(accepted))
        return {};
    return accepted;
}

pid_t peer_process(const tcp_socket &socket) {
    ucred credentials{};
    return read_credentials(socket, credentials) ? credentials.pid : 0;
}

// The state stands behind the name of the program, which is in parentheses and may contain any character.
bool is_stopped(pid_t process) {
    if (process <= 0)
        return false;
    const tcp_socket file(
        ::open(("/proc/" + std::to_string(process) + "/stat").c_str(), O_RDONLY | O_CLOEXEC));
    std::array<char, 256> text{};
    const ssize_t size = file ? ::read(file.get(), text.data(), text.size()) : 0;
    const std::string_view content(text.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    constexpr std::string_view before_state = ") ";
    const auto position = content.rfind(before_state);
    if (position == std::string_view::npos || position + before_state.size() >= content.size())
        return false;
    const char state = content[position + before_state.size()];
    return state == 'T' || state == 't';
}

bool send_locally(const tcp_socket &socket, const std::string &text, int passed_fd) {
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
    return ::sendmsg(socket.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
}

std::string receive_locally(const tcp_socket &socket, tcp_socket &passed_descriptor) {
    std::string text(max_local_message_size, '\0');
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

bool is_same_socket(int first, int second) {
    struct stat first_status {
    }, second_status{};
    return ::fstat(first, &first_status) == 0 && ::fstat(second, &second_status) == 0 &&
           first_status.st_dev == second_status.st_dev && first_status.st_ino == second_status.st_ino;
}

} // namespace harrierpass::proxy
