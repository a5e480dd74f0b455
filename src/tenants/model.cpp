// SPDX-License-Identifier: Apache-2.0
#include "tenants/model.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace harrierpass::tenants {
namespace {

constexpr std::size_t max_name = 63;      // letters; a DNS label's
constexpr std::size_t max_routes = 256;   // of a tenant; bounds a change and the index
constexpr std::size_t max_use_cases = 64; // likewise
constexpr std::size_t max_keys = 64;      // likewise; a rotation needs two
constexpr std::size_t max_text = 255;     // bytes of a host, prefix, pool or note
constexpr double max_rate = 1e9;          // queries a second; more is a mistake
constexpr double max_time = 600;          // s
constexpr const char *small = "abcdefghijklmnopqrstuvwxyz0123456789";

bool is_label(std::string_view text, std::size_t maximum, const char *more) {
    const std::string letters = std::string(small) + more;
    return !text.empty() && text.size() <= maximum &&
           text.find_first_not_of(letters) == std::string_view::npos && text.front() != '-' &&
           text.back() != '-';
}

bool is_host(std::string_view text) {
    if (text.empty() || text.size() > max_text)
        return false;
    while (!text.empty()) {
        const auto dot = text.find('.');
        if (!is_label(text.substr(0, dot), max_name, "-") || dot + 1 == text.size())
            return false;
        text = dot == std::string_view::npos ? std::string_view{} : text.substr(dot + 1);
    }
    return true;
}

// Guards against two prefixes that mean one place: no empty segments, no dots that climb, no escapes.
bool is_prefix(std::string_view text) {
    if (text == "/")
        return true;
    if (text.size() < 2 || text.size() > max_text || text[0] != '/' || text.back() == '/')
        return false;
    for (std::size_t at = 1; at <= text.size();) {
        const auto end = std::min(text.find('/', at), text.size());
        const auto segment = text.substr(at, end - at);
        if (segment.empty() || segment == "." || segment == "..")
            return false;
        for (const char each : segment)
            if (!std::isalnum(static_cast<unsigned char>(each)) &&
                std::string_view("-._~").find(each) == std::string_view::npos)
                return false;
        at = end + 1;
    }
    return true;
}

class checker {
public:
    std::vector<fault> faults;
    void need(bool good, const std::string &at, const char *why) {
        if (!good)
            faults.push_back({at, why});
    }
    void number(double value, double minimum, double maximum, const std::string &at, const char *why) {
        need(std::isfinite(value) && value >= minimum && value <= maximum, at, why);
    }
};

} // namespace

const char *name_of(state is) {
    return is == state::staged ? "staged" : is == state::active ? "active" : "draining";
}

namespace {

void check_limits(checker &is, const tenant &of) {
    is.number(of.limits.rate, 0, max_rate, "/limits/rate", "is not between 0 and 1e9 queries a second");
    is.number(of.limits.burst, 0, max_rate, "/limits/burst", "is not between 0 and 1e9 queries");
    is.number(of.limits.work, 0, 1e6, "/limits/work", "is not between 0 and 1e6 s a second");
    is.number(of.limits.weight, 0.001, 1000, "/limits/weight", "is not between 0.001 and 1000");
}

// Returns the names.
std::set<std::string_view> check_use_cases(checker &is, const tenant &of) {
    is.need(of.use_cases.size() <= max_use_cases, "/use_cases", "are more than 64");
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < of.use_cases.size(); ++i) {
        const auto &use = of.use_cases[i];
        const std::string at = "/use_cases/" + std::to_string(i);
        is.need(is_label(use.name, max_name, "-_"), at + "/name",
                "is not 1 to 63 small letters, digits, '-' and '_'");
        is.need(names.insert(use.name).second, at + "/name", "stands twice");
        is.number(use.decides.latency_objective, 0.001, max_time, at + "/slo_time",
                  "is not between 0.001 and 600 s");
        is.number(use.deadline, 0.001, max_time, at + "/statement_timeout", "is not between 0.001 and 600 s");
        is.number(use.decides.priority_weight, 0, 1000, at + "/importance", "is not between 0 and 1000");
        is.number(use.decides.late_value_share, 0, 1, at + "/tardy", "is not between 0 and 1");
        is.number(use.decides.deduplication_window, 0, 3600, at + "/window", "is not between 0 and 3600 s");
        is.need(use.decides.effect != effect_kind::deduplicated || use.decides.deduplication_window > 0,
                at + "/window", "is needed where repeats are dropped");
    }
    return names;
}

void check_routes(checker &is, const tenant &of, const std::set<std::string_view> &use_cases) {
    is.need(of.routes.size() <= max_routes, "/routes", "are more than 256");
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (std::size_t i = 0; i < of.routes.size(); ++i) {
        const auto &each = of.routes[i];
        const std::string at = "/routes/" + std::to_string(i);
        is.need(is_host(each.host), at + "/host", "is no host name in small letters");
        is.need(is_prefix(each.prefix), at + "/prefix", "is no path of whole segments, as \"/\" or \"/a/b\"");
        is.need(is_label(each.pool, max_name, "-"), at + "/pool",
                "is not 1 to 63 small letters, digits and '-'");
        is.need(use_cases.contains(each.use_case), at + "/use_case", "names none of the tenant's use cases");
        is.need(places.emplace(each.host, each.prefix).second, at,
                "leads from the same host and prefix as another");
    }
    is.need(of.is != state::active || !of.routes.empty(), "/routes", "are needed by an active tenant");
}

