// SPDX-License-Identifier: Apache-2.0
// The one way in which operations change tenants: a transaction of the registry, with dry runs, idempotency
// keys, and refusals as problem details.
#pragma once

#include "admin/operation.hpp"

namespace harrierpass::admin {

// Makes the steps of a change from the present set, under the registry's writer lock. Throws
// tenants::refusal.
using step_maker = std::function<std::vector<tenants::change>(const tenants::tenant_set &current)>;

// What is answered to a change that was made.
struct success_form {
    int status = 200;
    std::optional<std::string> tenant_name; // the one tenant that changes, as named; empty: any number may
    std::string extra_members;              // JSON object, merged into the body, but not in a dry run
};

// Makes the change, or answers why not.
api_answer write_change(const operation_context &context, const step_maker &make_steps,
                        const success_form &success);

} // namespace harrierpass::admin
