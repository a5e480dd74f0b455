// SPDX-License-Identifier: Apache-2.0
// Reads and writes the format of endpoint lists that the discovery service and snapshot files use. The only
// module that knows the field names of this format.
#pragma once

#include "base/json.hpp"
#include "proxy/configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace harrierpass::proxy {

// A message of the discovery service: a snapshot of all endpoints, or a delta.
struct endpoint_list {
    // An endpoint and its address.
    struct endpoint_address {
        std::string id;
        std::string host_port;
        endpoint_info info; // `endpoint` and `id` are set by the receiver
    };
    std::uint64_t revision = 0;
    bool is_snapshot = false;
    std::vector<endpoint_address> items;
};

// Reads a list; the names of zones and kinds are looked up in the configuration. Skips entries without an id
// or with an unknown state. Throws parse_error if the message is not a list.
[[nodiscard]] endpoint_list read_endpoint_list(const json &message, const configuration &configured_names);

// Returns a snapshot in the same format.
[[nodiscard]] std::string write_endpoint_list(const endpoint_list &list,
                                              const configuration &configured_names);

} // namespace harrierpass::proxy
