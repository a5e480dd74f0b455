// SPDX-License-Identifier: Apache-2.0
// What an operation of the API is given: the request, who sent it, and the parts of its target.
#pragma once

#include "admin/operators.hpp"
#include "admin/registry.hpp"

namespace harrierpass::admin {

// One request on its way through an operation. Refers to what its caller owns.
struct operation_context {
    const api_request &request;
    const operator_account &caller;
    registry &tenants;
    std::string name, id; // {name} and {id} of the path
    std::string query;    // of the target, after '?'
    bool dry_run = false;
    std::optional<std::uint64_t> if_match; // the version of If-Match
};

// Carries out one request whose caller is permitted to.
using operation_handler = api_answer (*)(const operation_context &);

} // namespace harrierpass::admin
