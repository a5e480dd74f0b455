// SPDX-License-Identifier: Apache-2.0
// Who may call the administration API, and what each may do. Without an operator nobody may.
#pragma once

#include "admin/messages.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace harrierpass::admin {

// What an operator may do.
enum class role : std::uint8_t {
    read,   // reads all but exports
    tenant, // reads and changes one tenant, which it can neither make nor remove
    all
};

// Someone who may call.
struct operator_account {
    std::string name, token_hash; // SHA-256 of the token's secret
    role may = role::read;
    std::string of; // role::tenant: whose
};

// The operator whose certificate or token the request has; null: none.
const operator_account *authenticate(std::span<const operator_account> operators, const api_request &request);

// Whether the operator may use an operation that needs this role, on this tenant (empty: on none in
// particular).
bool is_permitted(const operator_account &caller, role required, const std::string &tenant_name);

} // namespace harrierpass::admin
