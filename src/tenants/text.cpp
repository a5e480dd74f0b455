// SPDX-License-Identifier: Apache-2.0
#include "tenants/text.hpp"

#include "settings/kind_names.hpp"

#include <array>
#include <functional>
#include <nlohmann/json.hpp>

namespace harrierpass::tenants {
namespace {

using nlohmann::json;

constexpr int max_depth = 16; // of nested values; a tenant's own nest three deep
constexpr std::array<std::pair<const char *, state>, 3> states = {
    {{"staged", state::staged}, {"active", state::active}, {"draining", state::draining}}};
json value_of(const tenant &of, bool secrets) {
    json made = {{"name", of.name},
                 {"state", name_of(of.is)},
                 {"limits",
                  {{"rate", of.limits.rate},
                   {"burst", of.limits.burst},
                   {"work", of.limits.work},
                   {"in_flight", of.limits.in_flight},
                   {"body", of.limits.body},
                   {"connections", of.limits.connections},
                   {"weight", of.limits.weight}}},
                 {"use_cases", json::array()},
                 {"routes", json::array()},
                 {"keys", json::array()}};
    for (const auto &each : of.use_cases)
        made["use_cases"].push_back({{"name", each.name},
                                     {"effect", kind_name(effect_names, each.decides.effect)},
                                     {"group", kind_name(deduplication_scope_names, each.decides.scope)},
                                     {"window", each.decides.deduplication_window},
                                     {"slo_time", each.decides.latency_objective},
                                     {"statement_timeout", each.deadline},
                                     {"importance", each.decides.priority_weight},
                                     {"tardy", each.decides.late_value_share}});
    for (const auto &each : of.routes)
        made["routes"].push_back(
            {{"host", each.host}, {"prefix", each.prefix}, {"pool", each.pool}, {"use_case", each.use_case}});
    for (const auto &each : of.keys) {
        json key = {{"id", each.id}, {"note", each.note}};
        if (secrets)
            key["hash"] = each.hash;
        made["keys"].push_back(std::move(key));
    }
    return made;
}

// Reads one object member by member, and blames what is left.
class reader {
public:
    using member = std::function<void(const json &, const std::string &)>;
    std::vector<fault> faults;

