// SPDX-License-Identifier: Apache-2.0
// The origin, where all values are, as a model without I/O: slow, and able to serve far less than all
// requests.
#pragma once

#include "testbed/model/cores.hpp"
#include "testbed/model/experiment.hpp"
#include "testbed/model/random.hpp"

namespace harrierpass::testbed {

class origin {
public:
    origin(timeline &clock, const experiment &settings, std::uint32_t seed);
    // Calls `done` with false if its queue was full.
    void fetch(const std::function<void(bool)> &done);
    void slow(double factor, bool begins);
    void stop(bool begins);
    std::uint64_t fetches() const { return fetches_; }
    std::size_t waiting() const { return cores_.waiting(); }

private:
    const origin_settings &settings_;
    random_generator random_;
    cores cores_;
    double factor_ = 1;
    index stops_ = 0;
    std::uint64_t fetches_ = 0;
};

} // namespace harrierpass::testbed
