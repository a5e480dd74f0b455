// SPDX-License-Identifier: Apache-2.0
#include "testbed/links/socket_controls.hpp"

#include <cerrno>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>

namespace harrierpass::testbed {

void reset_on_close(const tcp_socket &socket) {
    const linger zero_timeout{1, 0};
    setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &zero_timeout, sizeof zero_timeout);
}

bool peer_has_ended(const tcp_socket &socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(socket.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
           info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

void set_drop_filter(const tcp_socket &listener, bool drops) {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    const int unused = 0;
    const int failed =
        drops ? setsockopt(listener.get(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
              : setsockopt(listener.get(), SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    if (failed != 0)
        throw std::system_error(errno, std::generic_category(),
                                "cannot change the drop filter of a link's listener");
}

} // namespace harrierpass::testbed
