// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment.hpp"

#include "settings/kind_names.hpp"
#include "testbed/model/random.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>
#include <toml++/toml.h>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr double most_length = 86400;  // s; a run of a day
constexpr double most_servers = 20000; // beyond it one process has no memory for their stores
constexpr double ask_in = 10;          // s without asking after which a list counts as told
constexpr double old_gone = 0.3;       // of the servers in an old list

constexpr std::array<std::pair<const char *, fault_kind>, 27> fault_names = {
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
     {"client_pause", fault_kind::client_pause},
     {"proxy_restart", fault_kind::proxy_restart},
     {"proxy_end", fault_kind::proxy_end},
     {"proxy_late", fault_kind::proxy_late},
     {"proxy_signals", fault_kind::proxy_signals},
     {"host_kill", fault_kind::host_kill},
     {"host_stop", fault_kind::host_stop},
     {"list_kill", fault_kind::list_kill},
     {"list_stop", fault_kind::list_stop}}};
constexpr std::array<std::pair<const char *, known_list>, 3> known_names = {
    {{"none", known_list::none}, {"list", known_list::list}, {"old", known_list::old}}};
constexpr std::array<std::pair<const char *, list_service_kind>, 2> list_names = {
    {{"agent", list_service_kind::agent}, {"central", list_service_kind::central}}};
constexpr std::array<std::pair<const char *, link_kind>, 4> end_names = {
    {{"client-proxy", link_kind::client_proxy},
     {"proxy-server", link_kind::proxy_server},
     {"proxy-list", link_kind::proxy_list},
     {"proxy-proxy", link_kind::proxy_proxy}}};
constexpr std::array<std::pair<const char *, link_fault_kind>, 7> link_names = {
    {{"drop", link_fault_kind::drop},
     {"one_way", link_fault_kind::one_way},
     {"reset", link_fault_kind::reset},
     {"half_open", link_fault_kind::half_open},
     {"slow", link_fault_kind::slow},
     {"datagrams", link_fault_kind::datagrams},
     {"partition", link_fault_kind::partition}}};
enum class ways : std::uint8_t { there, back, both };
constexpr std::array<std::pair<const char *, ways>, 3> way_names = {
    {{"there", ways::there}, {"back", ways::back}, {"both", ways::both}}};

