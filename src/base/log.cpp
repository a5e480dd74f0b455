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

constexpr std::array<std::string_view, 4> level_names = {"debug", "info", "warning", "error"};

} // namespace

log_level parse_log_level(std::string_view name) {
    for (std::size_t i = 0; i < level_names.size(); ++i)
        if (level_names[i] == name)
            return static_cast<log_level>(i);
    throw std::invalid_argument("unknown log level; expected debug, info, warning or error");
}

void log::write_line(log_level level, const std::string &text) {
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t second = system_clock::to_time_t(now);
    const auto millisecond = duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc{};
    gmtime_r(&second, &utc);
    const std::lock_guard guard(mutex_);
    output_ << std::put_time(&utc, "%FT%T") << '.' << std::setw(3) << std::setfill('0') << millisecond << "Z "
            << level_names[static_cast<std::size_t>(level)] << ' ' << text << '\n'
            << std::flush;
    output_.clear(); // a failed write must not suppress later lines
}

} // namespace harrierpass
