// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment_layers.hpp"

#include "testbed/model/experiment.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace harrierpass::testbed {
namespace {

[[noreturn]] void refuse(const std::string &name, const toml::node &node, const std::string &reason) {
    throw experiment_error(name + ":" + std::to_string(node.source().begin.line) + ": " + reason);
}

void merge_into(toml::table &target, const toml::table &layer) {
    for (const auto &[key, node] : layer)
        if (auto *const nested = target.get_as<toml::table>(key); nested != nullptr && node.is_table())
            merge_into(*nested, *node.as_table());
        else
            target.insert_or_assign(key, node);
}

std::string path_beside(const std::string &name, const std::string &file) {
    const auto slash = name.rfind('/');
    return (slash == std::string::npos ? "" : name.substr(0, slash + 1)) + file;
}

// A base cannot have a base itself.
toml::table parse_base(const std::string &name, const toml::node &base) {
    const auto file = base.value_exact<std::string>();
    if (!file)
        refuse(name, base, "base is no text");
    const std::string path = path_beside(name, *file);
    std::ifstream file_stream(path);
    std::ostringstream text;
    text << file_stream.rdbuf();
    if (!file_stream)
        refuse(name, base, "base " + path + " cannot be read");
    toml::table parsed = toml::parse(text.str(), path);
    if (const toml::node *second_base = parsed.get("base"))
        refuse(path, *second_base, second_base->is_string() ? "base of a base" : "base is no text");
    return parsed;
}

} // namespace

toml::table merge_experiment_layers(const std::string &text, const std::string &name, bool large) {
    toml::table merged = toml::parse(text, name);
    if (const toml::node *base = merged.get("base")) {
        toml::table base_table = parse_base(name, *base);
        merged.erase("base");
        merge_into(base_table, merged);
        merged = std::move(base_table);
    }
    const toml::node *large_part = merged.get("large");
    if (large_part == nullptr) {
        if (large)
            throw experiment_error(name + ":1: has no [large] part");
        return merged;
    }
    if (!large_part->is_table())
        refuse(name, *large_part, "large is written [large]");
    const toml::table layer = *large_part->as_table();
    merged.erase("large");
    if (large)
        merge_into(merged, layer);
    return merged;
}

} // namespace harrierpass::testbed
