// SPDX-License-Identifier: Apache-2.0
// A log of lines with a time and a level. Thread-safe; each line is flushed.
#pragma once

#include <iosfwd>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

namespace harrierpass {

// How urgent a line is, in ascending order.
enum class log_level { debug, info, warning, error };

// The level of this name. Throws std::invalid_argument where there is none.
log_level parse_log_level(std::string_view name);

// Writes lines of at least a minimum level.
class log {
public:
    // `out` belongs to the caller and must outlive the log.
    log(std::ostream &out, log_level minimum) : out_(out), minimum_(minimum) {}

    // Each writes a line of its level, made of the parts.
    template <typename... Parts> void debug(const Parts &...parts) { line(log_level::debug, parts...); }
    template <typename... Parts> void info(const Parts &...parts) { line(log_level::info, parts...); }
    template <typename... Parts> void warning(const Parts &...parts) { line(log_level::warning, parts...); }
    template <typename... Parts> void error(const Parts &...parts) { line(log_level::error, parts...); }
    // Writes a line of a level that is known only at run time.
    template <typename... Parts> void at(log_level level, const Parts &...parts) { line(level, parts...); }
    // Whether lines of this level are written.
    bool writes(log_level level) const { return level >= minimum_; }

private:
    // Writes a line, if lines of this level are written.
    template <typename... Parts> void line(log_level level, const Parts &...parts) {
        if (!writes(level))
            return;
        std::ostringstream text;
        (text << ... << parts);
        write(level, text.str());
    }
    // Adds time and level.
    void write(log_level level, const std::string &text);

    std::mutex lock_; // guards out_
    std::ostream &out_;
    log_level minimum_;
};

} // namespace harrierpass
