// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/body_relay.hpp"

#include "net/http_call.hpp"
#include "net/threads.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace harrierpass::proxy {
namespace {

class body_relay {
public:
    body_relay(http_reader &message, const tcp_socket &source, const tcp_socket &sink, framing body_framing,
               const relay_limits &limits, const relay_callbacks &callbacks)
        : message_(message), source_(source), sink_(sink), framing_(body_framing), limits_(limits),
          callbacks_(callbacks) {}

    relay_result run();

private:
    // The functions that return an optional return the result of the relay if it has to end.
    using failure = std::optional<relay_result>;

    failure check_cancelled_or_late() const;
    failure check_before_end() const;
    failure write_window(bool is_last);
    failure write(std::string_view head, std::string_view body);
    failure wait_for_sink(bool lacks_buffer);
    failure wait_for_source();
    std::string next_chunk_head(std::size_t size);
    double source_time_left(double waiting_since) const;

    http_reader &message_;
    const tcp_socket &source_;
    const tcp_socket &sink_;
    const framing framing_;
    const relay_limits &limits_;
    const relay_callbacks &callbacks_;
    bool has_chunks_ = false;      // a chunk has been written
    double source_wait_ = 0;       // s waited for the source in total; time spent on the sink is not included
    double sink_wait_ = 0;         // s spent on writing to the sink in total
    double window_started_at_ = 0; // start of the write of the current window
    double sink_progress_at_ = 0;  // the sink accepted data, or the write of the current window started
};

relay_result body_relay::run() {
    for (auto state = message_.parse_buffered();;) {
        const bool is_last = state == http_reader::state::complete;
        if (is_last && limits_.carries_request)
            if (const auto failed = check_before_end())
                return *failed;
        if (const auto failed = write_window(is_last))
            return *failed;
        message_.release();
        if (is_last)
            return relay_result::complete;
        if (state == http_reader::state::truncated)
            return relay_result::source_truncated;
        if (state == http_reader::state::malformed || state == http_reader::state::too_large)
            return relay_result::source_malformed;
        if (const auto failed = wait_for_source())
            return *failed;
        state = read_available(message_, source_);
    }
}

body_relay::failure body_relay::check_cancelled_or_late() const {
    if (callbacks_.is_cancelled())
        return relay_result::cancelled;
    if (callbacks_.now() >= callbacks_.deadline())
        return relay_result::deadline_passed;
    return std::nullopt;
}

// The endpoint may execute a request once its last byte is written, so this must not happen too late.
body_relay::failure body_relay::check_before_end() const {
    if (const auto failed = check_cancelled_or_late())
        return failed;
    if (peer_has_disconnected(source_))
        return relay_result::source_disconnected;
    return std::nullopt;
}

// Writes the buffered part of the body and, if `is_last`, the end of the body.
body_relay::failure body_relay::write_window(bool is_last) {
    window_started_at_ = sink_progress_at_ = callbacks_.now();
    const std::string_view body = message_.body();
    const bool is_chunked = framing_ == framing::chunked;
    const std::string chunk_head = is_chunked && !body.empty() ? next_chunk_head(body.size()) : "";
    if (const auto failed = write(chunk_head, body))
        return failed;
    sink_wait_ += callbacks_.now() - window_started_at_;
    if (!is_chunked || !is_last)
        return std::nullopt;
    return write(has_chunks_ ? "\r\n0\r\n\r\n" : "0\r\n\r\n", {});
}

// Returns the size line of a chunk, after the line end of the chunk before.
std::string body_relay::next_chunk_head(std::size_t size) {
    std::array<char, 24> text{};
    const char *const line_end = std::exchange(has_chunks_, true) ? "\r\n" : "";
    std::snprintf(text.data(), text.size(), "%s%zx\r\n", line_end, size);
    return text.data();
}

body_relay::failure body_relay::write(std::string_view head, std::string_view body) {
    while (!head.empty() || !body.empty()) {
        const io_result written = write_some(sink_, head, body);
        if (written.status == io_status::failed)
            return relay_result::sink_broken;
        if (written.status == io_status::progressed)
            sink_progress_at_ = callbacks_.now();
        else if (const auto failed = wait_for_sink(written.lacks_buffer()))
            return failed;
    }
    return std::nullopt;
}

// Waits until the sink may accept data, for a short time only: the deadline and the reasons to cancel change
// meanwhile.
body_relay::failure body_relay::wait_for_sink(bool lacks_buffer) {
    if (callbacks_.is_cancelled())
        return relay_result::cancelled;
    const double now = callbacks_.now();
    if (now >= window_started_at_ + limits_.sink_timeout)
        return relay_result::sink_stalled;
    const double deadline = callbacks_.deadline();
    if (now >= deadline)
        return now >= sink_progress_at_ + limits_.sink_stall_limit ? relay_result::sink_stalled
                                                                   : relay_result::deadline_passed;
    const double limit = std::min(missed_wakeup_limit, deadline - now);
    if (lacks_buffer) {
        wait_on({}, std::min(no_buffer_retry, limit));
        return std::nullopt;
    }
    const short sink_events = limits_.carries_request ? POLLOUT | POLLIN : POLLOUT;
    std::array<pollfd, 2> sockets = {{{sink_.get(), sink_events, 0}, {source_.get(), POLLRDHUP, 0}}};
    // The end of a response is found when it is read.
    const std::size_t watched = limits_.carries_request ? 2 : 1;
    if (wait_on(std::span(sockets).first(watched), limit) <= 0)
        return std::nullopt;
    if ((sockets[0].revents & POLLIN) != 0)
        return relay_result::sink_responded;
    if (sockets[1].revents != 0)
        return relay_result::source_disconnected;
    return std::nullopt;
}

body_relay::failure body_relay::wait_for_source() {
    const double waiting_since = callbacks_.now();
    for (;;) {
        if (const auto failed = check_cancelled_or_late())
            return failed;
        const double until_deadline = callbacks_.deadline() - callbacks_.now();
        const double time_left = source_time_left(waiting_since);
        const short sink_events = limits_.carries_request ? POLLIN : 0;
        std::array<pollfd, 2> sockets = {{{source_.get(), POLLIN, 0}, {sink_.get(), sink_events, 0}}};
        if (wait_on(sockets, std::min({missed_wakeup_limit, std::max(0.0, time_left), until_deadline})) <=
            0) {
            // Only now, as bytes that came while the sink was written to count as well.
            if (time_left <= 0)
                return relay_result::source_slow;
            continue;
        }
        const bool sink_sent = (sockets[1].revents & POLLIN) != 0;
        if (sockets[1].revents != 0)
            return sink_sent ? relay_result::sink_responded : relay_result::sink_broken;
        if (sockets[0].revents != 0)
            break;
    }
    source_wait_ += callbacks_.now() - waiting_since;
    return std::nullopt;
}

double body_relay::source_time_left(double waiting_since) const {
    double allowed = limits_.source_timeout;
    if (limits_.source_rate > 0)
        allowed += static_cast<double>(message_.released_bytes()) / limits_.source_rate - source_wait_;
    const double silent_for = callbacks_.now() - waiting_since;
    const double time_left = allowed - silent_for;
    if (!callbacks_.source_time_left)
        return time_left;
    const relay_waits waits = {
        .for_source = source_wait_ + silent_for, .silent_for = silent_for, .for_sink = sink_wait_};
    return std::min(time_left, callbacks_.source_time_left(waits));
}

} // namespace

relay_result relay_body(http_reader &message, const tcp_socket &source, const tcp_socket &sink,
                        framing body_framing, const relay_limits &limits, const relay_callbacks &callbacks) {
    return body_relay(message, source, sink, body_framing, limits, callbacks).run();
}

} // namespace harrierpass::proxy