constexpr std::array<std::pair<const char *, decider>, 5> decider_names = {
    {{"module", decider::module},
     {"whole_list", decider::whole_list},
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
        const auto &where = at != nullptr ? at->source() : from_.source();
        // What a base brought is refused where it stands.
        throw bad_experiment((where.path ? *where.path : file_) + ":" + std::to_string(where.begin.line) +
                             ": " + why);
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
            const auto range = each.value_exact<std::string>();
            if (range && range->find('-') != std::string::npos) { // "200-299"
                std::size_t first = 0, last = 0;
                char dash = 0;
                std::istringstream text(*range);
                if (!(text >> first >> dash >> last) || dash != '-' || !text.eof() || last < first ||
                    static_cast<double>(last) >= below)
                    refuse(&each, path_ + key + " holds what is no range below " + shown(below) +
                                      ", such as \"4-7\"");
                for (; first <= last; ++first)
                    to.push_back(static_cast<Number>(first));
                continue;
            }
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
        use.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-0123456789") != std::string::npos)
        from.refuse(nullptr, "a use_case needs a name of small letters, digits, - and _");
    from.one_of("effect", effect_names, use.decides.effect);
    from.one_of("group", deduplication_scope_names, use.decides.scope);
    from.seconds("window", use.decides.deduplication_window, 0, 3600);
    from.seconds("slo", use.decides.latency_objective, 0.0001, 600);
    use.statement_timeout = use.decides.latency_objective * 3;
    from.seconds("timeout", use.statement_timeout, 0.001, 600);
    from.number("importance", use.decides.priority_weight, 0, 1000);
    from.number("tardy", use.decides.late_value_share, 0, 1);
    from.flag("write", use.write);
    from.flag("keyed", use.keyed);
    from.number("share", use.share, 0, 1e6);
    from.seconds("work", use.work, 1e-6, 60);
    from.number("spread", use.spread, 0, 3);
    if (use.decides.effect == effect_kind::deduplicated && use.decides.deduplication_window <= 0)
        from.refuse(nullptr, "a deduplicated use_case needs a window");
    to.use_cases.push_back(std::move(use));
}

// Numbers of a zone, or of a share that is the same for every seed, added to those that were named.
void add_zone(const section &from, const std::string &key, const std::string &zone, const experiment &to,
              index count, std::vector<index> &list, index (*where)(const experiment &, index) = zone_of) {
    if (zone.empty())
        return;
    const auto at = std::find(to.fleet.zones.begin(), to.fleet.zones.end(), zone) - to.fleet.zones.begin();
    if (at == static_cast<std::ptrdiff_t>(to.fleet.zones.size()))
        from.refuse_key(key, "names none of the fleet's zones");
    for (index i = 0; i < count; ++i)
        if (where(to, i) == static_cast<index>(at))
            list.push_back(i);
}

void add_share(section &from, const std::string &key, index count, std::uint32_t seed,
               std::vector<index> &list) {
    double share = 0;
    from.number(key, share, 0, 1);
    std::vector<index> all(count);
    std::iota(all.begin(), all.end(), 0);
    chance order(seed);
    for (index i = count; i > 1; --i)
        std::swap(all[i - 1], all[order.below(i)]);
    all.resize(static_cast<std::size_t>(std::llround(share * count)));
    std::sort(all.begin(), all.end());
    list.insert(list.end(), all.begin(), all.end());
}

// `proxies`, `proxy_zone`, `proxy_share` and the same for servers; where they stand alike in faults and
// links.
void read_ends(section &from, const experiment &to, std::uint32_t seed, std::vector<index> &proxies,
               std::vector<index> &servers) {
    from.counts("servers", servers, most_servers);
    from.counts("proxies", proxies, to.proxies.count);
    std::string zone, proxy_zone;
    from.text("zone", zone);
    add_zone(from, "zone", zone, to, to.fleet.servers, servers);
    from.text("proxy_zone", proxy_zone);
    add_zone(from, "proxy_zone", proxy_zone, to, to.proxies.count, proxies, zone_of_proxy);
    add_share(from, "server_share", to.fleet.servers, seed, servers);
    add_share(from, "proxy_share", to.proxies.count, seed + 1, proxies);
}

void read_times(section &from, const char *what, double &at, double &lasts, double &every) {
    if (!from.has("kind") || !from.has("at"))
        from.refuse(nullptr, std::string(what) + " needs kind and at");
    from.seconds("at", at, 0, most_length);
    from.seconds("for", lasts, 0, most_length);
    from.seconds("every", every, 0, most_length);
    if (every > 0 && (lasts <= 0 || every < lasts))
        from.refuse_key("every", "needs a shorter `for`");
}

// A fault that goes over its servers or proxies in steps is as many faults, one after the other.
void add_steps(const fault_spec &whole, index steps, double over, experiment &to) {
    if (steps == 1)
        return to.faults.push_back(whole);
    auto &list = whole.servers.empty() ? whole.proxies : whole.servers;
    const auto count = static_cast<index>(list.size());
    for (index i = 0; i < steps; ++i) {
        fault_spec part = whole;
        auto &some = whole.servers.empty() ? part.proxies : part.servers;
        some.assign(list.begin() + i * count / steps, list.begin() + (i + 1) * count / steps);
        part.at = whole.at + over * i / steps;
        if (!some.empty())
            to.faults.push_back(std::move(part));
    }
}

void read_fault(section &from, experiment &to) {
    fault_spec made;
    from.one_of("kind", fault_names, made.kind);
    read_times(from, "a fault", made.at, made.lasts, made.every);
    from.number("factor", made.factor, 0, 10000);
    read_ends(from, to, 101 + 2 * static_cast<std::uint32_t>(to.faults.size()), made.proxies, made.servers);
    from.counts("hosts", made.hosts, std::max<double>(1, to.fleet.hosts));
    for (const index host : made.hosts)
        for (index i = 0; i < to.fleet.servers; ++i)
            if (host_of(to, i) == host)
                made.servers.push_back(i);
    std::string use, tenant;
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
    double join_share = 0;
    from.number("join_share", join_share, 0, 10);
    for (index i = 0; i < std::llround(join_share * to.fleet.servers); ++i)
        made.servers.push_back(to.fleet.servers + i);
    const bool joins = made.kind == fault_kind::join;
    for (const index each : made.servers)
        if (joins == (each < to.fleet.servers))
            from.refuse_key("servers", joins ? "join with numbers from the fleet's size on"
                                             : "names a server that the fleet does not have");
    const std::string name = name_of(made.kind);
    if (made.kind <= fault_kind::flap && made.servers.empty())
        from.refuse(nullptr, name + " needs servers or zone");
    if (made.kind == fault_kind::flood && made.tenant == none)
        from.refuse(nullptr, "flood needs a tenant");
    if (name.starts_with("proxy_") && made.proxies.empty())
        from.refuse(nullptr, name + " needs proxies");
    if (name.starts_with("host_") && made.hosts.empty())
        from.refuse(nullptr, name + " needs hosts, and [fleet] hosts says how many there are");
    index steps = 1;
    double over = 0;
    from.whole("steps", steps, 1, 1000);
    from.seconds("over", over, 0, most_length);
    if ((steps > 1) != (over > 0))
        from.refuse(nullptr, "steps and over go together");
    if (steps > 1 && made.servers.empty() && made.proxies.empty())
        from.refuse(nullptr, "steps need servers or proxies to go over");
    add_steps(made, steps, over, to);
}

void read_link(section &from, experiment &to) {
    link_fault_spec made;
    from.one_of("kind", link_names, made.kind);
    read_times(from, "a link", made.at, made.lasts, made.every);
    if (from.has("between")) {
        std::vector<std::string> names;
        from.texts("between", names);
        for (const auto &each : names) {
            const auto known = std::find_if(end_names.begin(), end_names.end(),
                                            [&](const auto &one) { return each == one.first; });
            if (known == end_names.end())
                from.refuse_key("between", "holds \"" + each +
                                               "\", and known are: client-proxy, proxy-server, proxy-list, "
                                               "proxy-proxy");
            made.between.push_back(known->second);
        }
    }
    read_ends(from, to, 501 + 2 * static_cast<std::uint32_t>(to.links.size()), made.proxies, made.servers);
    from.number("share", made.share, 0, 1);
    ways to_where = made.kind == link_fault_kind::one_way ? ways::back : ways::both;
    from.one_of("direction", way_names, to_where);
    made.there = to_where != ways::back;
    made.back = to_where != ways::there;
    from.flag("list", made.list);
    from.flag("clients", made.clients);
    from.seconds("delay", made.delay, 0, 60);
    from.seconds("jitter", made.jitter, 0, 60);
    from.number("pace", made.pace, 0, 1e12);
    from.number("lost", made.lost, 0, 1);
    from.number("doubled", made.doubled, 0, 1);
    from.number("reordered", made.reordered, 0, 1);
    const auto refuse = [&](const char *why) { from.refuse(nullptr, std::string(name_of(made.kind)) + why); };
    const bool slow = made.delay + made.jitter + made.pace > 0;
    const bool of_datagrams = made.lost + made.doubled + made.reordered > 0;
    if (made.kind == link_fault_kind::one_way && to_where == ways::both)
        refuse(" is there or back; both is drop");
    if (made.kind == link_fault_kind::slow && !slow)
        refuse(" needs delay, jitter or pace");
    if (made.kind == link_fault_kind::datagrams && !of_datagrams)
        refuse(" needs lost, doubled or reordered");
    if ((slow && made.kind != link_fault_kind::slow && made.kind != link_fault_kind::datagrams) ||
        (of_datagrams && made.kind != link_fault_kind::datagrams))
        refuse(" has no use for delay, jitter, pace, lost, doubled or reordered");
    if (made.kind == link_fault_kind::partition && made.proxies.empty() && made.servers.empty())
        refuse(" needs a group: proxies, servers or zones");
    if (made.kind != link_fault_kind::partition && (made.list || made.clients))
        refuse(" has no group that the list is in or clients are cut off from");
    if (made.lasts <= 0)
        refuse(" needs `for`");
    to.links.push_back(std::move(made));
}

// What `over` has stands instead of, or beside, what `to` has; lists stand whole.
void lay_over(toml::table &to, const toml::table &over) {
    for (const auto &[key, node] : over)
        if (auto *const both = to.get_as<toml::table>(key); both != nullptr && node.is_table())
            lay_over(*both, *node.as_table());
        else
            to.insert_or_assign(key, node);
}

// The file's own table over that of its base, if it names one, and its [large] part over both if that is
// asked for.
toml::table laid_out(const std::string &text, const std::string &name, bool large, bool may_have_base) {
    toml::table own = toml::parse(text, name);
    if (const toml::node *base = own.get("base")) {
        const auto said = base->value_exact<std::string>();
        if (!said || !may_have_base)
            throw bad_experiment(name + ":" + std::to_string(base->source().begin.line) + ": base " +
                                 (said ? "of a base" : "is no text"));
        const auto slash = name.rfind('/');
        const std::string path = (slash == std::string::npos ? "" : name.substr(0, slash + 1)) + *said;
        std::ifstream in(path);
        std::ostringstream all;
        all << in.rdbuf();
        if (!in)
            throw bad_experiment(name + ":" + std::to_string(base->source().begin.line) + ": base " + path +
                                 " cannot be read");
        own.erase("base");
        toml::table whole = laid_out(all.str(), path, false, false);
        lay_over(whole, own);
        own = std::move(whole);
    }
    if (!may_have_base)
        return own;
    if (const toml::node *part = own.get("large")) {
        if (!part->is_table())
            throw bad_experiment(name + ":" + std::to_string(part->source().begin.line) +
                                 ": large is written [large]");
        const toml::table over = *part->as_table();
        own.erase("large");
        if (large)
            lay_over(own, over);
    } else if (large) {
        throw bad_experiment(name + ":1: has no [large] part");
    }
    return own;
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
        from.whole("bare", fleet.bare, 0, static_cast<double>(fleet.zones.size() - 1));
        from.whole("cores", fleet.cores, 1, 1024);
        from.number("slowest", fleet.slowest, 0.01, 1);
        from.whole("queue", fleet.queue, 0, 1e6);
        from.whole("store", fleet.store, 0, 1e7);
        from.flag("aside", fleet.aside);
        from.flag("warm", fleet.warm);
        from.seconds("idle", fleet.idle, 0.1, 3600);
        from.seconds("dial_work", fleet.dial_work, 0, 10);
        from.whole("hosts", fleet.hosts, 0, 64);
    });
    top.table("origin", [&](section &from) {
        from.whole("workers", to.origin.workers, 1, 1e5);
        from.seconds("work", to.origin.work, 1e-6, 60);
        from.number("spread", to.origin.spread, 0, 3);
        from.whole("queue", to.origin.queue, 0, 1e6);
    });
    top.table("cold", [&](section &from) {
        from.number("start_capacity", to.cold.decides.initial_capacity_share, 0.01, 1);
        from.seconds("warm_time", to.cold.decides.warm_up_time, 0, 3600);
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
        from.one_of("form", list_names, to.list.form);
        from.whole("workers", to.list.workers, 1, 1e4);
        from.seconds("whole_work", to.list.whole_work, 0, 60);
        from.seconds("watch_work", to.list.watch_work, 0, 60);
        from.whole("queue", to.list.queue, 0, 1e6);
        from.seconds("come_back", to.list.come_back, 0, 600);
        from.flag("own_process", to.list.own_process);
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
        from.number("uneven", load.uneven, 0, 3);
        from.number("heaviest", load.heaviest, 0, 0.99);
        from.number("hottest", load.hottest, 0, 1);
        from.seconds("wait_beyond", load.wait_beyond, 0.01, 10);
        from.whole("idle", load.idle, 0, 1e4);
    });
    top.table("prices", [&](section &from) {
        from.number("handshake", to.prices.handshake, 0, 100);
        from.number("origin", to.prices.origin, 0, 100);
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
        from.flag("together", proxies.together);
        from.one_of("known", known_names, proxies.known);
        from.number("known_old", proxies.known_old, 0, 1);
        from.flag("shared_list", proxies.shared_list);
        from.flag("snapshots", proxies.snapshots);
        from.flag("peers", proxies.peers);
    });
    if (to.fleet.aside && to.fleet.hosts > 0)
        top.refuse(nullptr,
                   "fleet.aside and fleet.hosts do not go together: the origin fills the servers' stores");
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
    top.table("system", [&](section &from) {
        from.number("rate", to.system.rate, 0, 0.5);
        from.seconds("from", to.system.from, 0, most_length);
        from.seconds("for", to.system.lasts, 0, most_length);
        from.number("clock_step_s", to.system.clock_step, -1e6, 1e6);
        if (to.system.rate > 0 && to.system.lasts <= 0)
            from.refuse_key("rate", "needs `for`");
    });
    top.tables("link", [&](section &from) { read_link(from, to); });
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
    return kind_name(fault_names, kind);
}

