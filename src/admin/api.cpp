// SPDX-License-Identifier: Apache-2.0
#include "admin/api.hpp"

#include "admin/secrets.hpp"
#include "tenants/text.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

namespace harrierpass::admin {

// One call on its way through.
struct asking {
    const api_request &from;
    const operator_account &by;
    std::string name, id; // of the path
    std::string query;    // of the target, after '?'
    bool dry = false;
    std::optional<std::uint64_t> if_match;
};

namespace {

using nlohmann::json;
using tenants::change;
using tenants::fault;
using tenants::tenant;
using tenants::tenant_set;

constexpr std::size_t usual_page = 100, most_page = 1000; // entries
constexpr std::size_t most_depth = 16;                    // of nested values; a transaction's nest six deep
constexpr std::size_t most_steps = 10000;                 // of a transaction

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

api_answer problem(int status, const std::string &detail, const char *why,
                   const std::vector<fault> &faults = {}) {
    json made = {
        {"type", "about:blank"}, {"title", title_of(status)}, {"status", status}, {"detail", detail}};
    for (const auto &each : faults)
        made["errors"].push_back({{"pointer", "#" + each.at}, {"detail", each.why}});
    // What came may be no UTF-8, and is told all the same.
    return {
        status, made.dump(-1, ' ', false, json::error_handler_t::replace), "application/problem+json", "", "",
        why};
}

std::string tag(std::uint64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

std::optional<std::uint64_t> number_in(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (bad != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// A value of "a=1&b=2"; empty where absent.
std::string value_in(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return std::string(pair.substr(name.size() + 1));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

// Guards the stack of a small thread against values that nest without end.
bool nests_deep(std::string_view text) {
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
            if (++depth > most_depth)
                return true;
        } else if ((each == ']' || each == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

// The segments behind {name} and {id}, where the path is of that form.
bool follows(std::string_view form, std::string_view path, std::string &name, std::string &id) {
    while (!form.empty() && !path.empty()) {
        const auto form_end = std::min(form.find('/', 1), form.size()),
                   path_end = std::min(path.find('/', 1), path.size());
        const auto want = form.substr(1, form_end - 1), got = path.substr(1, path_end - 1);
        if (want == "{name}" || want == "{id}") {
            if (got.empty())
                return false;
            (want == "{name}" ? name : id) = got;
        } else if (want != got) {
            return false;
        }
        form.remove_prefix(form_end);
        path.remove_prefix(path_end);
    }
    return form.empty() && path.empty();
}

json entry_of(const tenant &of) {
    json made = json::parse(tenants::to_json(of, false));
    made["version"] = of.version;
    made["incarnation"] = of.incarnation;
    return made;
}

// Guards a writer who sends back what it read: the numbers are the set's, and keys are changed one by one.
std::vector<fault> take_back(json &body, const tenant_set &now, const std::string &name) {
    if (!body.is_object())
        return {};
    body.erase("version");
    body.erase("incarnation");
    const auto old = now.find(name);
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

struct step_read {
    change made;
    std::vector<fault> faults;
};

step_read read_step(change::kind what, json body, const tenant_set &now, const std::string &name) {
    step_read step;
    step.made.what = what;
    step.faults = take_back(body, now, name);
    if (!step.faults.empty())
        return step;
    auto read = tenants::from_json(body.dump(-1, ' ', false, json::error_handler_t::replace), true);
    step.made.wanted = std::move(read.made);
    step.faults = std::move(read.faults);
    return step;
}

} // namespace

std::span<const api::call> api::calls() {
    static constexpr std::array<call, 13> all = {{
        {"GET", "/v1/version", false, role::read, &api::version},
        {"GET", "/v1/tenants", false, role::read, &api::list},
        {"POST", "/v1/tenants", true, role::all, &api::create},
        {"GET", "/v1/tenants/{name}", false, role::read, &api::read},
        {"PUT", "/v1/tenants/{name}", true, role::tenant, &api::put},
        {"PATCH", "/v1/tenants/{name}", true, role::tenant, &api::patch},
        {"DELETE", "/v1/tenants/{name}", true, role::all, &api::remove},
        {"POST", "/v1/tenants/{name}/keys", true, role::tenant, &api::add_key},
        {"DELETE", "/v1/tenants/{name}/keys/{id}", true, role::tenant, &api::remove_key},
        {"POST", "/v1/transactions", true, role::all, &api::transact},
        {"GET", "/v1/audit", false, role::read, &api::audit},
        {"GET", "/v1/export", false, role::all, &api::export_all},
        {"POST", "/v1/import", true, role::all, &api::import_all},
    }};
    return all;
}

// The name is public; only the secret's hash is compared, and for a name that nobody has one is compared,
// too.
const operator_account *api::who(const api_request &asked) const {
    if (!asked.certified.empty()) {
        for (const auto &each : operators_)
            if (each.name == asked.certified)
                return &each;
        return nullptr;
    }
    const std::string &token = asked.token;
    const auto dot = token.find('.');
    const std::string name = token.substr(0, dot),
                      secret = dot == std::string::npos ? "" : token.substr(dot + 1);
    const operator_account *found = nullptr;
    for (const auto &each : operators_)
        if (each.name == name)
            found = &each;
    static const std::string nobody(64, '0');
    const bool good = fits(secret, found != nullptr ? found->token_hash : nobody);
    return good && found != nullptr ? found : nullptr;
}

api_answer api::answer(const api_request &asked) {
    const operator_account *const by = who(asked);
    if (by == nullptr)
        return problem(401, "no operator has this token or certificate", "no_token");
    const auto mark = asked.target.find('?');
    const std::string path = asked.target.substr(0, mark);
    bool known = false;
    for (const auto &each : calls()) {
        asking one{asked, *by, {}, {}, mark == std::string::npos ? "" : asked.target.substr(mark + 1),
                   false, {}};
        if (!follows(each.path, path, one.name, one.id))
            continue;
        known = true;
        if (asked.method != each.method)
            continue;
        const bool own = by->may == role::tenant && one.name == by->of && each.least != role::all;
        const bool reads_all = by->may == role::read && each.least == role::read;
        if (by->may != role::all && !own && !reads_all)
            return problem(403, "operator " + by->name + " may not do this", "forbidden");
        const auto dry = value_in(one.query, "dry_run");
        if (!dry.empty() && dry != "true" && dry != "false")
            return problem(400, "dry_run is neither true nor false", "bad_query");
        one.dry = dry == "true";
        if (!asked.if_match.empty()) {
            const auto &text = asked.if_match;
            if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
                one.if_match = number_in(std::string_view(text).substr(1, text.size() - 2));
            if (!one.if_match)
                return problem(412, "If-Match is none of our ETags", "if_match");
        }
        if (nests_deep(asked.body))
            return problem(422, "the change is refused, and nothing has changed", "refused",
                           {{"", "is nested too deep"}});
        return (this->*each.made)(one);
    }
    return known ? problem(405, "this place has no " + asked.method, "bad_method")
                 : problem(404, "there is no " + path, "no_such_place");
}

api_answer api::write(const asking &by, const std::function<std::vector<change>(const tenant_set &)> &make,
                      int good, const std::string &name, bool one, const std::string &extra) {
    const std::string &key = by.from.idempotency_key;
    const std::string request =
        key.empty() ? "" : hash_of(by.from.method + " " + by.from.target + "\n" + by.from.body);
    std::optional<api_answer> early;
    // What is answered is known before the change is made, so that it can be kept with it.
    store::kept_answer kept{request, json{{"status", good}, {"name", name}}.dump()};
    const auto result = registry_.change(
        [&](const tenant_set &now) -> std::vector<change> {
            if (!key.empty())
                if (const auto before = registry_.keeps().answered(by.by.name + "/" + key)) {
                    early =
                        before->request == request
                            ? api_answer{good, before->answer, "application/json", "", "", "repeated"}
                            : problem(422, "this Idempotency-Key was used for another request", "key_reused");
                    return {};
                }
            try {
                return make(now);
            } catch (const tenants::refusal &why) {
                early = problem(why.absent ? 404 : 422, "the change is refused", "refused", why.faults);
                return {};
            }
        },
        by.by.name, by.dry, key.empty() || by.dry ? "" : by.by.name + "/" + key, kept);
    if (early)
        return *early;
    if (!result.unkept.empty())
        return problem(503, "the change is not made: " + result.unkept, "unkept");
    if (!result.set) {
        auto faults = result.why.faults;
        if (one) // of a transaction of one step the body is the step
            for (auto &each : faults)
                each.at = each.at.substr(std::min(each.at.size(), each.at.find('/', 1)));
        const int status = result.why.absent                    ? 404
                           : result.why.conflict && by.if_match ? 412
                           : result.why.conflict                ? 409
                                                                : 422;
        return problem(status, "the change is refused, and nothing has changed", "refused", faults);
    }
    json body = {{"version", result.set->version()}, {"dry_run", by.dry}};
    api_answer made{good, "", "application/json", "", "", by.dry ? "dry_run" : "changed"};
    if (const auto is = one ? result.set->find(name) : nullptr) {
        body["tenant"] = entry_of(*is);
        made.etag = tag(is->version);
    }
    if (!extra.empty() && !by.dry)
        body.update(json::parse(extra));
    made.body = body.dump();
    return made;
}

api_answer api::version(const asking &) {
    const auto set = registry_.now();
    return {200,
            json{{"version", set->version()}, {"tenants", set->size()}}.dump(),
            "application/json",
            tag(set->version()),
            "",
            "read"};
}

api_answer api::list(const asking &by) {
    const auto set = registry_.now();
    const auto after = value_in(by.query, "after"), limit = value_in(by.query, "limit");
    const auto wanted = limit.empty() ? usual_page : number_in(limit).value_or(0);
    if (wanted < 1 || wanted > most_page)
        return problem(400, "limit is no number from 1 to 1000", "bad_query");
    json items = json::array();
    auto at = after.empty() ? set->all().begin() : set->all().upper_bound(after);
    for (; at != set->all().end() && items.size() < wanted; ++at)
        items.push_back(entry_of(*at->second));
    json made = {{"version", set->version()}, {"items", items}};
    if (at != set->all().end())
        made["next"] = "/v1/tenants?after=" + items.back()["name"].get<std::string>() +
                       "&limit=" + std::to_string(wanted);
    return {200, made.dump(), "application/json", tag(set->version()), "", "read"};
}

api_answer api::read(const asking &by) {
    const auto one = registry_.now()->find(by.name);
    if (!one)
        return problem(404, "there is no tenant " + by.name, "no_such_tenant");
    return {200, entry_of(*one).dump(), "application/json", tag(one->version), "", "read"};
}

api_answer api::create(const asking &by) {
    json body = json::parse(by.from.body, nullptr, false);
    const std::string name = body.is_object() && body.contains("name") && body["name"].is_string()
                                 ? body["name"].get<std::string>()
                                 : "";
    auto made = write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            auto whole =
                tenants::from_json(by.from.body, false); // tells what is no JSON, and what stands twice
            if (body.is_discarded() || (!whole.faults.empty() && !body.is_object()))
                throw tenants::refusal{whole.faults};
            auto step = read_step(change::kind::create, body, now, name);
            if (!step.faults.empty() || !whole.faults.empty())
                throw tenants::refusal{step.faults.empty() ? whole.faults : step.faults};
            return {step.made};
        },
        201, name, true);
    if (made.status == 201)
        made.location = "/v1/tenants/" + name;
    return made;
}

api_answer api::put(const asking &by) {
    const auto old = registry_.now()->find(by.name);
    if (!old && by.by.may != role::all)
        return problem(403, "operator " + by.by.name + " may not make a tenant", "forbidden");
    return write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            json body = json::parse(by.from.body, nullptr, false);
            const auto whole = tenants::from_json(by.from.body, false);
            if (body.is_discarded())
                throw tenants::refusal{whole.faults};
            if (body.is_object() && body.value("name", json(by.name)) != json(by.name))
                throw tenants::refusal{{{"/name", "is not the name in the path"}}};
            if (body.is_object())
                body["name"] = by.name;
            auto step = read_step(by.from.if_none_match == "*" ? change::kind::create : change::kind::put,
                                  body, now, by.name);
            for (const auto &each : whole.faults)
                if (each.why == "stands twice in one object")
                    step.faults.push_back(each);
            if (!step.faults.empty())
                throw tenants::refusal{step.faults};
            step.made.if_match = by.if_match;
            return {step.made};
        },
        old ? 200 : 201, by.name, true);
}

api_answer api::patch(const asking &by) {
    return write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            const auto old = now.find(by.name);
            if (!old)
                throw tenants::refusal{{{"/name", "is no tenant's"}}, false, true};
            auto read = tenants::patched(*old, by.from.body);
            if (read.faults.empty() && read.made.name != by.name)
                read.faults.push_back({"/name", "is not the name in the path"});
            if (!read.faults.empty())
                throw tenants::refusal{read.faults};
            return {{change::kind::replace, std::move(read.made), by.if_match}};
        },
        200, by.name, true);
}

api_answer api::remove(const asking &by) {
    return write(
        by,
        [&](const tenant_set &) -> std::vector<change> {
            tenant wanted;
            wanted.name = by.name;
            return {{change::kind::remove, wanted, by.if_match}};
        },
        202, by.name, true);
}

api_answer api::add_key(const asking &by) {
    const json body = by.from.body.empty() ? json::object() : json::parse(by.from.body, nullptr, false);
    if (!body.is_object() || (body.size() > (body.contains("note") ? 1U : 0U)) ||
        (body.contains("note") && !body["note"].is_string()))
        return problem(422, "a key has a note and nothing else", "refused",
                       {{"/note", "is no text, or not alone"}});
    const std::string id = make_id(), secret = make_secret();
    auto made = write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            const auto old = now.find(by.name);
            if (!old)
                throw tenants::refusal{{{"/name", "is no tenant's"}}, false, true};
            tenant next = *old;
            next.keys.push_back({id, hash_of(secret), body.value("note", "")});
            return {{change::kind::replace, std::move(next), by.if_match}};
        },
        201, by.name, true, json{{"key", {{"id", id}, {"secret", secret}}}}.dump());
    if (made.status == 201 && made.why == "changed")
        made.location = "/v1/tenants/" + by.name + "/keys/" + id;
    return made;
}

