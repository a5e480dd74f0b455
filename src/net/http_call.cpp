// SPDX-License-Identifier: Apache-2.0
#include "net/http_call.hpp"

#include "net/threads.hpp"

#include <algorithm>

namespace harrierpass {

bool http_call(const tcp_socket &with, std::string_view question, http_reader &answer, double limit,
               const std::function<bool()> &over) {
    const double end = steady_now() + limit;
    if (!write_all(with, question, {}, limit))
        return false;
    auto state = http_reader::state::incomplete;
    while (state == http_reader::state::incomplete) {
        const double left = end - steady_now();
        if (left <= 0 || (over && over()))
            return false;
        pollfd in{with.get(), POLLIN, 0};
        if (wait_on({&in, 1}, over ? std::min(missed_wakeup_limit, left) : left) > 0)
            state = read_available(answer, with);
    }
    return state == http_reader::state::complete;
}

http_reader::state read_available(http_reader &reader, const tcp_socket &from) {
    const long got = read_some(from, reader.free_space().data(), reader.free_space().size());
    return got > 0     ? reader.received(static_cast<std::size_t>(got))
           : got == 0  ? reader.on_peer_closed()
           : got == -2 ? http_reader::state::incomplete
                       : http_reader::state::truncated;
}

} // namespace harrierpass
