// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/ids.hpp"

#include "router/router.hpp"

#include <charconv>

namespace harrierpass::testbed {

std::string to_request_id(operation op, index attempt) {
    return "q" + std::to_string(op) + "-" + std::to_string(attempt);
}

std::pair<operation, index> parse_request_id(std::string_view id) {
    operation op = 0;
    index attempt = 0;
    if (id.starts_with('q')) {
        const char *const end = id.data() + id.size();
        const auto [dash, op_error] = std::from_chars(id.data() + 1, end, op);
        if (op_error == std::errc{} && dash != end && *dash == '-') {
            const auto [last, attempt_error] = std::from_chars(dash + 1, end, attempt);
            if (attempt_error == std::errc{} && last == end)
                return {op, attempt};
        }
    }
    return {ring_hash(id) | (operation{1} << 63), 0};
}

std::string server_id(index number) {
    return "s-" + std::to_string(number);
}

} // namespace harrierpass::testbed
