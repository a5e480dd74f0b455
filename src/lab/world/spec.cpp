// SPDX-License-Identifier: Apache-2.0
#include "lab/world/spec.hpp"

#include "setup/words.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>
#include <utility>

namespace harrierpass::lab {
namespace {

constexpr double most_length = 86400;  // s; a run of a day
constexpr double most_servers = 20000; // beyond it one process has no memory for their stores

constexpr std::array<std::pair<const char *, fault_kind>, 19> fault_names = {
    {{"crash", fault_kind::crash},
     {"hang", fault_kind::hang},
     {"vanish", fault_kind::vanish},
     {"slow", fault_kind::slow},
     {"errors", fault_kind::errors},
     {"spoilt", fault_kind::spoilt},
     {"one_way", fault_kind::one_way},
     {"drain", fault_kind::drain},
     {"join", fault_kind::join},
     {"flap", fault_kind::flap},
     {"list_silent", fault_kind::list_silent},
     {"list_stale", fault_kind::list_stale},
     {"origin_slow", fault_kind::origin_slow},
     {"origin_stop", fault_kind::origin_stop},
     {"burst", fault_kind::burst},
     {"flood", fault_kind::flood},
     {"proxy_kill", fault_kind::proxy_kill},
     {"proxy_pause", fault_kind::proxy_pause},
     {"client_pause", fault_kind::client_pause}}};
constexpr std::array<std::pair<const char *, decider>, 4> decider_names = {
    {{"module", decider::module},
     {"random", decider::random},
     {"least_of_two", decider::least_of_two},
     {"plain_ring", decider::plain_ring}}};
constexpr std::array<std::pair<const char *, plant>, 9> plant_names = {{{"nothing", plant::nothing},
                                                                        {"lose", plant::lose},
                                                                        {"answer_twice", plant::answer_twice},
                                                                        {"run_twice", plant::run_twice},
                                                                        {"two_out", plant::two_out},
                                                                        {"ignore_drain", plant::ignore_drain},
                                                                        {"push_cold", plant::push_cold},
                                                                        {"late", plant::late},
                                                                        {"wrong_body", plant::wrong_body}}};
// One table of the file, read key by key; what nobody asked for is refused at the end.
class section {
public:
    section(const toml::table &from, std::string path, std::string file)
        : from_(from), path_(std::move(path)), file_(std::move(file)) {}

    [[noreturn]] void refuse(const toml::node *at, const std::string &why) const {
        const auto &where = (at != nullptr ? at->source() : from_.source()).begin;
        throw bad_experiment(file_ + ":" + std::to_string(where.line) + ": " + why);
    }
    [[noreturn]] void refuse_key(const std::string &key, const std::string &why) const {
        refuse(from_.get(key), path_ + key + " " + why);
    }
    bool has(const std::string &key) const { return from_.contains(key); }