const char *name_of(link_fault_kind kind) {
    return kind_name(link_names, kind);
}

const char *name_of(link_kind kind) {
    return kind_name(end_names, kind);
}

const char *name_of(plant which) {
    return kind_name(plant_names, which);
}

plant plant_of(const std::string &name) {
    for (const auto &[known, which] : plant_names)
        if (name == known)
            return which;
    throw bad_experiment("\"" + name + "\" is no plant");
}

index host_of(const experiment &given, index server) {
    return given.fleet.hosts > 0 ? server % given.fleet.hosts : none;
}

index all_servers(const experiment &given) {
    const bool old = given.proxies.known == known_list::old;
    index most = given.fleet.servers + static_cast<index>(old ? old_gone * given.fleet.servers : 0);
    for (const auto &each : given.faults)
        for (const index server : each.servers)
            most = std::max(most, server + 1);
    return most;
}

std::vector<bool> late_proxies(const experiment &given) {
    std::vector<bool> late(given.proxies.count);
    for (const auto &each : given.faults)
        if (each.kind == fault_kind::proxy_late)
            for (const index proxy : each.proxies)
                late[proxy] = true;
    return late;
}

double list_patience(const list_spec &given) {
    return std::clamp(given.drain_grace * 0.25, 0.1, 1.0);
}

