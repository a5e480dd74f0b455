// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/body_relay.hpp"

#include "net/http_call.hpp"
#include "net/threads.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace harrierpass::proxy {
namespace {

// Writes what is there of the body, and the end where it is whole; false: the sink takes no more.
bool put(const tcp_socket &sink, std::string_view body, framing how, bool &begun, bool whole, double limit) {
    std::string before;
    if (how == framing::chunked && !body.empty()) {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%s%zx\r\n", begun ? "\r\n" : "", body.size());
        before = size.data();
        begun = true;
    }
    if (!write_all(sink, before, body, limit))
        return false;
    return how != framing::chunked || !whole ||
           write_all(sink, begun ? "\r\n0\r\n\r\n" : "0\r\n\r\n", {}, limit);
}

} // namespace

relay_result relay_body(http_reader &from, const tcp_socket &source, const tcp_socket &sink, framing how,
                        const relay_limits &limits, const std::function<double()> &now,
                        const std::function<bool()> &called) {
    bool begun = false;
    double waited = 0; // s in all; only what the source itself took counts against it
    for (auto state = from.parse_buffered();;) {
        const bool whole = state == http_reader::state::complete;
        if (!put(sink, from.body(), how, begun, whole,
                 std::min(limits.sink_timeout, limits.deadline - now())))
            return relay_result::sink_broken;
        from.release();
        if (whole)
            return relay_result::complete;
        if (state == http_reader::state::truncated)
            return relay_result::source_truncated;
        if (state == http_reader::state::malformed || state == http_reader::state::too_large)
            return relay_result::source_malformed;
        const double since = now();
        for (;;) {
            if (called())
                return relay_result::cancelled;
            const double pause = now() - since;
            const double allowed = limits.source_rate > 0
                                       ? limits.source_timeout +
                                             static_cast<double>(from.released_bytes()) / limits.source_rate -
                                             waited
                                       : limits.source_timeout;
            const double left = std::min(allowed - pause, limits.deadline - now());
            if (left <= 0)
                return relay_result::source_slow;
            std::array<pollfd, 2> both = {
                {{source.get(), POLLIN, 0}, {sink.get(), limits.watch_sink ? short{POLLIN} : short{0}, 0}}};
            if (wait_on(both, std::min(missed_wakeup_limit, left)) <= 0)
                continue;
            if (both[1].revents != 0)
                return limits.watch_sink && (both[1].revents & POLLIN) != 0 ? relay_result::sink_responded
                                                                            : relay_result::sink_broken;
            if (both[0].revents != 0)
                break;
        }
        waited += now() - since;
        state = read_available(from, source);
    }
}

} // namespace harrierpass::proxy
