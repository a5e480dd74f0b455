// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/body_relay.hpp"

#include "net/http_call.hpp"
#include "net/threads.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <string>

namespace harrierpass::proxy {
namespace {

class body_relay {
public:
    body_relay(http_reader &message, const tcp_socket &source, const tcp_socket &sink, framing body_framing,
               const relay_limits &limits, const std::function<double()> &now,
               const std::function<bool()> &cancelled)
        : message_(message), source_(source), sink_(sink), framing_(body_framing), limits_(limits), now_(now),
          cancelled_(cancelled) {}

    relay_result run();

private:
    bool write_window(bool is_last);
    std::optional<relay_result> wait_for_source();
    double source_time_left(double waiting_since) const;

    http_reader &message_;
    const tcp_socket &source_;
    const tcp_socket &sink_;
    const framing framing_;
    const relay_limits &limits_;
    const std::function<double()> &now_;
    const std::function<bool()> &cancelled_;
    bool has_chunks_ = false; // a chunk has been written
    double source_wait_ = 0;  // s waited for the source in total; time spent on the sink is not included
};

relay_result body_relay::run() {
    for (auto state = message_.parse_buffered();;) {
        const bool is_last = state == http_reader::state::complete;
        if (!write_window(is_last))
            return relay_result::sink_broken;
        message_.release();
        if (is_last)
            return relay_result::complete;
        if (state == http_reader::state::truncated)
            return relay_result::source_truncated;
        if (state == http_reader::state::malformed || state == http_reader::state::too_large)
            return relay_result::source_malformed;
        if (const auto failure = wait_for_source())
            return *failure;
        state = read_available(message_, source_);
    }
}

// Writes the buffered part of the body and, if `is_last`, the end of the body. Returns false if the sink
// accepts no more data.
bool body_relay::write_window(bool is_last) {
    const double timeout = std::min(limits_.sink_timeout, limits_.deadline - now_());
    const std::string_view body = message_.body();
    std::string chunk_head;
    if (framing_ == framing::chunked && !body.empty()) {
        std::array<char, 24> text{};
        std::snprintf(text.data(), text.size(), "%s%zx\r\n", has_chunks_ ? "\r\n" : "", body.size());
        chunk_head = text.data();
        has_chunks_ = true;
    }
    if (!write_all(sink_, chunk_head, body, timeout))
        return false;
    if (framing_ != framing::chunked || !is_last)
        return true;
    return write_all(sink_, has_chunks_ ? "\r\n0\r\n\r\n" : "0\r\n\r\n", {}, timeout);
}

// Returns an empty result once the source is readable.
std::optional<relay_result> body_relay::wait_for_source() {
    const double waiting_since = now_();
    for (;;) {
        if (cancelled_())
            return relay_result::cancelled;
        const double time_left = source_time_left(waiting_since);
        if (time_left <= 0)
            return relay_result::source_slow;
        const short sink_events = limits_.watch_sink ? POLLIN : 0;
        std::array<pollfd, 2> sockets = {{{source_.get(), POLLIN, 0}, {sink_.get(), sink_events, 0}}};
        if (wait_on(sockets, std::min(missed_wakeup_limit, time_left)) <= 0)
            continue;
        const bool sink_sent = (sockets[1].revents & POLLIN) != 0;
        if (sockets[1].revents != 0)
            return limits_.watch_sink && sink_sent ? relay_result::sink_responded : relay_result::sink_broken;
        if (sockets[0].revents != 0)
            break;
    }
    source_wait_ += now_() - waiting_since;
    return std::nullopt;
}

double body_relay::source_time_left(double waiting_since) const {
    double allowed = limits_.source_timeout;
    if (limits_.source_rate > 0)
        allowed += static_cast<double>(message_.released_bytes()) / limits_.source_rate - source_wait_;
    const double waiting = now_() - waiting_since;
    return std::min(allowed - waiting, limits_.deadline - now_());
}

} // namespace

relay_result relay_body(http_reader &message, const tcp_socket &source, const tcp_socket &sink,
                        framing body_framing, const relay_limits &limits, const std::function<double()> &now,
                        const std::function<bool()> &cancelled) {
    return body_relay(message, source, sink, body_framing, limits, now, cancelled).run();
}

} // namespace harrierpass::proxy
