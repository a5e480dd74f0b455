// SPDX-License-Identifier: Apache-2.0
#include "settings/field_reader.hpp"

#include <sstream>

namespace harrierpass {

using std::string_view;

namespace {

constexpr double milliseconds_per_second = 1000;
constexpr double max_count = 65536; // more than any deployment needs

} // namespace

string_view field_reader::text(const std::string &path) const {
    const auto found = values_.find(path);
    return found == values_.end() ? string_view{} : string_view(found->second);
}

bool field_reader::flag(const std::string &path) const {
    const string_view value = text(path);
    return value == "true" || value == "1";
}

double field_reader::number(const std::string &path, double default_value) const {
    const string_view value = text(path);
    if (value.empty() || value == "-")
        return default_value;
    const std::string message = "settings." + path + " is no number";
    return parse_number<double>(value, message.c_str(), {.path = path, .offset = {}});
}

double field_reader::seconds(const std::string &path, double default_value) const {
    return number(path, default_value * milliseconds_per_second) / milliseconds_per_second;
}

index field_reader::count(const std::string &path, index default_value) const {
    if (text(path).empty())
        return default_value;
    const double value = number(path, default_value);
    if (value > max_count)
        throw parse_error(parse_fault::out_of_range, {.path = path, .offset = {}}, "a count is too large");
    return value < 0 ? none : static_cast<index>(value);
}

double field_reader::number_within(const std::string &path, double default_value, double minimum,
                                   double maximum) const {
    const double value = number(path, default_value);
    if (value < minimum || value > maximum) {
        std::ostringstream message;
        message << "settings." << path << " is " << value << ", not from " << minimum << " to " << maximum;
        throw parse_error(parse_fault::out_of_range, {.path = path, .offset = {}}, message.str());
    }
    return value;
}

double field_reader::seconds_within(const std::string &path, double default_value, double minimum,
                                    double maximum) const {
    return number_within(path, default_value * milliseconds_per_second, minimum * milliseconds_per_second,
                         maximum * milliseconds_per_second) /
           milliseconds_per_second;
}

string_view field_reader::choice(const std::string &path, std::initializer_list<string_view> allowed) const {
    const string_view value = text(path);
    if (!value.empty() && std::ranges::find(allowed, value) == allowed.end())
        reject_choice(path, value);
    return value;
}

void field_reader::reject_choice(const std::string &path, string_view value) {
    throw parse_error(parse_fault::unknown_choice, {.path = path, .offset = {}},
                      "settings." + path + " is '" + std::string(value) + "', which is not known");
}

field_reader read_fields(string_view text) {
    const std::size_t size = text.size();
    field_reader fields;
    while (!text.empty()) {
        const auto space = text.find(' ');
        const string_view pair = text.substr(0, space);
        const auto equals = pair.find('=');
        if (equals == string_view::npos)
            throw parse_error(parse_fault::malformed, {.path = {}, .offset = size - text.size()},
                              "a setting without '='");
        fields.set(std::string(pair.substr(0, equals)), pair.substr(equals + 1));
        text = space == string_view::npos ? string_view{} : text.substr(space + 1);
    }
    return fields;
}

} // namespace harrierpass
