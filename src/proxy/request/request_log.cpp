// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_log.hpp"

#include "proxy/request/active_request.hpp"

namespace harrierpass::proxy {

void log_request_end(const active_request &request, close_decision decision) {
    const proxy_context &context = request.context;
    const double now = context.routing.now();
    const bool was_read = request.received_at > 0;
    const bool has_response = request.response_status != 0;
    // A request that was sent to endpoints in vain is logged in production, too.
    const bool failed_after_attempts = has_response && request.response_status != 200 && request.attempts > 0;
    const log_level level = failed_after_attempts ? log_level::info : context.request_level();
    if (!context.logger.is_enabled(level) || (!was_read && !has_response))
        return;
    context.logger.write(level, "request-end id=", request.id, " use-case=", request.class_name,
                         " status=", request.response_status, " attempts=", request.attempts,
                         " took=", was_read ? now - request.received_at : 0,
                         " left=", request.deadline > 0 ? request.deadline - now : 0,
                         " stopping-for=", context.time_since_stop(),
                         " refused-for=", request.rejection ? log_text(*request.rejection) : "-",
                         " connection=", decision ? log_text(*decision) : "kept",
                         was_read && !has_response ? " unanswered=1" : "");
}

} // namespace harrierpass::proxy
