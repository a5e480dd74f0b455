// SPDX-License-Identifier: Apache-2.0
// The log line of a request, which the operators' documentation explains.
#pragma once

#include "proxy/client/close_reason.hpp"

namespace harrierpass::proxy {

struct active_request;

// Logs a request that ended: its response, its attempts, and whether its connection stays open.
void log_request_end(const active_request &request, close_decision decision);

} // namespace harrierpass::proxy