discovery::poll_settings list_terms(const experiment &given) {
    const auto &list = given.list;
    return {.service = given.proxies.shared_list ? discovery::list_service_kind::shared
                                                 : discovery::list_service_kind::agent,
            .proxy_count = given.proxies.count,
            .snapshots_per_second = std::min(1e6, list.workers / std::max(1e-6, list.whole_work)),
            .max_poll_interval = ask_in};
}

// Every second one of what is left of the share, whatever the zone.
bool knows_old(const experiment &given, index proxy) {
    return given.proxies.known == known_list::old &&
           std::floor((proxy + 1) * given.proxies.known_old) > std::floor(proxy * given.proxies.known_old);
}

bool in_old_list(const experiment &given, index server) {
    const auto gone = static_cast<index>(old_gone * given.fleet.servers);
    return server < given.fleet.servers - gone ||
           (server >= given.fleet.servers && server < given.fleet.servers + gone);
}

bool has_end(const fault_spec &fault) {
    return fault.lasts > 0 && fault.kind != fault_kind::drain && fault.kind != fault_kind::join &&
           fault.kind != fault_kind::proxy_restart && fault.kind != fault_kind::proxy_end &&
           fault.kind != fault_kind::proxy_late && fault.kind != fault_kind::proxy_signals;
}

