// SPDX-License-Identifier: Apache-2.0
// Model of the origin, which stores all values. It is slow and has capacity for a small part of all requests
// only. Does no I/O.
#pragma once

#include "testbed/model/cores.hpp"
#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"

namespace harrierpass::testbed {

// The origin of one run.
class origin {
public:
    origin(timeline &clock, const experiment &settings, std::uint32_t seed);
    // Calls `done` when the value is fetched, or at once with false if the queue is full.
    void fetch(const std::function<void(bool)> &done);
    void slow(double factor, bool begins);
    void stop(bool begins);
    std::uint64_t fetches() const { return fetches_; }
    std::size_t queue_length() const { return cores_.queue_length(); }

private:
    const origin_settings &settings_;
    random_generator random_;
    cores cores_;
    double factor_ = 1;
    index stops_ = 0;
    std::uint64_t fetches_ = 0;
};

} // namespace harrierpass::testbed
