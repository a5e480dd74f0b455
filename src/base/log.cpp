// SPDX-License-Identifier: Apache-2.0
#include "base/log.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <ostream>
#include <stdexcept>

namespace harrierpass {
namespace {

constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};

} // namespace

log_level parse_log_level(std::string_view name) {
    for (std::size_t i = 0; i < names.size(); ++i)
        if (names[i] == name)
            return static_cast<log_level>(i);
    throw std::invalid_argument("the log level is none of debug, info, warning, error");
}

void log::write(log_level how, const std::string &text) {
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t second = system_clock::to_time_t(now);
    const auto millis = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&second, &parts);
    const std::lock_guard hold(lock_);
    out_ << std::put_time(&parts, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << millis << "Z "
         << names[static_cast<std::size_t>(how)] << ' ' << text << '\n'
         << std::flush;
    out_.clear(); // guards against one failed write that would silence all later ones
}

} // namespace harrierpass
