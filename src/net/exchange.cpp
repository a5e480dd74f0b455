// SPDX-License-Identifier: Apache-2.0
#include "net/exchange.hpp"

#include "net/threads.hpp"

#include <algorithm>

namespace harrierpass {

bool exchange(const tcp_socket &with, std::string_view question, http_reader &answer, double limit,
              const std::function<bool()> &over) {
    const double end = steady_now() + limit;
    if (!write_all(with, question, {}, limit))
        return false;
    auto state = http_reader::state::more;
    while (state == http_reader::state::more) {
        const double left = end - steady_now();
        if (left <= 0 || (over && over()))
            return false;
        pollfd in{with.get(), POLLIN, 0};
        if (wait_on({&in, 1}, over ? std::min(call_lost, left) : left) > 0)
            state = read_into(answer, with);
    }
    return state == http_reader::state::whole;
}

http_reader::state read_into(http_reader &reader, const tcp_socket &from) {
    const long got = read_some(from, reader.room().data(), reader.room().size());
    return got > 0     ? reader.took(static_cast<std::size_t>(got))
           : got == 0  ? reader.ended()
           : got == -2 ? http_reader::state::more
                       : http_reader::state::cut;
}

} // namespace harrierpass
