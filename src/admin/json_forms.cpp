// SPDX-License-Identifier: Apache-2.0
#include "admin/json_forms.hpp"

namespace harrierpass::admin {

namespace {

using tenants::fault;

constexpr std::size_t max_depth = 16; // of nested values; a transaction's nest six deep

const char *title_of(int status) {
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 422:
        return "Unprocessable Content";
    default:
        return "Service Unavailable";
    }
}

// As text, also where it came with bytes that are no UTF-8.
std::string to_text(const json &value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// For a writer who sends back what it read.
std::vector<fault> drop_read_only_members(json &body, const tenants::tenant_set &current,
                                          const std::string &name) {
    if (!body.is_object())
        return {};
    body.erase("version");
    body.erase("incarnation");
    const auto old = current.find(name);
    json keys = json::array();
    if (old)
        keys = json::parse(tenants::to_json(*old, true))["keys"];
    if (body.contains("keys")) {
        json shown = keys;
        for (auto &each : shown)
            each.erase("hash");
        if (body["keys"] != shown)
            return {{"/keys", "are changed one by one"}};
    }
    body["keys"] = keys;
    return {};
}

} // namespace

api_answer problem(int status, const std::string &detail, const char *reason,
                   const std::vector<fault> &faults) {
    json made = {
        {"type", "about:blank"}, {"title", title_of(status)}, {"status", status}, {"detail", detail}};
    for (const auto &each : faults)
        made["errors"].push_back({{"pointer", "#" + each.at}, {"detail", each.why}});
    return {status, to_text(made), "application/problem+json", "", "", reason};
}

std::string entity_tag(std::uint64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

json parse_body(const std::string &body) {
    return json::parse(body, nullptr, false);
}

bool nests_too_deep(std::string_view text) {
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char each = text[i];
        if (quoted) {
            i += each == '\\';
            quoted = each != '"';
        } else if (each == '"') {
            quoted = true;
        } else if (each == '[' || each == '{') {
            if (++depth > max_depth)
                return true;
        } else if ((each == ']' || each == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

json tenant_form(const tenants::tenant &tenant) {
    json form = json::parse(tenants::to_json(tenant, false));
    form["version"] = tenant.version;
    form["incarnation"] = tenant.incarnation;
    return form;
}

parsed_step parse_step(tenants::change::kind kind, json body, const tenants::tenant_set &current,
                       const std::string &name) {
    parsed_step parsed;
    parsed.step.what = kind;
    parsed.faults = drop_read_only_members(body, current, name);
    if (!parsed.faults.empty())
        return parsed;
    auto read = parse_exported_tenant(body);
    parsed.step.wanted = std::move(read.made);
    parsed.faults = std::move(read.faults);
    return parsed;
}

tenants::read_tenant parse_exported_tenant(const json &body) {
    return tenants::from_json(to_text(body), true);
}

} // namespace harrierpass::admin
