// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/active_request.hpp"

#include <algorithm>
#include <utility>

namespace harrierpass::proxy {

active_request::active_request(proxy_context &shared_context, client_connection &connection)
    : context(shared_context), client(connection), guard(shared_context.invariants) {}

double active_request::effective_deadline() const {
    return std::min(deadline, stop_deadline());
}

void active_request::extend_deadline(double now) {
    deadline = now + client_timeout;
    guard.set_deadline(deadline);
}

void active_request::on_client_left() {
    client.socket.close();
    guard.on_client_disconnected();
    context.counts.add(counter::client_disconnects);
    context.routing.client_disconnected(handle);
}

bool active_request::detect_client_left() {
    if (client_has_left() || !peer_has_disconnected(client.socket))
        return false;
    on_client_left();
    return true;
}

bool active_request::may_keep_connection() const {
    const bool accepts_requests = !context.is_closing() && !context.is_disabled() && !context.handed_over;
    return keep_connection && !client.closes_after_response && accepts_requests && body_is_complete();
}

void active_request::count_as_active() {
    if (!std::exchange(counted_as_active, true))
        metrics_scope = context.metrics.start_request();
}

void active_request::count_result(request_result result) {
    count_as_active();
    metrics_scope.finish(class_name, result);
}

void active_request::abandon() {
    context.routing.client_disconnected(handle);
    context.routing.request_finished(handle, outcome::canceled);
}

} // namespace harrierpass::proxy
