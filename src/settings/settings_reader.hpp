// SPDX-License-Identifier: Apache-2.0
// The settings that a deployment gives an instance, as paths and texts, read into the router's own. The
// fronts share this reader: each brings its form of the same object to paths first.
#pragma once

#include "base/text.hpp"
#include "router/types.hpp"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace harrierpass {

// Paths and their texts. A list has its length under "path.count"; paths unknown here are never looked up.
class field_reader {
public:
    void set(const std::string &path, std::string_view text) { values_[path] = text; }
    std::string_view text(const std::string &path) const;
    bool flag(const std::string &path) const { return text(path) == "true" || text(path) == "1"; }
    double number(const std::string &path, double absent) const;
    double seconds(const std::string &path, double absent) const { // given in ms
        return number(path, absent * 1000) / 1000;
    }
    index count(const std::string &path, index absent) const;
    // As number() and seconds(); throws where what stands there is not from `least` to `most`.
    double number_within(const std::string &path, double absent, double least, double most) const;
    double seconds_within(const std::string &path, double absent, double least, double most) const {
        return number_within(path, absent * 1000, least * 1000, most * 1000) / 1000;
    }
    // Throws where a text stands there that is none of those.
    std::string_view choice(const std::string &path, std::initializer_list<std::string_view> those) const;

private:
    std::map<std::string, std::string, std::less<>> values_;
};

// From "path=value path=value ...".
field_reader read_fields(std::string_view text);

router_settings read_router_settings(const field_reader &given);

} // namespace harrierpass