api_answer api::remove_key(const asking &by) {
    return write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            const auto old = now.find(by.name);
            tenant next = old ? *old : tenant{};
            if (!old || std::erase_if(next.keys, [&](const auto &each) { return each.id == by.id; }) == 0)
                throw tenants::refusal{{{"", "there is no such key"}}, false, true};
            return {{change::kind::replace, std::move(next), by.if_match}};
        },
        200, by.name, true);
}

api_answer api::transact(const asking &by) {
    static constexpr std::array<std::pair<const char *, change::kind>, 4> words = {
        {{"create", change::kind::create},
         {"replace", change::kind::replace},
         {"put", change::kind::put},
         {"remove", change::kind::remove}}};
    return write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            const json body = json::parse(by.from.body, nullptr, false);
            tenants::refusal bad;
            if (!body.is_object() || body.size() != 1 || !body.contains("steps") ||
                !body["steps"].is_array() || body["steps"].empty() || body["steps"].size() > most_steps)
                throw tenants::refusal{{{"/steps", "is no list of 1 to 10000 steps, alone in an object"}}};
            std::vector<change> steps;
            for (std::size_t i = 0; i < body["steps"].size(); ++i) {
                const json &each = body["steps"][i];
                const std::string at = "/" + std::to_string(i);
                const auto word = each.is_object()
                                      ? std::find_if(words.begin(), words.end(),
                                                     [&](const auto &known) {
                                                         return each.value("do", json()) == known.first;
                                                     })
                                      : words.end();
                if (word == words.end()) {
                    bad.faults.push_back({at + "/do", "is none of create, replace, put, remove"});
                    continue;
                }
                const bool removes = word->second == change::kind::remove;
                const json wanted = each.value(removes ? "name" : "tenant", json());
                const json name = removes              ? wanted
                                  : wanted.is_object() ? wanted.value("name", json())
                                                       : json();
                if (!name.is_string()) {
                    bad.faults.push_back({at + (removes ? "/name" : "/tenant/name"), "is no text"});
                    continue;
                }
                step_read step;
                if (removes) {
                    step.made.what = change::kind::remove;
                    step.made.wanted.name = name.get<std::string>();
                } else {
                    step = read_step(word->second, wanted, now, name.get<std::string>());
                }
                for (const auto &fault : step.faults)
                    bad.faults.push_back({at + "/tenant" + fault.at, fault.why});
                if (each.contains("if_match")) {
                    if (each["if_match"].is_number_unsigned())
                        step.made.if_match = each["if_match"].get<std::uint64_t>();
                    else
                        bad.faults.push_back({at + "/if_match", "is no version"});
                }
                steps.push_back(std::move(step.made));
            }
            if (!bad.faults.empty())
                throw bad;
            return steps;
        },
        200, "", false);
}

