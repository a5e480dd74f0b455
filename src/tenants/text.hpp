// SPDX-License-Identifier: Apache-2.0
// Tenants as JSON and back. Strict: a member that is not known, of another kind, or standing twice is a fault
// with its place (JSON Pointer, RFC 6901). Times are seconds.
#pragma once

#include "tenants/model.hpp"

namespace harrierpass::tenants {

// `secrets`: with the hashes of keys, as the store and an export have them; else their ids and notes only.
std::string to_json(const tenant &of, bool secrets);

// A tenant, usable only where there are no faults.
struct read_tenant {
    tenant made;
    std::vector<fault> faults;
};
// A tenant without incarnation and version; those are the set's to give. Hashes are read where `secrets`.
read_tenant from_json(std::string_view text, bool secrets);

// A tenant with a merge patch (RFC 7396) laid over it.
read_tenant patched(const tenant &from, std::string_view patch);

} // namespace harrierpass::tenants
