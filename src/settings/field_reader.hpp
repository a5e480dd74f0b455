// SPDX-License-Identifier: Apache-2.0
// Typed access to settings that are stored as text by path. The proxy and the simulator adapter convert their
// own formats of the same settings to this form. No I/O.
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
// "path.0", "path.1" and so on. Unknown paths are ignored. Every reader throws parse_error with the path
// if the text is invalid.
class field_reader {
public:
    // Sets the text at a path and replaces an earlier one.
    void set(const std::string &path, std::string_view text) { values_[path] = text; }
    // Returns the text at a path; empty if there is none.
    std::string_view text(const std::string &path) const;
    // Whether the text at the path is "true" or "1".
    bool flag(const std::string &path) const;
    // Returns the number at the path, or `default_value` if the text is empty or "-".
    double number(const std::string &path, double default_value) const;
    // Returns the milliseconds at the path in seconds; `default_value` is in seconds.
    double seconds(const std::string &path, double default_value) const;
    // Returns a count or an index; `none` if the number is negative.
    index count(const std::string &path, index default_value) const;
    // Like number(), but rejects values outside `minimum` to `maximum`.
    double number_within(const std::string &path, double default_value, double minimum, double maximum) const;
    // Like seconds(), but rejects values outside `minimum` to `maximum`, which are in seconds.
    double seconds_within(const std::string &path, double default_value, double minimum,
                          double maximum) const;
    // Returns the text at the path, which must be one of `allowed`; empty if there is none.
    std::string_view choice(const std::string &path, std::initializer_list<std::string_view> allowed) const;
    // Returns the kind with the name at the path; `names` is a table of pairs of name and kind.
    template <typename Table, typename Kind>
    Kind kind(const std::string &path, const Table &names, Kind default_value) const {
        const std::string_view value = text(path);
        if (value.empty())
            return default_value;
        const auto found = std::ranges::find(names, value, [](const auto &each) { return each.first; });
        if (found == names.end())
            reject_choice(path, value);
        return found->second;
    }

private:
    // Throws the error for a text that is not allowed.
    [[noreturn]] static void reject_choice(const std::string &path, std::string_view value);

    std::map<std::string, std::string, std::less<>> values_;
};

// Parses settings of the form "path=value path=value ...". Throws parse_error.
field_reader read_fields(std::string_view text);

} // namespace harrierpass