api_answer api::audit(const asking &by) {
    const auto after = value_in(by.query, "after"), limit = value_in(by.query, "limit");
    const auto wanted = limit.empty() ? usual_page : number_in(limit).value_or(0);
    const auto from = after.empty() ? std::optional<std::uint64_t>(0) : number_in(after);
    if (wanted < 1 || wanted > most_page || !from)
        return problem(400, "limit is no number from 1 to 1000, or after no number", "bad_query");
    json items = json::array();
    for (const auto &each : registry_.keeps().audit(*from, wanted)) {
        json one = {{"number", each.number}, {"version", each.version}, {"time", each.when},
                    {"who", each.who},       {"what", each.what},       {"tenant", each.name}};
        one["before"] = each.before.empty() ? json() : json::parse(each.before);
        one["after"] = each.after.empty() ? json() : json::parse(each.after);
        items.push_back(std::move(one));
    }
    json made = {{"items", items}};
    if (items.size() == wanted)
        made["next"] = "/v1/audit?after=" + std::to_string(items.back()["number"].get<std::uint64_t>()) +
                       "&limit=" + std::to_string(wanted);
    return {200, made.dump(), "application/json", "", "", "read"};
}

api_answer api::export_all(const asking &) {
    const auto set = registry_.now();
    json all = json::array();
    for (const auto &[name, one] : set->all())
        if (one->is != tenants::state::draining) // its end is its own service's matter
            all.push_back(json::parse(tenants::to_json(*one, true)));
    return {200,
            json{{"format", 1}, {"version", set->version()}, {"tenants", all}}.dump(),
            "application/json",
            tag(set->version()),
            "",
            "export"};
}

