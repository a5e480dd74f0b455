// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/origin.hpp"

namespace harrierpass::testbed {

origin::origin(timeline &clock, const experiment &settings, std::uint32_t seed)
    : settings_(settings.origin), random_(seed),
      cores_(clock, settings.origin.workers, settings.origin.queue) {}

void origin::fetch(const std::function<void(bool)> &done) {
    ++fetches_;
    const auto work = [this] { return factor_ * random_.lognormal(settings_.work, settings_.spread); };
    if (!cores_.submit(work, [done] { done(true); }))
        done(false);
}

void origin::slow(double factor, bool begins) {
    factor_ *= begins ? factor : 1 / factor;
}

void origin::stop(bool begins) {
    stops_ += begins ? 1 : static_cast<index>(-1);
    cores_.set_frozen(stops_ > 0);
}

} // namespace harrierpass::testbed
