// SPDX-License-Identifier: Apache-2.0
#include "admin/change_writer.hpp"

#include "admin/json_forms.hpp"
#include "admin/secrets.hpp"

#include <algorithm>

namespace harrierpass::admin {

namespace {

// An idempotency key as the store has it; empty: the request has none.
std::string stored_key(const operation_context &context) {
    const std::string &key = context.request.idempotency_key;
    return key.empty() ? "" : context.caller.name + "/" + key;
}

std::string request_hash(const api_request &request) {
    return hash_of(request.method + " " + request.target + "\n" + request.body);
}

// The answer to a request whose key was used before; empty: it was not.
std::optional<api_answer> answer_again(const operation_context &context, const std::string &key,
                                       const std::string &hash, int status) {
    if (key.empty())
        return std::nullopt;
    const auto before = context.tenants.storage().answered(key);
    if (!before)
        return std::nullopt;
    if (before->request != hash)
        return problem(422, "this Idempotency-Key was used for another request", "key_reused");
    return api_answer{status, before->answer, "application/json", "", "", "repeated"};
}

int status_of(const tenants::refusal &refusal, bool conditional) {
    if (refusal.absent)
        return 404;
    if (refusal.conflict)
        return conditional ? 412 : 409;
    return 422;
}

// Removes the step's number: the body of a request that changes one tenant is the step.
void make_relative_to_step(std::vector<tenants::fault> &faults) {
    for (auto &each : faults)
        each.at = each.at.substr(std::min(each.at.size(), each.at.find('/', 1)));
}

api_answer refused(const operation_context &context, tenants::refusal refusal, bool one_tenant) {
    if (one_tenant)
        make_relative_to_step(refusal.faults);
    return problem(status_of(refusal, context.if_match.has_value()),
                   "the change is refused, and nothing has changed", "refused", refusal.faults);
}

api_answer changed(const operation_context &context, const tenants::tenant_set &set,
                   const success_form &success) {
    json body = {{"version", set.version()}, {"dry_run", context.dry_run}};
    api_answer answer{
        success.status, "", "application/json", "", "", context.dry_run ? "dry_run" : "changed"};
    if (const auto tenant = success.tenant_name ? set.find(*success.tenant_name) : nullptr) {
        body["tenant"] = tenant_form(*tenant);
        answer.etag = entity_tag(tenant->version);
    }
    if (!success.extra_members.empty() && !context.dry_run)
        body.update(json::parse(success.extra_members));
    answer.body = body.dump();
    return answer;
}

} // namespace

api_answer write_change(const operation_context &context, const step_maker &make_steps,
                        const success_form &success) {
    const std::string key = stored_key(context);
    const std::string hash = key.empty() ? "" : request_hash(context.request);
    std::optional<api_answer> early;
    const auto make = [&](const tenants::tenant_set &current) -> std::vector<tenants::change> {
        early = answer_again(context, key, hash, success.status);
        if (early)
            return {};
        try {
            return make_steps(current);
        } catch (const tenants::refusal &refusal) {
            early = problem(refusal.absent ? 404 : 422, "the change is refused", "refused", refusal.faults);
            return {};
        }
    };
    // What is answered is known before the change is made, so that it can be kept with it.
    const store::kept_answer kept{
        hash, json{{"status", success.status}, {"name", success.tenant_name.value_or("")}}.dump()};
    const auto result =
        context.tenants.change(make, context.caller.name, context.dry_run, context.dry_run ? "" : key, kept);
    if (early)
        return *early;
    if (!result.unkept.empty())
        return problem(503, "the change is not made: " + result.unkept, "unkept");
    if (!result.set)
        return refused(context, result.why, success.tenant_name.has_value());
    return changed(context, *result.set, success);
}

} // namespace harrierpass::admin
