// SPDX-License-Identifier: Apache-2.0
// The configuration file of a proxy of a run, as JSON, from the experiment and from where the run's other
// processes are. The keys are those of the proxy's settings. Without I/O.
#pragma once

#include "testbed/model/experiment.hpp"
#include "testbed/model/membership.hpp"

#include <functional>
#include <string>
#include <vector>

namespace harrierpass::testbed {

// Where one proxy finds the others and may keep its files. Addresses are texts of the form HOST:PORT.
struct proxy_environment {
    std::string listen, list_service;
    std::string folder; // for its snapshot of the endpoint list
    // Datagrams: its own address, those of the other proxies, and the one that reaches all of them. Used
    // where the experiment has `peers`.
    std::string peer_listen, all_peers;
    std::vector<std::string> peers;
    std::function<std::string(index server)> server_address;
};

// `list` is what discovery knows now, for proxies that start with a known list. `seed`: of the proxy's own
// random choices.
[[nodiscard]] std::string proxy_configuration(const experiment &given, index proxy, std::uint32_t seed,
                                              const membership &list, const proxy_environment &environment);

} // namespace harrierpass::testbed
