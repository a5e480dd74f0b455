// SPDX-License-Identifier: Apache-2.0
// Lines of text with a time and a level; those below the least level are not written.
#pragma once

#include <iosfwd>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

namespace harrierpass {

enum class level { debug, info, warning, error };

// Throws std::invalid_argument for a name that is none.
level level_of(std::string_view name);

class log {
public:
    log(std::ostream &out, level least) : out_(out), least_(least) {}

    template <typename... Parts> void debug(const Parts &...parts) { line(level::debug, parts...); }
    template <typename... Parts> void info(const Parts &...parts) { line(level::info, parts...); }
    template <typename... Parts> void warning(const Parts &...parts) { line(level::warning, parts...); }
    template <typename... Parts> void error(const Parts &...parts) { line(level::error, parts...); }
    // For lines whose level depends on the state that the program is in.
    template <typename... Parts> void at(level how, const Parts &...parts) { line(how, parts...); }
    bool writes(level how) const { return how >= least_; }

private:
    template <typename... Parts> void line(level how, const Parts &...parts) {
        if (how < least_)
            return;
        std::ostringstream text;
        (text << ... << parts);
        write(how, text.str());
    }
    void write(level how, const std::string &text);

    std::mutex lock_;
    std::ostream &out_;
    level least_;
};

} // namespace harrierpass
