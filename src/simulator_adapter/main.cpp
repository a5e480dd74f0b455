// SPDX-License-Identifier: Apache-2.0
// Runs routers for the simulator: reads messages from standard input and writes actions to standard output.
#include "simulator_adapter/adapter.hpp"

#include <iostream>

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return harrierpass::simulator_adapter::adapter(std::cin, stdout, std::cerr).run();
}
