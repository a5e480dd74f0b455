// SPDX-License-Identifier: Apache-2.0
// The environment of a proxy in one program on loopback: discovery on port 8500, and three cache servers on
// ports 9101 to 9103 with an origin that takes 50 ms for each fetch. A small program on top of the testbed
// library; harrierpass_testbed offers more. Commands on standard input change the fleet, e.g. "leave 1",
// "crash 1" and "end crash 1"; "help" lists them. The end of standard input does not stop the program, so
// that it can run in the background.
#include "testbed/model/experiment_reader.hpp"
#include "testbed/program/fleet_shell.hpp"

#include <iostream>

namespace {

constexpr const char *fleet_experiment = R"(
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
    shell_options options;
    options.ports.first_server = 9101;
    options.ports.first_list = 8500;
    options.prints_events = true;
    try {
        return serve_fleet(parse_experiment(fleet_experiment, "toy"), options);
    } catch (const std::exception &error) {
        std::cerr << "toy_server: " << error.what() << '\n';
    }
    return 2;
}
