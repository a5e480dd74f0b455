// SPDX-License-Identifier: Apache-2.0
// Operations on one tenant and its keys; docs/hosted.md lists them.
#pragma once

#include "admin/operation.hpp"

namespace harrierpass::admin {

// 200 with the tenant and its ETag, or 404.
api_answer read_tenant(const operation_context &context);
// 201 with its location; 409 where the name is taken.
api_answer create_tenant(const operation_context &context);
// Creates or replaces it; with "If-None-Match: *" creates only.
api_answer put_tenant(const operation_context &context);
// Applies a merge patch (RFC 7396).
api_answer patch_tenant(const operation_context &context);
// Begins its drain.
api_answer remove_tenant(const operation_context &context);
// Answers with the key's secret, this once.
api_answer add_key(const operation_context &context);
// 404 where the tenant has no such key.
api_answer remove_key(const operation_context &context);

} // namespace harrierpass::admin