// The whole set as exported, keys and all: what it does not name is removed.
api_answer api::import_all(const asking &by) {
    return write(
        by,
        [&](const tenant_set &now) -> std::vector<change> {
            const json body = json::parse(by.from.body, nullptr, false);
            if (!body.is_object() || body.value("format", json()) != 1 || !body.contains("tenants") ||
                !body["tenants"].is_array())
                throw tenants::refusal{{{"", "is no export of format 1"}}};
            tenants::refusal bad;
            std::vector<change> steps;
            for (std::size_t i = 0; i < body["tenants"].size(); ++i) {
                auto read = tenants::from_json(
                    body["tenants"][i].dump(-1, ' ', false, json::error_handler_t::replace), true);
                for (const auto &each : read.faults)
                    bad.faults.push_back({"/tenants/" + std::to_string(i) + each.at, each.why});
                steps.push_back({change::kind::put, std::move(read.made), std::nullopt});
            }
            if (!bad.faults.empty())
                throw bad;
            std::set<std::string> named;
            for (const auto &each : steps)
                named.insert(each.wanted.name);
            for (const auto &[name, one] : now.all())
                if (one->is != tenants::state::draining && !named.contains(name))
                    steps.push_back({change::kind::remove, *one, std::nullopt});
            return steps;
        },
        200, "", false);
}

} // namespace harrierpass::admin
