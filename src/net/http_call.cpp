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
    const long received = read_some(connection, space.data(), space.size());
    if (received > 0)
        return reader.received(static_cast<std::size_t>(received));
    if (received == 0)
        return reader.on_peer_closed();
    return received == read_would_block ? http_reader::state::incomplete : http_reader::state::truncated;
}

} // namespace harrierpass
