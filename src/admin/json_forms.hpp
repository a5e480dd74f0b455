// SPDX-License-Identifier: Apache-2.0
// The JSON bodies of the administration API: problem details (RFC 9457), tenants as callers see them, and the
// steps of a change as callers write them.
#pragma once

#include "admin/messages.hpp"
#include "tenants/model.hpp"
#include "tenants/text.hpp"

#include <nlohmann/json.hpp>

namespace harrierpass::admin {

using nlohmann::json;

// An error. `reason`: a word for the log; `faults`: their places are JSON Pointers into the request's body.
api_answer problem(int status, const std::string &detail, const char *reason,
                   const std::vector<tenants::fault> &faults = {});

// The ETag of a version.
std::string entity_tag(std::uint64_t version);

// The body as JSON; discarded where it is none. Never throws a parser's exception.
json parse_body(const std::string &body);

// Whether values nest deeper than any request needs, which would cost a small thread its stack.
bool nests_too_deep(std::string_view text);

// A tenant as it is read: with its numbers, and without the hashes of its keys.
json tenant_form(const tenants::tenant &tenant);

// One step of a change, as far as it could be read.
struct parsed_step {
    tenants::change step;
    std::vector<tenants::fault> faults;
};

// Reads a step from a tenant as callers send it. What was read before may be sent back: the numbers are the
// set's and are dropped, and the keys have to be those that the tenant `name` has in `current`.
parsed_step parse_step(tenants::change::kind kind, json body, const tenants::tenant_set &current,
                       const std::string &name);

// A tenant with the hashes of its keys, as an export has it.
tenants::read_tenant parse_exported_tenant(const json &body);

} // namespace harrierpass::admin