void check_keys(checker &is, const tenant &of) {
    is.need(of.keys.size() <= max_keys, "/keys", "are more than 64");
    for (std::size_t i = 0; i < of.keys.size(); ++i) {
        const auto &key = of.keys[i];
        const std::string at = "/keys/" + std::to_string(i);
        is.need(is_label(key.id, 32, ""), at + "/id", "is not 1 to 32 small letters and digits");
        is.need(key.hash.size() == 64 && key.hash.find_first_not_of("0123456789abcdef") == std::string::npos,
                at + "/hash", "is not 64 hexadecimal digits");
        is.need(key.note.size() <= max_text, at + "/note", "is longer than 255 bytes");
    }
}

} // namespace

std::vector<fault> check(const tenant &of) {
    checker is;
    is.need(is_label(of.name, max_name, "-"), "/name",
            "is not 1 to 63 small letters, digits and '-', which neither begins nor ends it");
    check_limits(is, of);
    check_routes(is, of, check_use_cases(is, of));
    check_keys(is, of);
    return is.faults;
}

tenant_ptr tenant_set::find(std::string_view name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

tenant_ptr tenant_set::of_key(std::string_view id) const {
    const auto found = keys_.find(std::string(id));
    return found == keys_.end() ? nullptr : found->second;
}

match tenant_set::find(std::string_view host, std::string_view path) const {
    std::string name(host.substr(0, host.find(':')));
    for (char &each : name)
        each = each >= 'A' && each <= 'Z' ? static_cast<char>(each + 32) : each;
    const auto table = hosts_.find(name);
    if (table == hosts_.end())
        return {};
    path = path.substr(0, path.find('?'));
    for (;;) { // from the whole path up, a segment at a time
        const auto found = table->second->find(path.empty() ? std::string_view("/") : path);
        if (found != table->second->end())
            return {found->second.of, &found->second.of->routes[found->second.route]};
        if (path.empty() || path == "/")
            return {};
        path = path.substr(0, path.rfind('/'));
    }
}

// Makes the next version from one: what does not change is shared with it.
class editor {
public:
    explicit editor(const tenant_set &from) : to_(std::make_shared<tenant_set>(from)) {}

    void remove(const tenant_ptr &old) {
        to_->by_name_.erase(old->name);
        for (const auto &key : old->keys)
            to_->keys_.erase(key.id);
        for (const auto &each : old->routes)
            if (auto *const table = writable(each.host)) {
                table->erase(each.prefix);
                if (table->empty()) {
                    to_->hosts_.erase(each.host);
                    fresh_.erase(each.host);
                }
            }
    }

    // The faults that only the set can tell.
    std::vector<fault> insert(const tenant_ptr &one) {
        std::vector<fault> faults;
        for (std::size_t i = 0; i < one->routes.size(); ++i) {
            const auto &each = one->routes[i];
            auto *table = writable(each.host);
            if (table == nullptr) {
                fresh_[each.host] = std::make_shared<tenant_set::host_table>();
                to_->hosts_[each.host] = fresh_[each.host];
                table = fresh_[each.host].get();
            }
            const auto [at, fits] = table->try_emplace(each.prefix, tenant_set::entry{one, i});
            if (!fits)
                faults.push_back({"/routes/" + std::to_string(i),
                                  "leads from where tenant " + at->second.of->name + " is reached already"});
        }
        for (std::size_t i = 0; i < one->keys.size(); ++i)
            if (!to_->keys_.try_emplace(one->keys[i].id, one).second)
                faults.push_back({"/keys/" + std::to_string(i) + "/id", "is another key's already"});
        to_->by_name_[one->name] = one;
        return faults;
    }

    std::uint64_t next_incarnation() { return ++to_->incarnations_; }
    void number(std::uint64_t version, std::uint64_t incarnations) {
        to_->version_ = version;
        to_->incarnations_ = incarnations;
    }
    const tenant_set &now() const { return *to_; }
    set_ptr done() { return to_; }

private:
    tenant_set::host_table *writable(const std::string &host) {
        const auto found = to_->hosts_.find(host);
        if (found == to_->hosts_.end())
            return nullptr;
        auto &own = fresh_[host];
        if (!own) {
            own = std::make_shared<tenant_set::host_table>(*found->second);
            found->second = own;
        }
        return own.get();
    }
    std::shared_ptr<tenant_set> to_;
    std::unordered_map<std::string, std::shared_ptr<tenant_set::host_table>> fresh_; // this version's own
};

namespace {

// One application of steps to a set. What leaves goes first, so that two tenants may exchange a route.
class transaction {
public:
    transaction(const set_ptr &from, std::span<const change> steps)
        : from_(*from), steps_(steps), to_(*from), arriving_(steps.size()), version_(from->version() + 1) {}

    std::variant<set_ptr, refusal> run() {
        for (std::size_t step = 0; step < steps_.size(); ++step)
            remove_old(step);
        if (refusal_.faults.empty())
            insert_new();
        if (!refusal_.faults.empty())
            return refusal_;
        to_.number(version_, to_.now().incarnations());
        return to_.done();
    }

private:
    void refuse(std::size_t step, const std::string &at, const std::string &why) {
        refusal_.faults.push_back({"/" + std::to_string(step) + at, why});
    }

    // Takes the step's tenant out of the set, and prepares what comes in its place.
    void remove_old(std::size_t step) {
        const auto &wanted = steps_[step];
        if (!named_.insert(wanted.wanted.name).second)
            return refuse(step, "/name", "stands in two steps of one transaction");
        const tenant_ptr old = from_.find(wanted.wanted.name);
        if (!check_presence(step, old) || !check_version(step, old))
            return;
        auto next = next_state(step, old);
        next->incarnation = old ? old->incarnation : to_.next_incarnation();
        next->version = version_;
        if (old)
            to_.remove(old);
        if (wanted.what != change::kind::purge)
            arriving_[step] = std::move(next);
    }

    // Whether the tenant is there, or is not, as the step needs it. `old`: null where it is not.
    bool check_presence(std::size_t step, const tenant_ptr &old) {
        const auto what = steps_[step].what;
        if (what == change::kind::create && old) {
            refuse(step, "/name",
                   old->is == state::draining ? "is a tenant's that still drains" : "is a tenant's already");
            refusal_.conflict = true;
            return false;
        }
        if (!old && what != change::kind::create && what != change::kind::put) {
            refuse(step, "/name", "is no tenant's");
            refusal_.absent = true;
            return false;
        }
        return true;
    }

    // Whether the tenant is as the step's writer has seen it.
    bool check_version(std::size_t step, const tenant_ptr &old) {
        const auto &if_match = steps_[step].if_match;
        if (!if_match || (old && old->version == *if_match))
            return true;
        refuse(step, "", "has changed since its version " + std::to_string(*if_match));
        refusal_.conflict = true;
        return false;
    }

    // The tenant after the step, with the faults that need no set.
    std::shared_ptr<tenant> next_state(std::size_t step, const tenant_ptr &old) {
        const auto &wanted = steps_[step];
        switch (wanted.what) {
        case change::kind::remove: {
            auto next = std::make_shared<tenant>(*old);
            next->is = state::draining;
            return next;
        }
        case change::kind::purge:
            if (old->is != state::draining)
                refuse(step, "", "is not draining");
            return std::make_shared<tenant>(*old);
        default:
            check_wanted(step, old);
            return std::make_shared<tenant>(wanted.wanted);
        }
    }

    void check_wanted(std::size_t step, const tenant_ptr &old) {
        const tenant &wanted = steps_[step].wanted;
        if (old && old->is == state::draining)
            refuse(step, "/state", "cannot change while it drains");
        if (wanted.is == state::draining)
            refuse(step, "/state", "is reached by removal only");
        for (const auto &each : check(wanted))
            refuse(step, each.at, each.why);
    }

    void insert_new() {
        for (std::size_t step = 0; step < steps_.size(); ++step)
            if (arriving_[step])
                for (const auto &each : to_.insert(arriving_[step]))
                    refuse(step, each.at, each.why);
    }

    const tenant_set &from_;
    const std::span<const change> steps_;
    editor to_;
    std::vector<tenant_ptr> arriving_; // by step; null: nothing comes
    const std::uint64_t version_;      // of the next set
    std::set<std::string_view> named_; // by the steps so far
    refusal refusal_;
};

} // namespace

std::variant<set_ptr, refusal> apply(const set_ptr &from, std::span<const change> steps) {
    return transaction(from, steps).run();
}

std::variant<set_ptr, refusal> restore(std::uint64_t version, std::uint64_t incarnations,
                                       std::vector<tenant> tenants) {
    editor to{tenant_set{}};
    refusal bad;
    std::set<std::string> names;
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        auto &one = tenants[i];
        const std::string at = "/" + std::to_string(i);
        for (const auto &each : check(one))
            bad.faults.push_back({at + each.at, each.why});
        if (!names.insert(one.name).second)
            bad.faults.push_back({at + "/name", "stands twice"});
        if (one.incarnation == 0 || one.incarnation > incarnations || one.version == 0 ||
            one.version > version)
            bad.faults.push_back({at, "has numbers that the set never gave"});
        if (bad.faults.empty())
            for (const auto &each : to.insert(std::make_shared<tenant>(std::move(one))))
                bad.faults.push_back({at + each.at, each.why});
    }
    if (!bad.faults.empty())
        return bad;
    to.number(version, incarnations);
    return to.done();
}

} // namespace harrierpass::tenants