const char *name_of(decider by) {
    return kind_name(decider_names, by);
}

decider decider_of(const std::string &name) {
    for (const auto &[word, value] : decider_names)
        if (name == word)
            return value;
    throw bad_experiment("no decider is called " + name +
                         ": module, whole_list, random, least_of_two, plain_ring");
}

experiment parse_experiment(const std::string &text, const std::string &name, bool large) {
    experiment made;
    made.text = text;
    made.name = name.substr(name.rfind('/') + 1);
    made.name = made.name.substr(0, made.name.rfind(".toml"));
    try {
        const toml::table all = laid_out(text, name, large, true);
        std::ostringstream whole;
        whole << all;
        made.whole = whole.str();
        section top(all, "", name);
        read_whole(top, made);
        top.finish();
    } catch (const toml::parse_error &bad) {
        throw bad_experiment((bad.source().path ? *bad.source().path : name) + ":" +
                             std::to_string(bad.source().begin.line) + ": " + std::string(bad.description()));
    }
    if (large)
        made.name += "-large";
    return made;
}

experiment read_experiment(const std::string &path, bool large) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        throw bad_experiment(path + ": cannot be read");
    return parse_experiment(text.str(), path, large);
}

index zone_of(const experiment &given, index server) {
    return server % (static_cast<index>(given.fleet.zones.size()) - given.fleet.bare);
}