    void object(const json &from, const std::string &at,
                const std::vector<std::pair<const char *, member>> &members) {
        if (!from.is_object())
            return blame(at, "is no object");
        for (const auto &item : from.items()) {
            const std::string &name = item.key();
            const json &value = item.value();
            const auto found = std::find_if(members.begin(), members.end(),
                                            [&](const auto &each) { return name == each.first; });
            if (found == members.end())
                blame(at + "/" + name, "is not known");
            else
                found->second(value, at + "/" + name);
        }
    }
    template <typename Each> member list(Each each) {
        return [this, each](const json &from, const std::string &at) {
            if (!from.is_array())
                return blame(at, "is no list");
            for (std::size_t i = 0; i < from.size(); ++i)
                each(from[i], at + "/" + std::to_string(i));
        };
    }
    member text(std::string &to) {
        return [this, &to](const json &from, const std::string &at) {
            if (!from.is_string())
                return blame(at, "is no text");
            to = from.get<std::string>();
        };
    }
    member number(double &to) {
        return [this, &to](const json &from, const std::string &at) {
            if (!from.is_number())
                return blame(at, "is no number");
            to = from.get<double>();
        };
    }
    template <typename Number> member unsigned_number(Number &to, double maximum) {
        return [this, &to, maximum](const json &from, const std::string &at) {
            if (!from.is_number_unsigned() || from.get<double>() > maximum)
                return blame(at, "is no whole number from 0 on, or too large a one");
            to = static_cast<Number>(from.get<std::uint64_t>());
        };
    }
    template <typename Names, typename Kind> member one_of(const Names &names, Kind &to) {
        return [this, &names, &to](const json &from, const std::string &at) {
            for (const auto &[name, kind] : names)
                if (from.is_string() && from.get<std::string>() == name) {
                    to = kind;
                    return;
                }
            std::string known;
            for (const auto &each : names)
                known.append(known.empty() ? "" : ", ").append(each.first);
            blame(at, "is none of " + known);
        };
    }
    void blame(const std::string &at, const std::string &why) { faults.push_back({at, why}); }
};

read_tenant of_value(const json &from, bool secrets) {
    read_tenant made;
    tenant &to = made.made;
    reader is;
    is.object(from, "",
              {{"name", is.text(to.name)},
               {"state", is.one_of(states, to.is)},
               {"limits",
                [&](const json &value, const std::string &at) {
                    is.object(value, at,
                              {{"rate", is.number(to.limits.rate)},
                               {"burst", is.number(to.limits.burst)},
                               {"work", is.number(to.limits.work)},
                               {"in_flight", is.unsigned_number(to.limits.in_flight, 1e9)},
                               {"body", is.unsigned_number(to.limits.body, 1e12)},
                               {"connections", is.unsigned_number(to.limits.connections, 1e9)},
                               {"weight", is.number(to.limits.weight)}});
                }},
               {"use_cases", is.list([&](const json &value, const std::string &at) {
                    auto &use = to.use_cases.emplace_back();
                    is.object(value, at,
                              {{"name", is.text(use.name)},
                               {"effect", is.one_of(effect_names, use.decides.effect)},
                               {"group", is.one_of(deduplication_scope_names, use.decides.scope)},
                               {"window", is.number(use.decides.deduplication_window)},
                               {"slo_time", is.number(use.decides.latency_objective)},
                               {"statement_timeout", is.number(use.deadline)},
                               {"importance", is.number(use.decides.priority_weight)},
                               {"tardy", is.number(use.decides.late_value_share)}});
                })},
               {"routes", is.list([&](const json &value, const std::string &at) {
                    auto &each = to.routes.emplace_back();
                    is.object(value, at,
                              {{"host", is.text(each.host)},
                               {"prefix", is.text(each.prefix)},
                               {"pool", is.text(each.pool)},
                               {"use_case", is.text(each.use_case)}});
                })},
               {"keys", is.list([&](const json &value, const std::string &at) {
                    auto &key = to.keys.emplace_back();
                    std::vector<std::pair<const char *, reader::member>> members = {
                        {"id", is.text(key.id)}, {"note", is.text(key.note)}};
                    if (secrets)
                        members.emplace_back("hash", is.text(key.hash));
                    is.object(value, at, members);
                })}});
    made.faults = std::move(is.faults);
    return made;
}

// nlohmann's reader takes the last of two members of one name, and nests as deep as the stack.
struct strict_text {
    json value;
    std::vector<fault> faults;
};

strict_text parse(std::string_view text) {
    strict_text made;
    std::vector<std::vector<std::string>> seen;
    bool deep = false, twice = false;
    const auto look = [&](int depth, json::parse_event_t event, json &value) {
        deep = deep || depth > max_depth;
        if (event == json::parse_event_t::object_start)
            seen.emplace_back();
        else if (event == json::parse_event_t::object_end)
            seen.pop_back();
        else if (event == json::parse_event_t::key) {
            auto &names = seen.back();
            const auto name = value.get<std::string>();
            if (std::find(names.begin(), names.end(), name) != names.end() && !std::exchange(twice, true))
                made.faults.push_back({"/" + name, "stands twice in one object"});
            names.push_back(name);
        }
        return !deep;
    };
    try {
        made.value = json::parse(text, look);
        if (deep)
            made.faults.push_back({"", "is nested too deep"});
    } catch (const json::exception &bad) {
        made.faults.push_back({"", std::string("is no JSON: ") + bad.what()});
    }
    return made;
}

} // namespace

std::string to_json(const tenant &of, bool secrets) {
    return value_of(of, secrets).dump();
}

read_tenant from_json(std::string_view text, bool secrets) {
    auto from = parse(text);
    if (!from.faults.empty())
        return {{}, std::move(from.faults)};
    return of_value(from.value, secrets);
}

read_tenant patched(const tenant &from, std::string_view patch) {
    auto with = parse(patch);
    if (with.faults.empty() && !with.value.is_object())
        with.faults.push_back({"", "is no object"});
    if (!with.faults.empty())
        return {{}, std::move(with.faults)};
    if (with.value.contains("keys")) // their secrets never leave, so a list of them cannot come back whole
        return {{}, {{"/keys", "are changed one by one"}}};
    json value = value_of(from, true);
    value.merge_patch(with.value);
    return of_value(value, true);
}

} // namespace harrierpass::tenants