    void number(const std::string &key, double &to, double least, double most) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        const auto value = node->value_exact<double>();
        const auto whole = node->value_exact<std::int64_t>();
        if (!value && !whole)
            refuse_key(key, "is no number");
        to = value ? *value : static_cast<double>(*whole);
        if (!(to >= least && to <= most))
            refuse_key(key, "is not between " + shown(least) + " and " + shown(most));
    }
    void whole(const std::string &key, index &to, double least, double most) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_integer())
            refuse_key(key, "is no whole number");
        double value = 0;
        number(key, value, least, most);
        to = static_cast<index>(value);
    }
    void flag(const std::string &key, bool &to) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_boolean())
            refuse_key(key, "is neither true nor false");
        to = *node->value<bool>();
    }
    void text(const std::string &key, std::string &to) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_string())
            refuse_key(key, "is no text");
        to = *node->value<std::string>();
    }
    void seconds(const std::string &key, double &to, double least, double most) {
        std::string given;
        if (!has(key))
            return;
        text(key, given);
        static constexpr std::array<std::pair<const char *, double>, 4> units = {
            {{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}}};
        const auto end = given.find_first_not_of("0123456789.");
        const auto unit = std::find_if(units.begin(), units.end(), [&](const auto &each) {
            return end != std::string::npos && given.substr(end) == each.first;
        });
        if (end == 0 || unit == units.end() || std::count(given.begin(), given.end(), '.') > 1)
            refuse_key(key, "is no time with a unit, as \"8ms\", \"2s\", \"200us\" or \"1min\"");
        to = std::stod(given.substr(0, end)) * unit->second;
        if (!(to >= least && to <= most))
            refuse_key(key, "is not between " + shown(least) + " and " + shown(most) + " s");
    }
    template <typename Names, typename Kind>
    void one_of(const std::string &key, const Names &names, Kind &to) {
        std::string given;
        if (!has(key))
            return;
        text(key, given);
        std::string known;
        for (const auto &[name, kind] : names) {
            if (given == name) {
                to = kind;
                return;
            }
            known.append(known.empty() ? "" : ", ").append(name);
        }
        refuse_key(key, "is \"" + given + "\", and known are: " + known);
    }
    void texts(const std::string &key, std::vector<std::string> &to) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_array() || node->as_array()->empty())
            refuse_key(key, "is no list of texts");
        to.clear();
        for (const auto &each : *node->as_array()) {
            if (!each.is_string())
                refuse(&each, path_ + key + " holds what is no text");
            to.push_back(*each.value<std::string>());
        }
    }
    template <typename Number> void counts(const std::string &key, std::vector<Number> &to, double below) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_array() || node->as_array()->empty())
            refuse_key(key, "is no list of numbers");
        to.clear();
        for (const auto &each : *node->as_array()) {
            const auto value = each.value_exact<std::int64_t>();
            if (!value || *value < 0 || static_cast<double>(*value) >= below)
                refuse(&each, path_ + key + " holds what is no whole number below " + shown(below));
            to.push_back(static_cast<Number>(*value));
        }
    }
    template <typename Each> void tables(const std::string &key, Each each) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_array_of_tables())
            refuse_key(key, "is written [[" + key + "]]");
        for (const auto &one : *node->as_array()) {
            section part(*one.as_table(), key + ".", file_);
            each(part);
            part.finish();
        }
    }
    template <typename Each> void table(const std::string &key, Each each) {
        const toml::node *node = take(key);
        if (node == nullptr)
            return;
        if (!node->is_table())
            refuse_key(key, "is written [" + key + "]");
        section part(*node->as_table(), key + ".", file_);
        each(part);
        part.finish();
    }
    void finish() const {
        for (const auto &[key, node] : from_)
            if (!taken_.contains(std::string(key.str())))
                refuse(&node, "unknown key " + path_ + std::string(key.str()));
    }

private:
    static std::string shown(double value) {
        std::ostringstream text;
        text << value;
        return text.str();
    }
    const toml::node *take(const std::string &key) {
        taken_.insert(key);
        return from_.get(key);
    }
    const toml::table &from_;
    std::string path_, file_;
    std::set<std::string> taken_;
};

