// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/socket_controls.hpp"

#include <cerrno>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>

namespace harrierpass::testbed {

void reset_on_close(const tcp_socket &socket) {
    const linger none_left{1, 0};
    setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &none_left, sizeof none_left);
}

bool peer_has_ended(const tcp_socket &socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(socket.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
           info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

void set_drop_filter(const tcp_socket &listener, bool drops) {
    sock_filter nothing{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog all{1, &nothing};
    const int unused = 0;
    const int failed = drops
                           ? setsockopt(listener.get(), SOL_SOCKET, SO_ATTACH_FILTER, &all, sizeof all)
                           : setsockopt(listener.get(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    if (failed != 0)
        throw std::system_error(errno, std::generic_category(), "cannot drop what connects to a link");
}

} // namespace harrierpass::testbed
