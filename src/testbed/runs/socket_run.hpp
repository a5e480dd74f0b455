// SPDX-License-Identifier: Apache-2.0
// A run on sockets, in real time: the stand-ins and the clients in one loop of this process, each proxy a
// process of its own, or embedded as the library that others can link.
#pragma once

#include "testbed/runs/run_environment.hpp"

namespace harrierpass::testbed {

struct socket_options {
    std::string program; // the proxy; for baselines `self` proxy --by NAME
    std::string self;    // this program
    std::string logs;    // a folder for proxies' logs and configurations; empty: a temporary one
    bool embeds = false; // proxies as threads of this process
    std::ostream *progress = nullptr;
};

run_result run_on_sockets(const experiment &settings, const variant_settings &as, std::uint32_t seed,
                          const socket_options &how);

struct load_options {
    std::vector<std::string> to; // addresses
    std::uint32_t seed = 1;
    pid_t pid = 0;  // whose CPU and memory are told; 0: nobody's
    index idle = 0; // connections that rest meanwhile, after one query each
    std::ostream *progress = nullptr;
};
struct load_result {
    run_result run;
    double rate = 0;                                // queries a second that were answered
    double cpu_us = 0;                              // of `pid`, a query
    double own_cpu_us = 0;                          // of the generator, a query
    std::uint64_t resident_kb = 0, descriptors = 0; // of `pid`, at the end of the load
};
// Only the load, against what is there already.
load_result run_load(const experiment &settings, const load_options &how);

} // namespace harrierpass::testbed