void read_use_case(section &from, experiment &to) {
    use_case_spec use;
    from.text("name", use.name);
    if (use.name.empty() ||
        use.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-0123456789") != use.name.npos)
        from.refuse(nullptr, "a use_case needs a name of small letters, digits, - and _");
    from.one_of("effect", effect_words, use.decides.effect);
    from.one_of("group", group_words, use.decides.group);
    from.seconds("window", use.decides.window, 0, 3600);
    from.seconds("slo", use.decides.slo_time, 0.0001, 600);
    use.statement_timeout = use.decides.slo_time * 3;
    from.seconds("timeout", use.statement_timeout, 0.001, 600);
    from.number("importance", use.decides.importance, 0, 1000);
    from.number("tardy", use.decides.tardy, 0, 1);
    from.flag("write", use.write);
    from.flag("keyed", use.keyed);
    from.number("share", use.share, 0, 1e6);
    from.seconds("work", use.work, 1e-6, 60);
    from.number("spread", use.spread, 0, 3);
    if (use.decides.effect == effect_kind::deduplicated && use.decides.window <= 0)
        from.refuse(nullptr, "a deduplicated use_case needs a window");
    to.use_cases.push_back(std::move(use));
}

void read_fault(section &from, experiment &to) {
    fault_spec made;
    from.one_of("kind", fault_names, made.kind);
    if (!from.has("kind") || !from.has("at"))
        from.refuse(nullptr, "a fault needs kind and at");
    from.seconds("at", made.at, 0, most_length);
    from.seconds("for", made.lasts, 0, most_length);
    from.seconds("every", made.every, 0, most_length);
    if (made.every > 0 && (made.lasts <= 0 || made.every < made.lasts))
        from.refuse_key("every", "needs a shorter `for`");
    from.number("factor", made.factor, 0, 10000);
    from.counts("servers", made.servers, most_servers);
    from.counts("proxies", made.proxies, to.proxies.count);
    std::string zone, use, tenant;
    from.text("zone", zone);
    if (!zone.empty()) {
        const auto at =
            std::find(to.fleet.zones.begin(), to.fleet.zones.end(), zone) - to.fleet.zones.begin();
        if (at == static_cast<std::ptrdiff_t>(to.fleet.zones.size()))
            from.refuse_key("zone", "names none of the fleet's zones");
        for (index i = 0; i < to.fleet.servers; ++i)
            if (zone_of(to, i) == static_cast<index>(at))
                made.servers.push_back(i);
    }
    from.text("use_case", use);
    for (index i = 0; i < to.use_cases.size(); ++i)
        made.use_case = to.use_cases[i].name == use ? i : made.use_case;
    if (!use.empty() && made.use_case == none)
        from.refuse_key("use_case", "names no use case");
    from.text("tenant", tenant);
    for (index i = 0; i < to.tenants.size(); ++i)
        made.tenant = to.tenants[i].name == tenant ? i : made.tenant;
    if (!tenant.empty() && made.tenant == none)
        from.refuse_key("tenant", "names no tenant");
    const bool joins = made.kind == fault_kind::join;
    for (const index each : made.servers)
        if (joins == (each < to.fleet.servers))
            from.refuse_key("servers", joins ? "join with numbers from the fleet's size on"
                                             : "names a server that the fleet does not have");
    if (made.kind <= fault_kind::flap && made.servers.empty())
        from.refuse(nullptr, std::string(name_of(made.kind)) + " needs servers or zone");
    if (made.kind == fault_kind::flood && made.tenant == none)
        from.refuse(nullptr, "flood needs a tenant");
    if ((made.kind == fault_kind::proxy_kill || made.kind == fault_kind::proxy_pause) && made.proxies.empty())
        from.refuse(nullptr, std::string(name_of(made.kind)) + " needs proxies");
    to.faults.push_back(std::move(made));
}

void read_whole(section &top, experiment &to) {
    top.text("name", to.name);
    top.text("about", to.about);
    top.counts("seeds", to.seeds, 2147483647);
    top.seconds("length", to.length, 0.1, most_length);
    top.seconds("settle", to.settle, 0, to.length);
    top.table("fleet", [&](section &from) {
        auto &fleet = to.fleet;
        from.whole("servers", fleet.servers, 1, most_servers);
        from.texts("zones", fleet.zones);
        from.whole("cores", fleet.cores, 1, 1024);
        from.number("slowest", fleet.slowest, 0.01, 1);
        from.whole("queue", fleet.queue, 0, 1e6);
        from.whole("store", fleet.store, 0, 1e7);
        from.flag("aside", fleet.aside);
        from.flag("warm", fleet.warm);
        from.seconds("idle", fleet.idle, 0.1, 3600);
    });
    top.table("origin", [&](section &from) {
        from.whole("workers", to.origin.workers, 1, 1e5);
        from.seconds("work", to.origin.work, 1e-6, 60);
        from.number("spread", to.origin.spread, 0, 3);
        from.whole("queue", to.origin.queue, 0, 1e6);
    });
    top.table("cold", [&](section &from) {
        from.number("start_capacity", to.cold.decides.start_capacity, 0.01, 1);
        from.seconds("warm_time", to.cold.decides.warm_time, 0, 3600);
        from.number("push_limit", to.cold.push_limit, 1, 1000);
        from.seconds("push_time", to.cold.push_time, 0.1, 60);
    });
    top.table("network", [&](section &from) {
        from.seconds("one_way", to.network.one_way, 0, 1);
        to.network.cross_zone = to.network.one_way;
        from.seconds("cross_zone", to.network.cross_zone, 0, 1);
        from.seconds("dial_limit", to.network.dial_limit, 0.001, 60);
    });
    top.table("list", [&](section &from) {
        from.seconds("lag", to.list.lag, 0, 60);
        from.seconds("notice", to.list.notice, 0, 600);
        from.number("lose", to.list.lose, 0, 1);
        from.seconds("drain_grace", to.list.drain_grace, 0.05, 60);
    });
    top.table("load", [&](section &from) {
        auto &load = to.load;
        from.number("rate", load.rate, 0, 1e6);
        from.whole("closed", load.closed, 0, 1e5);
        from.seconds("think", load.think, 0, 60);
        from.whole("keys", load.keys, 1, 1e7);
        from.number("zipf", load.zipf, 0, 3);
        from.seconds("drift", load.drift, 0, most_length);
        from.number("ramp_to", load.ramp_to, 0.01, 100);
        from.whole("retries", load.retries, 0, 20);
        from.number("heed", load.heed, 0, 1);
        from.seconds("impatient", load.impatient, 0.001, 60);
    });
    top.table("proxies", [&](section &from) {
        auto &proxies = to.proxies;
        from.whole("count", proxies.count, 1, 1000);
        from.flag("probes", proxies.probes);
        from.flag("cancel", proxies.cancel);
        from.whole("max_executions", proxies.max_executions, 1, 100);
        from.seconds("advice", proxies.advice, 0, 60);
        from.number("excess_importance", proxies.excess_importance, 0, 1);
        from.whole("sockets", proxies.sockets, 64, 1e5);
        from.number("memory_mb", proxies.memory_mb, 32, 1e6);
    });
    top.tables("use_case", [&](section &from) { read_use_case(from, to); });
    if (to.use_cases.empty())
        top.refuse(nullptr, "the experiment has no [[use_case]]");
    top.tables("tenant", [&](section &from) {
        tenant_spec one;
        from.text("name", one.name);
        from.number("share", one.share, 0, 1e6);
        from.number("quota_rps", one.quota_rps, 0, 1e6);
        if (one.name.empty())
            from.refuse(nullptr, "a tenant needs a name");
        to.tenants.push_back(std::move(one));
    });
    top.tables("fault", [&](section &from) { read_fault(from, to); });
    top.tables("variant", [&](section &from) {
        variant_spec one;
        from.one_of("by", decider_names, one.by);
        from.one_of("plant", plant_names, one.breaks);
        one.name = name_of(one.by);
        from.text("name", one.name);
        to.variants.push_back(std::move(one));
    });
    if (to.variants.empty())
        to.variants.emplace_back();
}

} // namespace

