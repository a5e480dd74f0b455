// SPDX-License-Identifier: Apache-2.0
#include "proxy/client/request_reader.hpp"

#include "proxy/client/body_relay.hpp"
#include "proxy/client/response_writer.hpp"

#include <algorithm>

namespace harrierpass::proxy {
namespace {

constexpr double head_limit = 2.3;       // s from the first to the last byte of a head; clients may take 2 s
constexpr double first_head_limit = 2.9; // s from accepting a connection to the end of its first head
constexpr double stop_check_period = 0.05; // s between checks of the response time limit of a stop

request_read_result read_failure(close_reason reason, int response_status = 0) {
    return {.failure = reason, .response_status = response_status};
}

request_read_result result_of(http_reader::state state) {
    switch (state) {
    case http_reader::state::complete:
        return {};
    case http_reader::state::window_full:
        return {.failure = {}, .body_continues = true};
    case http_reader::state::too_large:
        return read_failure(close_reason::malformed_request, 413);
    default:
        return read_failure(close_reason::malformed_request, 400);
    }
}

} // namespace

request_read_result request_reader::read(http_reader &message) {
    deadline_ = head_deadline();
    message.stream_body(max_streamed_body);
    auto state = message.parse_buffered();
    while (state == http_reader::state::incomplete) {
        // The client is told to retry while there is time for a response, instead of losing its connection.
        if (context_.routing.now() >= context_.respond_by)
            return read_failure(close_reason::shutting_down, 503);
        confirm_expectation(message);
        const auto space = message.free_space();
        const io_result received = read_some(client_.socket, space.data(), space.size());
        switch (received.status) {
        case io_status::closed:
            return read_failure(close_reason::client_closed_early);
        case io_status::failed:
            return read_failure(close_reason::client_reset);
        case io_status::progressed:
            state = message.received(received.size);
            extend_deadline(message);
            break;
        case io_status::would_block:
            if (!wait_for_bytes())
                return read_failure(close_reason::client_too_slow, 408);
            break;
        }
    }
    return result_of(state);
}

double request_reader::head_deadline() const {
    const double limit = context_.routing.now() + head_limit;
    const bool is_first = client_.requests <= 1;
    return is_first ? std::min(limit, client_.connected_at + first_head_limit) : limit;
}

// The time limit for the body starts at the end of the head and grows with the bytes received.
void request_reader::extend_deadline(const http_reader &message) {
    if (!message.has_head())
        return;
    if (!head_received_at_)
        head_received_at_ = context_.routing.now();
    deadline_ =
        *head_received_at_ + body_timeout + static_cast<double>(message.body().size()) / min_body_rate;
}

void request_reader::confirm_expectation(const http_reader &message) {
    if (expectation_handled_ || !message.has_head() ||
        !equals_ignoring_case(message.head().header("Expect"), "100-continue"))
        return;
    expectation_handled_ = true;
    write_all(client_.socket, "HTTP/1.1 100 Continue\r\n\r\n", {}, response_write_limit);
}

bool request_reader::wait_for_bytes() const {
    const double time_left = deadline_ - context_.routing.now();
    if (time_left <= 0)
        return false;
    pollfd readable{client_.socket.get(), POLLIN, 0};
    wait_on({&readable, 1}, std::min(stop_check_period, time_left));
    return true;
}

} // namespace harrierpass::proxy
