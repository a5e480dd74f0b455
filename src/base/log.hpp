// SPDX-License-Identifier: Apache-2.0
// A text log; each line has a time and a level and is flushed. Thread-safe.
#pragma once

#include <iosfwd>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

namespace harrierpass {

// Levels in ascending order of severity.
enum class log_level { debug, info, warning, error };

// Returns the level with this name. Throws std::invalid_argument if there is none.
log_level parse_log_level(std::string_view name);

// Writes lines of a minimum level or above.
class log {
public:
    // The stream must outlive the log.
    log(std::ostream &output, log_level minimum) : output_(output), minimum_(minimum) {}

    // Each function writes the concatenated parts as a line of its level.
    template <typename... Parts> void debug(const Parts &...parts) { line(log_level::debug, parts...); }
    template <typename... Parts> void info(const Parts &...parts) { line(log_level::info, parts...); }
    template <typename... Parts> void warning(const Parts &...parts) { line(log_level::warning, parts...); }
    template <typename... Parts> void error(const Parts &...parts) { line(log_level::error, parts...); }
    // Writes a line of a level that is chosen at run time.
    template <typename... Parts> void write(log_level level, const Parts &...parts) { line(level, parts...); }
    // Whether lines of this level are written.
    bool is_enabled(log_level level) const { return level >= minimum_; }

private:
    template <typename... Parts> void line(log_level level, const Parts &...parts) {
        if (!is_enabled(level))
            return;
        std::ostringstream text;
        (text << ... << parts);
        write_line(level, text.str());
    }
    // Writes a line with the time and the level in front of the text.
    void write_line(log_level level, const std::string &text);

    std::mutex mutex_; // protects output_
    std::ostream &output_;
    log_level minimum_;
};

} // namespace harrierpass
