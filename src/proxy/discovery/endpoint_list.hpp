// SPDX-License-Identifier: Apache-2.0
// The endpoint list as the discovery service sends it, and as a snapshot keeps it. The only module that knows
// the names of that format's fields.
#pragma once

#include "base/json.hpp"
#include "proxy/configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace harrierpass::proxy {

// One message of the discovery service: a snapshot of all endpoints, or a delta.
struct endpoint_list {
    // An endpoint with its address.
    struct endpoint_address {
        std::string id;
        std::string host_port;
        endpoint_info info; // without `endpoint` and `id`, which the receiver fills in
    };
    std::uint64_t revision = 0;
    bool is_snapshot = false;
    std::vector<endpoint_address> items;
};

// Reads a list; zones and kinds are looked up in the configuration. Entries without an id or with an unknown
// state are left out. Throws parse_error where it is no list.
[[nodiscard]] endpoint_list read_endpoint_list(const json &from, const configuration &names);

// Writes a snapshot in the same format.
[[nodiscard]] std::string write_endpoint_list(const endpoint_list &list, const configuration &names);

} // namespace harrierpass::proxy
