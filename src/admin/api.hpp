// SPDX-License-Identifier: Apache-2.0
// The administration API, version 1: requests in, answers out, no sockets. JSON in and out; errors are
// problem details (RFC 9457) whose `errors` hold a JSON Pointer into the body for each fault; concurrent
// writers use ETag and If-Match (RFC 9110, 8.8.3 and 13.1.1); PATCH is a merge patch (RFC 7396).
// docs/hosted.md lists the operations.
#pragma once

#include "admin/operation.hpp"

#include <vector>

namespace harrierpass::admin {

// A method and path of the API.
struct operation {
    const char *method, *path; // {name} and {id} stand for one segment
    bool writes;
    role required;
    operation_handler handler;
};

// Finds the operation of a request, checks who may call it, and has it carried out. Thread-safe.
class api {
public:
    // `tenants` must outlive it.
    api(registry &tenants, std::vector<operator_account> operators)
        : registry_(tenants), operators_(std::move(operators)) {}

    // Throws std::bad_alloc, and store::store_failure where the store cannot be read.
    api_answer answer(const api_request &request);

    // All operations, in the order in which they are tried.
    static std::span<const operation> operations();

private:
    // Checks what all operations have in common, and calls the handler.
    static api_answer run(const operation &which, operation_context &context);

    registry &registry_;
    const std::vector<operator_account> operators_;
};

} // namespace harrierpass::admin
