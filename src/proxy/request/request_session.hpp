// SPDX-License-Identifier: Apache-2.0
// Serves one request on a client's connection, from its first byte to its response.
#pragma once

#include "proxy/client/client_connection.hpp"
#include "proxy/client/close_reason.hpp"
#include "proxy/request/proxy_context.hpp"

namespace harrierpass::proxy {

// Serves the next request of the connection in the calling thread, which owns the connection. Returns why the
// connection closes; empty: it stays open.
close_decision serve_request(proxy_context &context, client_connection &client);

} // namespace harrierpass::proxy
