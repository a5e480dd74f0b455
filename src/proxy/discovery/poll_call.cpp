// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/poll_call.hpp"

#include "net/http_call.hpp"

#include <utility>

namespace harrierpass::proxy {

poll_call::poll_call(tcp_socket connection, std::string request, const discovery::endpoint_poll &poll,
                     double now, std::optional<double> connect_timeout)
    : connection_(std::move(connection)), request_(std::move(request)), unsent_(request_), poll_(poll),
      started_at_(now), deadline_(now + connect_timeout.value_or(poll.timeout)),
      state_(connect_timeout ? state::connecting : state::sending),
      buffer_(std::make_unique_for_overwrite<char[]>(max_response_size)),
      reader_({buffer_.get(), max_response_size}, http_reader::message_kind::response) {}

poll_call::state poll_call::advance(double now) {
    if (state_ == state::connecting)
        finish_connecting(now);
    if (state_ == state::sending)
        send_request();
    if (state_ == state::receiving)
        read_response();
    return state_;
}

pollfd poll_call::awaited() const {
    const bool waits_to_write = state_ == state::connecting || state_ == state::sending;
    return {lacks_buffer_ ? -1 : connection_.get(), static_cast<short>(waits_to_write ? POLLOUT : POLLIN), 0};
}

void poll_call::finish_connecting(double now) {
    pollfd writable{connection_.get(), POLLOUT, 0};
    if (::poll(&writable, 1, 0) <= 0)
        return;
    state_ = finish_dial(connection_) == 0 ? state::sending : state::failed;
    deadline_ = now + poll_.timeout;
}

void poll_call::send_request() {
    std::string_view no_body;
    const io_result written = write_some(connection_, unsent_, no_body);
    lacks_buffer_ = written.lacks_buffer();
    if (written.status == io_status::failed)
        state_ = state::failed;
    else if (unsent_.empty())
        state_ = state::receiving;
}

void poll_call::read_response() {
    switch (read_available(reader_, connection_)) {
    case http_reader::state::incomplete:
        break;
    case http_reader::state::complete:
        state_ = state::complete;
        break;
    default:
        state_ = state::failed;
    }
}

} // namespace harrierpass::proxy
