// SPDX-License-Identifier: Apache-2.0
#include "admin/operators.hpp"

#include "admin/secrets.hpp"

#include <algorithm>

namespace harrierpass::admin {

namespace {

const operator_account *find_operator(std::span<const operator_account> operators, const std::string &name) {
    const auto found =
        std::find_if(operators.begin(), operators.end(), [&](const auto &each) { return each.name == name; });
    return found == operators.end() ? nullptr : &*found;
}

// The name is public; only the secret's hash is compared, and for a name that nobody has one is compared,
// too.
const operator_account *authenticate_token(std::span<const operator_account> operators,
                                           const std::string &token) {
    static const std::string no_hash(64, '0');
    const auto dot = token.find('.');
    const std::string secret = dot == std::string::npos ? "" : token.substr(dot + 1);
    const operator_account *const named = find_operator(operators, token.substr(0, dot));
    const bool matches = fits(secret, named != nullptr ? named->token_hash : no_hash);
    return matches ? named : nullptr;
}

} // namespace

const operator_account *authenticate(std::span<const operator_account> operators,
                                     const api_request &request) {
    return request.certified.empty() ? authenticate_token(operators, request.token)
                                     : find_operator(operators, request.certified);
}

bool is_permitted(const operator_account &caller, role required, const std::string &tenant_name) {
    switch (caller.may) {
    case role::all:
        return true;
    case role::tenant:
        return required != role::all && tenant_name == caller.of;
    case role::read:
        return required == role::read;
    }
    return false;
}

} // namespace harrierpass::admin
