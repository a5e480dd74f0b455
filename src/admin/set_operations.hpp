// SPDX-License-Identifier: Apache-2.0
// Operations on all tenants: their version and list, transactions, the audit log, export and import;
// docs/hosted.md lists them.
#pragma once

#include "admin/operation.hpp"

namespace harrierpass::admin {

// The set's version and how many tenants it has.
api_answer read_version(const operation_context &context);
// One page of tenants by name, and where the next one is.
api_answer list_tenants(const operation_context &context);
// Several steps: all of them, or none.
api_answer run_transaction(const operation_context &context);
// One page of the audit log, the oldest entries first.
api_answer read_audit_log(const operation_context &context);
// The whole set, with the hashes of keys.
api_answer export_tenants(const operation_context &context);
// The whole set as exported: what it does not name is removed.
api_answer import_tenants(const operation_context &context);

} // namespace harrierpass::admin
