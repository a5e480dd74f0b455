// SPDX-License-Identifier: Apache-2.0
// The state of one request, shared by the parts of its session. It belongs to the thread of the client's
// connection and is not locked. Times are Unix times in seconds.
#pragma once

#include "proxy/client/client_connection.hpp"
#include "proxy/request/proxy_context.hpp"
#include "proxy/request/rejection_reason.hpp"

#include <memory>
#include <optional>
#include <string>

namespace harrierpass::proxy {

// A request from its first byte to its response.
struct active_request {
    // Both arguments must outlive the request.
    active_request(proxy_context &shared_context, client_connection &connection);

    // Time by which a planned stop needs the response; `never` without a stop.
    double stop_deadline() const { return context.respond_by.load(); }
    // The client's deadline or the planned stop's, whichever is earlier.
    double effective_deadline() const;
    // The client had not sent the whole body at `now`, so that its timeout starts then at the earliest.
    void extend_deadline(double now);
    // Longest wait, in seconds, that a rejection may advise.
    double max_retry_after() const { return settings->router.constraints.max_retry_after; }
    // Settings of the request's class; valid once `settings` and `class_id` are set.
    const request_class &class_settings() const { return settings->router.request_classes[class_id.value()]; }

    // Returns whether the client is known to have disconnected.
    bool client_has_left() const { return !client.socket; }
    // Handles a client that closed its connection: it gets no response, and no further attempt is sent.
    void on_client_left();
    // Checks without waiting whether the client has disconnected. After a pause of the process or a slow
    // connect, the proxy would otherwise send requests whose clients disconnected long before.
    bool detect_client_left();

    // Returns whether the whole body was read from the client and, if it is streamed, written to an endpoint.
    // Otherwise the rest of it is still due on both connections.
    bool body_is_complete() const { return !streams_body || body_forwarded; }
    // Returns whether the client's connection may stay open after the response.
    bool may_keep_connection() const;

    // Counts the request as active; later calls have no effect. A request with a streamed body is counted
    // once the body is forwarded, or when the request ends before that.
    void count_as_active();
    // Counts the result once; the request is no longer counted as active.
    void count_result(request_result result);

    // Makes the router release the request: cancels what is queued or in flight for it. Has no effect once
    // the request is released.
    void abandon();

    proxy_context &context;
    client_connection &client;

    // Content of the request.
    std::string id; // the client's X-Request-Id
    class_index class_id = none;
    std::string class_name;
    std::shared_ptr<const configuration> settings; // the configuration that the request was parsed with
    bool head_only = false;                        // a HEAD request: responses have no body
    int client_http_minor = 1;                     // the client speaks HTTP/1.minor
    bool streams_body = false; // the body is too long to be buffered and is forwarded while it arrives

    // Time limits.
    double received_at = 0;    // time at which the request was read; 0: not read yet
    double client_timeout = 0; // seconds that the client waits after the last byte of its request
    double deadline = 0;       // earliest time at which the client stops waiting; 0: not known yet

    // Progress and result.
    request_handle handle;                         // identifies the request at the dispatcher
    request_id_table::id_lease id_lease;           // keeps other active requests from using the same id
    request_metrics::scoped_request metrics_scope; // exists while the request counts as active
    bool counted_as_active = false;
    bool body_forwarded = false;               // a streamed body has been forwarded completely
    bool keep_connection = true;               // the client's connection may stay open after the response
    bool retried_stall = false;                // an attempt was given up because its response stalled
    int response_status = 0;                   // status of the response that was started; 0: none
    index attempts = 0;                        // attempts started at endpoints
    std::optional<rejection_reason> rejection; // empty: the endpoint's response was forwarded, or none
    request_guard guard;                       // refers to `id`, which must not change once it is set
};

} // namespace harrierpass::proxy
