// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/toml_section.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace harrierpass::testbed {
namespace {

struct time_unit {
    const char *name;
    double seconds;
};
constexpr std::array<time_unit, 4> time_units = {{{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}}};

std::string to_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

toml_section::toml_section(const toml::table &table, std::string path, std::string file)
    : table_(table), path_(std::move(path)), file_(std::move(file)) {}

void toml_section::refuse(const toml::node *node, const std::string &reason) const {
    const auto &source = node != nullptr ? node->source() : table_.source();
    // The node may come from a base file, so that its own path goes before `file_`.
    throw experiment_error((source.path ? *source.path : file_) + ":" + std::to_string(source.begin.line) +
                           ": " + reason);
}

void toml_section::refuse_key(const std::string &key, const std::string &reason) const {
    refuse(table_.get(key), path_ + key + " " + reason);
}

void toml_section::number(const std::string &key, double &target, double minimum, double maximum) {
    const toml::node *node = take(key);
    if (node == nullptr)
        return;
    const auto value = node->value_exact<double>();
    const auto whole = node->value_exact<std::int64_t>();
    if (!value && !whole)
        refuse_key(key, "is no number");
    target = value ? *value : static_cast<double>(*whole);
    if (!(target >= minimum && target <= maximum))
        refuse_key(key, "is not between " + to_text(minimum) + " and " + to_text(maximum));
}

void toml_section::whole_number(const std::string &key, index &target, double minimum, double maximum) {
    const toml::node *node = take(key);
    if (node == nullptr)
        return;
    if (!node->is_integer())
        refuse_key(key, "is no whole number");
    double value = 0;
    number(key, value, minimum, maximum);
    target = static_cast<index>(value);
}

void toml_section::flag(const std::string &key, bool &target) {
    const toml::node *node = take(key);
    if (node == nullptr)
        return;
    if (!node->is_boolean())
        refuse_key(key, "is neither true nor false");
    target = *node->value<bool>();
}

void toml_section::text(const std::string &key, std::string &target) {
    const toml::node *node = take(key);
    if (node == nullptr)
        return;
    if (!node->is_string())
        refuse_key(key, "is no text");
    target = *node->value<std::string>();
}

void toml_section::seconds(const std::string &key, double &target, double minimum, double maximum) {
    if (!has(key))
        return;
    std::string value;
    text(key, value);
    const auto end = value.find_first_not_of("0123456789.");
    const auto unit = std::find_if(time_units.begin(), time_units.end(), [&](const time_unit &each) {
        return end != std::string::npos && value.substr(end) == each.name;
    });
    if (end == 0 || unit == time_units.end() || std::count(value.begin(), value.end(), '.') > 1)
        refuse_key(key, "is not a time with a unit, such as \"8ms\", \"2s\", \"200us\" or \"1min\"");
    target = std::stod(value.substr(0, end)) * unit->seconds;
    if (!(target >= minimum && target <= maximum))
        refuse_key(key, "is not between " + to_text(minimum) + " and " + to_text(maximum) + " s");
}

void toml_section::texts(const std::string &key, std::vector<std::string> &target) {
    const toml::node *node = take(key);
    if (node == nullptr)
        return;
    if (!node->is_array() || node->as_array()->empty())
        refuse_key(key, "is no list of texts");
    target.clear();
    for (const auto &element : *node->as_array()) {
        if (!element.is_string())
            refuse(&element, path_ + key + " contains a value that is not a text");
        target.push_back(*element.value<std::string>());
    }
}

bool toml_section::read_numbers(const std::string &key, std::vector<std::uint64_t> &target, double limit) {
    const toml::node *node = take(key);
    if (node == nullptr)
        return false;
    if (!node->is_array() || node->as_array()->empty())
        refuse_key(key, "is no list of numbers");
    for (const auto &element : *node->as_array()) {
        const auto range = element.value_exact<std::string>();
        if (range && range->find('-') != std::string::npos) {
            add_range(key, element, *range, limit, target);
            continue;
        }
        const auto value = element.value_exact<std::int64_t>();
        if (!value || *value < 0 || static_cast<double>(*value) >= limit)
            refuse(&element,
                   path_ + key + " contains a value that is not a whole number below " + to_text(limit));
        target.push_back(static_cast<std::uint64_t>(*value));
    }
    return true;
}

void toml_section::add_range(const std::string &key, const toml::node &node, const std::string &range,
                             double limit, std::vector<std::uint64_t> &target) const {
    std::size_t first = 0, last = 0;
    char dash = 0;
    std::istringstream text(range);
    if (!(text >> first >> dash >> last) || dash != '-' || !text.eof() || last < first ||
        static_cast<double>(last) >= limit)
        refuse(&node, path_ + key + " contains a value that is not a range below " + to_text(limit) +
                          ", such as \"4-7\"");
    for (; first <= last; ++first)
        target.push_back(first);
}

void toml_section::finish() const {
    for (const auto &[key, node] : table_)
        if (!requested_keys_.contains(std::string(key.str())))
            refuse(&node, "unknown key " + path_ + std::string(key.str()));
}

const toml::node *toml_section::take(const std::string &key) {
    requested_keys_.insert(key);
    return table_.get(key);
}

} // namespace harrierpass::testbed
