// SPDX-License-Identifier: Apache-2.0
// Lines of text with a time and a level; those below the least level are not written.
#pragma once

#include <iosfwd>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

namespace harrierpass {

enum class log_level { debug, info, warning, error };

// Throws std::invalid_argument for a name that is none.
log_level parse_log_level(std::string_view name);

class log {
public:
    log(std::ostream &out, log_level least) : out_(out), least_(least) {}

    template <typename... Parts> void debug(const Parts &...parts) { line(log_level::debug, parts...); }
    template <typename... Parts> void info(const Parts &...parts) { line(log_level::info, parts...); }
    template <typename... Parts> void warning(const Parts &...parts) { line(log_level::warning, parts...); }
    template <typename... Parts> void error(const Parts &...parts) { line(log_level::error, parts...); }
    // For lines whose level depends on the state that the program is in.
    template <typename... Parts> void at(log_level how, const Parts &...parts) { line(how, parts...); }
    bool writes(log_level how) const { return how >= least_; }

private:
    template <typename... Parts> void line(log_level how, const Parts &...parts) {
        if (how < least_)
            return;
        std::ostringstream text;
        (text << ... << parts);
        write(how, text.str());
    }
    void write(log_level how, const std::string &text);

    std::mutex lock_;
    std::ostream &out_;
    log_level least_;
};

} // namespace harrierpass