index zone_of_proxy(const experiment &given, index proxy) {
    return proxy % static_cast<index>(given.fleet.zones.size());
}

index group_of(const experiment &given, index use_case, index server) {
    const auto group = given.use_cases[use_case].decides.scope;
    return group == deduplication_scope::all    ? 0
           : group == deduplication_scope::zone ? zone_of(given, server)
                                                : server;
}

router_settings settings_for(const experiment &given, index proxy) {
    router_settings made;
    for (const auto &each : given.use_cases)
        made.request_classes.push_back(each.decides);
    for (const auto &each : given.tenants)
        made.tenant_quotas.push_back(each.quota_rps);
    made.over_quota_weight_share = given.proxies.excess_importance;
    made.local_zone = zone_index(zone_of_proxy(given, proxy));
    made.proxy_count = given.proxies.count;
    made.proxy_index = proxy;
    made.handshake_cost = given.prices.handshake;
    made.origin_fetch_cost = given.prices.origin;
    made.upstream_idle_timeout = given.fleet.idle;
    made.slow_start = given.cold.decides;
    made.origin_kind = given.fleet.aside ? kind_index(1) : none;
    made.constraints.may_cancel = given.proxies.cancel;
    made.constraints.may_check_health = given.proxies.probes;
    made.constraints.watch_required = true;
    // As the program has it where the list is told by itself (proxy/settings.cpp).
    const bool patient = given.list.form == list_service_kind::central && !given.proxies.shared_list;
    made.constraints.max_poll_interval = patient ? list_patience(given.list) : ask_in;
    made.constraints.max_attempts = given.proxies.max_executions;
    made.constraints.max_retry_after = given.proxies.advice;
    return made;
}

} // namespace harrierpass::testbed
