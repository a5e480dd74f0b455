// SPDX-License-Identifier: Apache-2.0
#include "net/http_call.hpp"

#include "net/threads.hpp"

#include <algorithm>

namespace harrierpass {

bool http_call(const tcp_socket &connection, std::string_view request, http_reader &response, double limit,
               const std::function<bool()> &canceled) {
    const double deadline = steady_now() + limit;
    if (!write_all(connection, request, {}, limit))
        return false;
    auto state = http_reader::state::incomplete;
    while (state == http_reader::state::incomplete) {
        const double left = deadline - steady_now();
        if (left <= 0 || (canceled && canceled()))
            return false;
        pollfd readable{connection.get(), POLLIN, 0};
        if (wait_on({&readable, 1}, canceled ? std::min(missed_wakeup_limit, left) : left) > 0)
            state = read_available(response, connection);
    }
    return state == http_reader::state::complete;
}

http_reader::state read_available(http_reader &reader, const tcp_socket &connection) {
    const std::span<char> space = reader.free_space();
    const io_result received = read_some(connection, space.data(), space.size());
    switch (received.status) {
    case io_status::progressed:
        return reader.received(received.size);
    case io_status::closed:
        return reader.on_peer_closed();
    case io_status::would_block:
        return http_reader::state::incomplete;
    case io_status::failed:
        break;
    }
    return http_reader::state::truncated;
}

} // namespace harrierpass
