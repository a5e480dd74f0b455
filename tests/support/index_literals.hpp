// SPDX-License-Identifier: Apache-2.0
// Literals for the router's indices: 0_request, 1_endpoint, 2_attempt.
#pragma once

#include "router/types.hpp"

namespace harrierpass {

constexpr request_index operator""_request(unsigned long long value) {
    return request_index(static_cast<index>(value));
}
constexpr endpoint_index operator""_endpoint(unsigned long long value) {
    return endpoint_index(static_cast<index>(value));
}
constexpr attempt_number operator""_attempt(unsigned long long value) {
    return attempt_number(static_cast<index>(value));
}
constexpr class_index operator""_class(unsigned long long value) {
    return class_index(static_cast<index>(value));
}
constexpr tenant_index operator""_tenant(unsigned long long value) {
    return tenant_index(static_cast<index>(value));
}
constexpr zone_index operator""_zone(unsigned long long value) {
    return zone_index(static_cast<index>(value));
}
constexpr cell_index operator""_cell(unsigned long long value) {
    return cell_index(static_cast<index>(value));
}
constexpr kind_index operator""_kind(unsigned long long value) {
    return kind_index(static_cast<index>(value));
}

} // namespace harrierpass
