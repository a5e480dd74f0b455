// SPDX-License-Identifier: Apache-2.0
// The state of one request while it is served, which the parts of its session share. It belongs to the thread
// of the client's connection; nothing here is locked. Times are Unix times in seconds.
#pragma once

#include "proxy/client/client_connection.hpp"
#include "proxy/request/proxy_context.hpp"
#include "proxy/request/rejection_reason.hpp"

#include <memory>
#include <optional>
#include <string>

namespace harrierpass::proxy {

struct active_request {
    active_request(proxy_context &shared_context, client_connection &from);

    // When the planned stop needs the response; `never` without a stop.
    double stop_deadline() const { return context.respond_by.load(); }
    // The end of what may be done for the client: its own deadline, or the planned stop's.
    double client_deadline() const;
    // s; the longest wait that the protocol lets a rejection advise.
    double max_retry_after() const { return settings->router.constraints.max_retry_after; }
    const request_class &class_settings() const { return settings->router.request_classes[class_id.value()]; }

    bool client_has_left() const { return !client.socket; }
    // The client has closed its connection: no response is owed to it, and nothing more is sent for it.
    void on_client_left();
    // Looks, without waiting, whether the client has left. A proxy that stood still, or whose connects took
    // long, would send requests whose clients had left long before.
    bool detect_client_left();

    // Whether the client's connection may stay open after the response.
    bool may_keep_connection() const;

    // Counts the request as active, once. One with a streamed body counts when its body has been forwarded,
    // or when it ends before.
    void count_as_active();
    void count_result(request_result result);

    // The router is owed nothing more: what is queued or in flight for the request ends. Without effect once
    // the request is released.
    void abandon();

    proxy_context &context;
    client_connection &client;

    // What was asked.
    std::string id; // the X-Request-Id, as the client gave it
    class_index class_id = none;
    std::string class_name;
    std::shared_ptr<const configuration> settings; // by which the request was parsed
    bool head_only = false;                        // a HEAD request: responses have no body
    int client_http_minor = 1;                     // the client speaks HTTP/1.minor
    bool streams_body = false; // its body is too long to be held: it is forwarded as it comes

    // Its time limits.
    double received_at = 0;          // when the request had been read; 0: it never was
    double client_timeout = 0;       // s that the client waits from the last byte of its request on
    double deadline = 0;             // when the client stops waiting; 0: not known yet
    double response_stall_limit = 0; // s in which a response that has begun must go on

    // What has come of it.
    request_handle handle;                         // how the dispatcher knows it
    active_request_ids::id_lease id_lease;         // no other request has this id while it is held
    request_metrics::scoped_request metrics_scope; // held while the request counts as active
    bool counted_as_active = false;
    bool body_forwarded = false;                  // a streamed body has been forwarded whole
    bool keep_connection = true;                  // the client's, after the response
    int response_status = 0;                      // of the response that was begun; 0: none was
    index attempts = 0;                           // begun at endpoints
    std::optional<rejection_reason> rejected_for; // empty: an endpoint's response, or none
    request_guard guard;                          // refers to `id`, which must not change after it was read
};

} // namespace harrierpass::proxy
