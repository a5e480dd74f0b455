// SPDX-License-Identifier: Apache-2.0
// Strict reader of one table of an experiment file. An accessor leaves its target unchanged if the key is
// absent, and throws experiment_error with file, line and reason for a value of the wrong type or outside its
// bounds. finish() refuses keys that no accessor has read.
#pragma once

#include "testbed/model/experiment.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace harrierpass::testbed {

// Reader of one table; refers to the parsed TOML, which has to outlive it.
class toml_section {
public:
    // `path` is the prefix of keys in messages; messages name `file` if the table has no source path.
    toml_section(const toml::table &table, std::string path, std::string file);

    // Throws with the line of the node, or of the table if there is no node.
    [[noreturn]] void refuse(const toml::node *node, const std::string &reason) const;
    // Throws with the line of the key; the message begins with the key's full name.
    [[noreturn]] void refuse_key(const std::string &key, const std::string &reason) const;

    bool has(const std::string &key) const { return table_.contains(key); }

    // Reads an integer or floating-point number within the bounds.
    void number(const std::string &key, double &target, double minimum, double maximum);
    // Reads an integer within the bounds.
    void whole_number(const std::string &key, index &target, double minimum, double maximum);
    void flag(const std::string &key, bool &target);
    void text(const std::string &key, std::string &target);
    // Reads a time with its unit ("8ms", "2s", "200us", "1min"); target and bounds in seconds.
    void seconds(const std::string &key, double &target, double minimum, double maximum);
    // Reads a list of at least one string.
    void texts(const std::string &key, std::vector<std::string> &target);
    // Reads a list of at least one integer below `limit`, or of ranges of them ("200-299").
    template <typename Number>
    void numbers(const std::string &key, std::vector<Number> &target, double limit) {
        std::vector<std::uint64_t> values;
        if (!read_numbers(key, values, limit))
            return;
        target.clear();
        for (const std::uint64_t value : values)
            target.push_back(static_cast<Number>(value));
    }
    // Reads a name, which `names` (pairs of name and value) maps to a value.
    template <typename Names, typename Kind>
    void one_of(const std::string &key, const Names &names, Kind &target) {
        if (!has(key))
            return;
        std::string value;
        text(key, value);
        std::string known;
        for (const auto &[name, kind] : names) {
            if (value == name) {
                target = kind;
                return;
            }
            known.append(known.empty() ? "" : ", ").append(name);
        }
        refuse_key(key, "is \"" + value + "\"; known values: " + known);
    }
    // Calls `read` for the section of each [[key]].
    template <typename Read> void tables(const std::string &key, Read read) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_array_of_tables())
            refuse_key(key, "is written [[" + key + "]]");
        for (const auto &element : *node->as_array())
            read_table(*element.as_table(), key, read);
    }
    // Calls `read` for the section of [key].
    template <typename Read> void table(const std::string &key, Read read) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_table())
            refuse_key(key, "is written [" + key + "]");
        read_table(*node->as_table(), key, read);
    }

    // Throws for the first key that no accessor has read.
    void finish() const;

private:
    template <typename Read> void read_table(const toml::table &table, const std::string &key, Read read) {
        toml_section section(table, key + ".", file_);
        read(section);
        section.finish();
    }
    const toml::node *take(const std::string &key);
    bool read_numbers(const std::string &key, std::vector<std::uint64_t> &target, double limit);
    void add_range(const std::string &key, const toml::node &node, const std::string &range, double limit,
                   std::vector<std::uint64_t> &target) const;

    const toml::table &table_;
    std::string path_, file_;
    std::set<std::string> requested_keys_;
};

} // namespace harrierpass::testbed
