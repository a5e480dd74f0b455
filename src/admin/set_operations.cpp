// SPDX-License-Identifier: Apache-2.0
#include "admin/set_operations.hpp"

#include "admin/change_writer.hpp"
#include "admin/json_forms.hpp"
#include "admin/pagination.hpp"

#include <algorithm>
#include <set>

namespace harrierpass::admin {

namespace {

using tenants::change;
using tenants::tenant_set;

constexpr std::size_t max_steps = 10000; // of a transaction
constexpr int export_format = 1;

constexpr std::array<std::pair<const char *, change::kind>, 4> step_kinds = {
    {{"create", change::kind::create},
     {"replace", change::kind::replace},
     {"put", change::kind::put},
     {"remove", change::kind::remove}}};

std::optional<change::kind> step_kind_in(const json &body) {
    if (!body.is_object())
        return std::nullopt;
    const json name = body.value("do", json());
    for (const auto &[known, kind] : step_kinds)
        if (name == known)
            return kind;
    return std::nullopt;
}

// Reads one step of a transaction; faults are at `at` and below. Empty: it has no usable kind or name.
std::optional<change> parse_transaction_step(const json &body, const tenant_set &current,
                                             const std::string &at, std::vector<tenants::fault> &faults) {
    const auto kind = step_kind_in(body);
    if (!kind) {
        faults.push_back({at + "/do", "is none of create, replace, put, remove"});
        return std::nullopt;
    }
    const bool removes = *kind == change::kind::remove;
    const json wanted = body.value(removes ? "name" : "tenant", json());
    const json name = removes ? wanted : wanted.is_object() ? wanted.value("name", json()) : json();
    if (!name.is_string()) {
        faults.push_back({at + (removes ? "/name" : "/tenant/name"), "is no text"});
        return std::nullopt;
    }
    parsed_step parsed;
    if (removes) {
        parsed.step.what = change::kind::remove;
        parsed.step.wanted.name = name.get<std::string>();
    } else {
        parsed = parse_step(*kind, wanted, current, name.get<std::string>());
    }
    for (const auto &each : parsed.faults)
        faults.push_back({at + "/tenant" + each.at, each.why});
    if (body.contains("if_match")) {
        if (body["if_match"].is_number_unsigned())
            parsed.step.if_match = body["if_match"].get<std::uint64_t>();
        else
            faults.push_back({at + "/if_match", "is no version"});
    }
    return parsed.step;
}

std::vector<change> steps_of_transaction(const json &body, const tenant_set &current) {
    if (!body.is_object() || body.size() != 1 || !body.contains("steps") || !body["steps"].is_array() ||
        body["steps"].empty() || body["steps"].size() > max_steps)
        throw tenants::refusal{{{"/steps", "is no list of 1 to 10000 steps, alone in an object"}}};
    tenants::refusal refusal;
    std::vector<change> steps;
    for (std::size_t i = 0; i < body["steps"].size(); ++i)
        if (auto step =
                parse_transaction_step(body["steps"][i], current, "/" + std::to_string(i), refusal.faults))
            steps.push_back(std::move(*step));
    if (!refusal.faults.empty())
        throw refusal;
    return steps;
}

// Removes what is there and not named by the steps so far; what drains already does so by itself.
void remove_unnamed(std::vector<change> &steps, const tenant_set &current) {
    std::set<std::string> named;
    for (const auto &each : steps)
        named.insert(each.wanted.name);
    for (const auto &[name, tenant] : current.all())
        if (tenant->is != tenants::state::draining && !named.contains(name))
            steps.push_back({change::kind::remove, *tenant, std::nullopt});
}

std::vector<change> steps_of_import(const json &body, const tenant_set &current) {
    if (!body.is_object() || body.value("format", json()) != export_format || !body.contains("tenants") ||
        !body["tenants"].is_array())
        throw tenants::refusal{{{"", "is no export of format 1"}}};
    tenants::refusal refusal;
    std::vector<change> steps;
    for (std::size_t i = 0; i < body["tenants"].size(); ++i) {
        auto read = parse_exported_tenant(body["tenants"][i]);
        for (const auto &each : read.faults)
            refusal.faults.push_back({"/tenants/" + std::to_string(i) + each.at, each.why});
        steps.push_back({change::kind::put, std::move(read.made), std::nullopt});
    }
    if (!refusal.faults.empty())
        throw refusal;
    remove_unnamed(steps, current);
    return steps;
}

json audit_form(const store::audit_entry &entry) {
    json form = {{"number", entry.number}, {"version", entry.version}, {"time", entry.when},
                 {"who", entry.who},       {"what", entry.what},       {"tenant", entry.name}};
    form["before"] = entry.before.empty() ? json() : json::parse(entry.before);
    form["after"] = entry.after.empty() ? json() : json::parse(entry.after);
    return form;
}

} // namespace

api_answer read_version(const operation_context &context) {
    const auto set = context.tenants.now();
    const json form = {{"version", set->version()}, {"tenants", set->size()}};
    return {200, form.dump(), "application/json", entity_tag(set->version()), "", "read"};
}

api_answer list_tenants(const operation_context &context) {
    const auto set = context.tenants.now();
    const auto after = query_value(context.query, "after");
    const auto size = page_size(context.query);
    if (!size)
        return problem(400, "limit is no number from 1 to 1000", "bad_query");
    json items = json::array();
    auto at = after.empty() ? set->all().begin() : set->all().upper_bound(after);
    for (; at != set->all().end() && items.size() < *size; ++at)
        items.push_back(tenant_form(*at->second));
    json form = {{"version", set->version()}, {"items", items}};
    if (at != set->all().end())
        form["next"] = "/v1/tenants?after=" + items.back()["name"].get<std::string>() +
                       "&limit=" + std::to_string(*size);
    return {200, form.dump(), "application/json", entity_tag(set->version()), "", "read"};
}

api_answer run_transaction(const operation_context &context) {
    return write_change(context,
                        [&](const tenant_set &current) {
                            return steps_of_transaction(parse_body(context.request.body), current);
                        },
                        {200, std::nullopt, ""});
}

api_answer read_audit_log(const operation_context &context) {
    const auto after = query_value(context.query, "after");
    const auto size = page_size(context.query);
    const auto first = after.empty() ? std::optional<std::uint64_t>(0) : parse_number(after);
    if (!size || !first)
        return problem(400, "limit is no number from 1 to 1000, or after no number", "bad_query");
    json items = json::array();
    for (const auto &each : context.tenants.storage().audit(*first, *size))
        items.push_back(audit_form(each));
    json form = {{"items", items}};
    if (items.size() == *size)
        form["next"] = "/v1/audit?after=" + std::to_string(items.back()["number"].get<std::uint64_t>()) +
                       "&limit=" + std::to_string(*size);
    return {200, form.dump(), "application/json", "", "", "read"};
}

api_answer export_tenants(const operation_context &context) {
    const auto set = context.tenants.now();
    json all = json::array();
    for (const auto &[name, tenant] : set->all())
        if (tenant->is != tenants::state::draining) // its end is its own service's matter
            all.push_back(json::parse(tenants::to_json(*tenant, true)));
    const json form = {{"format", export_format}, {"version", set->version()}, {"tenants", all}};
    return {200, form.dump(), "application/json", entity_tag(set->version()), "", "export"};
}

api_answer import_tenants(const operation_context &context) {
    return write_change(
        context,
        [&](const tenant_set &current) { return steps_of_import(parse_body(context.request.body), current); },
        {200, std::nullopt, ""});
}

} // namespace harrierpass::admin
