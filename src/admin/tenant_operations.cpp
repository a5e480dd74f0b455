// SPDX-License-Identifier: Apache-2.0
#include "admin/tenant_operations.hpp"

#include "admin/change_writer.hpp"
#include "admin/json_forms.hpp"
#include "admin/secrets.hpp"

#include <algorithm>

namespace harrierpass::admin {

namespace {

using tenants::change;
using tenants::tenant;
using tenants::tenant_set;

tenants::refusal no_such_tenant() {
    return {{{"/name", "is no tenant's"}}, false, true};
}

// The name in the body; empty where it has none.
std::string name_in(const json &body) {
    return body.is_object() && body.contains("name") && body["name"].is_string()
               ? body["name"].get<std::string>()
               : "";
}

change step_to_create(const operation_context &context, const json &body, const tenant_set &current) {
    // Reads the text as it came, which tells what is no JSON, and what stands twice.
    const auto strict = tenants::from_json(context.request.body, false);
    if (body.is_discarded() || (!strict.faults.empty() && !body.is_object()))
        throw tenants::refusal{strict.faults};
    auto parsed = parse_step(change::kind::create, body, current, name_in(body));
    if (!parsed.faults.empty() || !strict.faults.empty())
        throw tenants::refusal{parsed.faults.empty() ? strict.faults : parsed.faults};
    return parsed.step;
}

change step_to_put(const operation_context &context, const tenant_set &current) {
    json body = parse_body(context.request.body);
    const auto strict = tenants::from_json(context.request.body, false);
    if (body.is_discarded())
        throw tenants::refusal{strict.faults};
    if (body.is_object() && body.value("name", json(context.name)) != json(context.name))
        throw tenants::refusal{{{"/name", "is not the name in the path"}}};
    if (body.is_object())
        body["name"] = context.name;
    const bool creates_only = context.request.if_none_match == "*";
    auto parsed =
        parse_step(creates_only ? change::kind::create : change::kind::put, body, current, context.name);
    for (const auto &each : strict.faults)
        if (each.why == "stands twice in one object")
            parsed.faults.push_back(each);
    if (!parsed.faults.empty())
        throw tenants::refusal{parsed.faults};
    parsed.step.if_match = context.if_match;
    return parsed.step;
}

change step_to_patch(const operation_context &context, const tenant_set &current) {
    const auto old = current.find(context.name);
    if (!old)
        throw no_such_tenant();
    auto read = tenants::patched(*old, context.request.body);
    if (read.faults.empty() && read.made.name != context.name)
        read.faults.push_back({"/name", "is not the name in the path"});
    if (!read.faults.empty())
        throw tenants::refusal{read.faults};
    return {change::kind::replace, std::move(read.made), context.if_match};
}

change step_to_add_key(const operation_context &context, const tenant_set &current,
                       const tenants::access_key &key) {
    const auto old = current.find(context.name);
    if (!old)
        throw no_such_tenant();
    tenant next = *old;
    next.keys.push_back(key);
    return {change::kind::replace, std::move(next), context.if_match};
}

change step_to_remove_key(const operation_context &context, const tenant_set &current) {
    const auto old = current.find(context.name);
    tenant next = old ? *old : tenant{};
    if (!old || std::erase_if(next.keys, [&](const auto &each) { return each.id == context.id; }) == 0)
        throw tenants::refusal{{{"", "there is no such key"}}, false, true};
    return {change::kind::replace, std::move(next), context.if_match};
}

// Whether the body of a new key has a note, or nothing.
bool is_key_form(const json &body) {
    if (!body.is_object())
        return false;
    const bool has_note = body.contains("note");
    return body.size() == (has_note ? 1U : 0U) && (!has_note || body["note"].is_string());
}

} // namespace

api_answer read_tenant(const operation_context &context) {
    const auto found = context.tenants.now()->find(context.name);
    if (!found)
        return problem(404, "there is no tenant " + context.name, "no_such_tenant");
    return {200, tenant_form(*found).dump(), "application/json", entity_tag(found->version), "", "read"};
}

api_answer create_tenant(const operation_context &context) {
    const json body = parse_body(context.request.body);
    const std::string name = name_in(body);
    auto answer = write_change(
        context,
        [&](const tenant_set &current) { return std::vector{step_to_create(context, body, current)}; },
        {201, name, ""});
    if (answer.status == 201)
        answer.location = "/v1/tenants/" + name;
    return answer;
}

api_answer put_tenant(const operation_context &context) {
    const auto old = context.tenants.now()->find(context.name);
    if (!old && context.caller.may != role::all)
        return problem(403, "operator " + context.caller.name + " may not make a tenant", "forbidden");
    return write_change(context,
                        [&](const tenant_set &current) { return std::vector{step_to_put(context, current)}; },
                        {old ? 200 : 201, context.name, ""});
}

api_answer patch_tenant(const operation_context &context) {
    return write_change(
        context, [&](const tenant_set &current) { return std::vector{step_to_patch(context, current)}; },
        {200, context.name, ""});
}

api_answer remove_tenant(const operation_context &context) {
    change step{change::kind::remove, {}, context.if_match};
    step.wanted.name = context.name;
    return write_change(context, [&](const tenant_set &) { return std::vector{step}; },
                        {202, context.name, ""});
}

api_answer add_key(const operation_context &context) {
    const std::string &text = context.request.body;
    const json body = text.empty() ? json::object() : parse_body(text);
    if (!is_key_form(body))
        return problem(422, "a key has a note and nothing else", "refused",
                       {{"/note", "is no text, or not alone"}});
    const std::string id = make_id(), secret = make_secret();
    const tenants::access_key key{id, hash_of(secret), body.value("note", "")};
    auto answer = write_change(
        context,
        [&](const tenant_set &current) { return std::vector{step_to_add_key(context, current, key)}; },
        {201, context.name, json{{"key", {{"id", id}, {"secret", secret}}}}.dump()});
    if (answer.status == 201 && answer.why == "changed")
        answer.location = "/v1/tenants/" + context.name + "/keys/" + id;
    return answer;
}

api_answer remove_key(const operation_context &context) {
    return write_change(
        context, [&](const tenant_set &current) { return std::vector{step_to_remove_key(context, current)}; },
        {200, context.name, ""});
}

} // namespace harrierpass::admin
