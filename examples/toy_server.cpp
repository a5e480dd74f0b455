// SPDX-License-Identifier: Apache-2.0
// What a proxy needs around it, in one program on loopback: discovery at port 8500 and three cache servers
// at 9101 to 9103 with an origin behind them that is slow by 50 ms. A few lines over the laboratory's
// library; harrierpass_testbed does more of the kind. Lines on standard input change things: "leave 1",
// "crash 1", "end crash 1"; "help" lists them. Its end ends nothing, so that it can run in the background.
#include "testbed/model/experiment_reader.hpp"
#include "testbed/program/fleet_shell.hpp"

#include <iostream>

namespace {

constexpr const char *servers = R"(
[fleet]
servers = 3
zones = ["here"]
cores = 4
store = 10000
warm = false
idle = "60s"
[origin]
work = "50ms"
spread = 0
[[use_case]]
name = "lookup"
effect = "idempotent"
work = "500us"
[[use_case]]
name = "booking"
effect = "deduplicated"
group = "all"
window = "10s"
write = true
work = "1ms"
[[use_case]]
name = "invoice"
effect = "non_idempotent"
write = true
work = "1ms"
)";

} // namespace

int main() {
    using namespace harrierpass::testbed;
    shell_options how;
    how.where.first_server = 9101;
    how.where.first_list = 8500;
    how.chatty = true;
    try {
        return serve_fleet(parse_experiment(servers, "toy"), how);
    } catch (const std::exception &failed) {
        std::cerr << "toy_server: " << failed.what() << '\n';
    }
    return 2;
}
