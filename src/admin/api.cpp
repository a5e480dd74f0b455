// SPDX-License-Identifier: Apache-2.0
#include "admin/api.hpp"

#include "admin/json_forms.hpp"
#include "admin/set_operations.hpp"
#include "admin/target.hpp"
#include "admin/tenant_operations.hpp"

namespace harrierpass::admin {

namespace {

// The version in an entity tag of ours; empty: it is none.
std::optional<std::uint64_t> version_in(std::string_view tag) {
    if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    return parse_number(tag.substr(1, tag.size() - 2));
}

} // namespace

std::span<const operation> api::operations() {
    static constexpr std::array<operation, 13> all = {{
        {"GET", "/v1/version", false, role::read, read_version},
        {"GET", "/v1/tenants", false, role::read, list_tenants},
        {"POST", "/v1/tenants", true, role::all, create_tenant},
        {"GET", "/v1/tenants/{name}", false, role::read, read_tenant},
        {"PUT", "/v1/tenants/{name}", true, role::tenant, put_tenant},
        {"PATCH", "/v1/tenants/{name}", true, role::tenant, patch_tenant},
        {"DELETE", "/v1/tenants/{name}", true, role::all, remove_tenant},
        {"POST", "/v1/tenants/{name}/keys", true, role::tenant, add_key},
        {"DELETE", "/v1/tenants/{name}/keys/{id}", true, role::tenant, remove_key},
        {"POST", "/v1/transactions", true, role::all, run_transaction},
        {"GET", "/v1/audit", false, role::read, read_audit_log},
        {"GET", "/v1/export", false, role::all, export_tenants},
        {"POST", "/v1/import", true, role::all, import_tenants},
    }};
    return all;
}

api_answer api::answer(const api_request &request) {
    const operator_account *const caller = authenticate(operators_, request);
    if (caller == nullptr)
        return problem(401, "no operator has this token or certificate", "no_token");
    const auto mark = request.target.find('?');
    const std::string path = request.target.substr(0, mark);
    const std::string query = mark == std::string::npos ? "" : request.target.substr(mark + 1);
    bool path_exists = false;
    for (const auto &each : operations()) {
        operation_context context{request, *caller, registry_, {}, {}, query, false, {}};
        if (!match_path(each.path, path, context.name, context.id))
            continue;
        path_exists = true;
        if (request.method == each.method)
            return run(each, context);
    }
    return path_exists ? problem(405, "this place has no " + request.method, "bad_method")
                       : problem(404, "there is no " + path, "no_such_place");
}

api_answer api::run(const operation &which, operation_context &context) {
    if (!is_permitted(context.caller, which.required, context.name))
        return problem(403, "operator " + context.caller.name + " may not do this", "forbidden");
    const auto dry_run = query_value(context.query, "dry_run");
    if (!dry_run.empty() && dry_run != "true" && dry_run != "false")
        return problem(400, "dry_run is neither true nor false", "bad_query");
    context.dry_run = dry_run == "true";
    if (!context.request.if_match.empty()) {
        context.if_match = version_in(context.request.if_match);
        if (!context.if_match)
            return problem(412, "If-Match is none of our ETags", "if_match");
    }
    if (nests_too_deep(context.request.body))
        return problem(422, "the change is refused, and nothing has changed", "refused",
                       {{"", "is nested too deep"}});
    return which.handler(context);
}

} // namespace harrierpass::admin