const char *name_of(fault_kind kind) {
    return word_of(fault_names, kind);
}

const char *name_of(decider by) {
    return word_of(decider_names, by);
}

experiment parse_experiment(const std::string &text, const std::string &name) {
    experiment made;
    made.text = text;
    made.name = name.substr(name.rfind('/') + 1);
    made.name = made.name.substr(0, made.name.rfind(".toml"));
    try {
        const toml::table all = toml::parse(text, name);
        section top(all, "", name);
        read_whole(top, made);
        top.finish();
    } catch (const toml::parse_error &bad) {
        throw bad_experiment(name + ":" + std::to_string(bad.source().begin.line) + ": " +
                             std::string(bad.description()));
    }
    return made;
}

experiment read_experiment(const std::string &path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        throw bad_experiment(path + ": cannot be read");
    return parse_experiment(text.str(), path);
}

index zone_of(const experiment &given, index server_or_proxy) {
    return server_or_proxy % static_cast<index>(given.fleet.zones.size());
}

index group_of(const experiment &given, index use_case, index server) {
    const auto group = given.use_cases[use_case].decides.group;
    return group == repeat_group::all ? 0 : group == repeat_group::zone ? zone_of(given, server) : server;
}

settings settings_for(const experiment &given, index proxy) {
    settings made;
    for (const auto &each : given.use_cases)
        made.use_cases.push_back(each.decides);
    for (const auto &each : given.tenants)
        made.tenant_quota.push_back(each.quota_rps);
    made.excess_importance = given.proxies.excess_importance;
    made.own_zone = zone_of(given, proxy);
    made.peers = given.proxies.count;
    made.cold = given.cold.decides;
    made.origin_kind = given.fleet.aside ? 1 : none;
    made.allow.may_cancel = given.proxies.cancel;
    made.allow.may_probe = given.proxies.probes;
    made.allow.must_subscribe = true;
    made.allow.must_ask_in = 10;
    made.allow.max_executions = given.proxies.max_executions;
    made.allow.max_advice = given.proxies.advice;
    return made;
}

} // namespace harrierpass::lab
