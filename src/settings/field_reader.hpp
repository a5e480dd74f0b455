// SPDX-License-Identifier: Apache-2.0
// Typed access to settings that came from outside as paths and texts. The proxy and the simulator adapter
// share it: each brings its own format of the same settings to paths first. No I/O.
#pragma once

#include "base/text.hpp"
#include "router/types.hpp"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace harrierpass {

// Settings by path, such as "limits.cancel". The length of a list is at "path.count", its items are at
// "path.0", "path.1" and so on. A path that nobody reads is ignored. Every reader throws parse_error, with
// the path in it, where the text cannot be used.
class field_reader {
public:
    // Sets the text at a path; a later text replaces an earlier one.
    void set(const std::string &path, std::string_view text) { values_[path] = text; }
    // The text at a path; empty where there is none.
    std::string_view text(const std::string &path) const;
    // Whether "true" or "1" is at the path.
    bool flag(const std::string &path) const;
    // The number at the path; `absent` where there is none or a "-".
    double number(const std::string &path, double absent) const;
    // Seconds from a number of milliseconds; `absent` is in seconds.
    double seconds(const std::string &path, double absent) const;
    // A count or an index; `none` where the number is negative.
    index count(const std::string &path, index absent) const;
    // As number(), from `minimum` to `maximum`.
    double number_within(const std::string &path, double absent, double minimum, double maximum) const;
    // As seconds(), from `minimum` to `maximum`, both in seconds.
    double seconds_within(const std::string &path, double absent, double minimum, double maximum) const;
    // The text at the path, one of those allowed; empty where there is none.
    std::string_view choice(const std::string &path, std::initializer_list<std::string_view> allowed) const;
    // The kind that the text at the path names, by a table of pairs of name and kind.
    template <typename Table, typename Kind>
    Kind kind(const std::string &path, const Table &names, Kind absent) const {
        const std::string_view value = text(path);
        if (value.empty())
            return absent;
        const auto found = std::ranges::find(names, value, [](const auto &each) { return each.first; });
        if (found == names.end())
            reject_choice(path, value);
        return found->second;
    }

private:
    // Throws the error for a text that is none of those allowed.
    [[noreturn]] static void reject_choice(const std::string &path, std::string_view value);

    std::map<std::string, std::string, std::less<>> values_;
};

// Reads settings of the form "path=value path=value ...". Throws parse_error.
field_reader read_fields(std::string_view text);

} // namespace harrierpass
