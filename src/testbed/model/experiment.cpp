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
     {"spoilt", fault_kind::malformed},
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
constexpr std::array<std::pair<const char *, initial_list_kind>, 3> known_names = {
    {{"none", initial_list_kind::none},
     {"list", initial_list_kind::list},
     {"old", initial_list_kind::stale}}};
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

constexpr std::array<std::pair<const char *, policy_kind>, 5> policy_names = {
    {{"module", policy_kind::module},
     {"whole_list", policy_kind::full_list},
     {"random", policy_kind::random},
     {"least_of_two", policy_kind::less_loaded_of_two},
     {"plain_ring", policy_kind::plain_ring}}};
constexpr std::array<std::pair<const char *, injected_violation>, 9> violation_names = {
    {{"nothing", injected_violation::nothing},
     {"lose", injected_violation::lose_response},
     {"answer_twice", injected_violation::answer_twice},
     {"run_twice", injected_violation::execute_twice},
     {"two_out", injected_violation::concurrent_attempts},
     {"ignore_drain", injected_violation::ignore_drain},
     {"push_cold", injected_violation::overload_cold},
     {"late", injected_violation::late_attempt},
     {"wrong_body", injected_violation::wrong_body}}};
// One table of the file, read key by key; what nobody asked for is refused at the end.
class section {
public:
    section(const toml::table &from, std::string path, std::string file)
        : from_(from), path_(std::move(path)), file_(std::move(file)) {}

    [[noreturn]] void refuse(const toml::node *at, const std::string &why) const {
        const auto &where = at != nullptr ? at->source() : from_.source();
        // What a base brought is refused where it stands.
        throw experiment_error((where.path ? *where.path : file_) + ":" + std::to_string(where.begin.line) +
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
        std::string value;
        if (!has(key))
            return;
        text(key, value);
        static constexpr std::array<std::pair<const char *, double>, 4> units = {
            {{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}}};
        const auto end = value.find_first_not_of("0123456789.");
        const auto unit = std::find_if(units.begin(), units.end(), [&](const auto &each) {
            return end != std::string::npos && value.substr(end) == each.first;
        });
        if (end == 0 || unit == units.end() || std::count(value.begin(), value.end(), '.') > 1)
            refuse_key(key, "is no time with a unit, as \"8ms\", \"2s\", \"200us\" or \"1min\"");
        to = std::stod(value.substr(0, end)) * unit->second;
        if (!(to >= least && to <= most))
            refuse_key(key, "is not between " + shown(least) + " and " + shown(most) + " s");
    }
    template <typename Names, typename Kind>
    void one_of(const std::string &key, const Names &names, Kind &to) {
        std::string value;
        if (!has(key))
            return;
        text(key, value);
        std::string known;
        for (const auto &[name, kind] : names) {
            if (value == name) {
                to = kind;
                return;
            }
            known.append(known.empty() ? "" : ", ").append(name);
        }
        refuse_key(key, "is \"" + value + "\", and known are: " + known);
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
    request_class_settings use;
    from.text("name", use.name);
    if (use.name.empty() ||
        use.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-0123456789") != std::string::npos)
        from.refuse(nullptr, "a use_case needs a name of small letters, digits, - and _");
    from.one_of("effect", effect_names, use.routing.effect);
    from.one_of("group", deduplication_scope_names, use.routing.scope);
    from.seconds("window", use.routing.deduplication_window, 0, 3600);
    from.seconds("slo", use.routing.latency_objective, 0.0001, 600);
    use.timeout = use.routing.latency_objective * 3;
    from.seconds("timeout", use.timeout, 0.001, 600);
    from.number("importance", use.routing.priority_weight, 0, 1000);
    from.number("tardy", use.routing.late_value_share, 0, 1);
    from.flag("write", use.write);
    from.flag("keyed", use.keyed);
    from.number("share", use.share, 0, 1e6);
    from.seconds("work", use.work, 1e-6, 60);
    from.number("spread", use.spread, 0, 3);
    if (use.routing.effect == effect_kind::deduplicated && use.routing.deduplication_window <= 0)
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
    random_generator order(seed);
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
void add_steps(const fault_settings &whole, index steps, double over, experiment &to) {
    if (steps == 1)
        return to.faults.push_back(whole);
    auto &list = whole.servers.empty() ? whole.proxies : whole.servers;
    const auto count = static_cast<index>(list.size());
    for (index i = 0; i < steps; ++i) {
        fault_settings part = whole;
        auto &some = whole.servers.empty() ? part.proxies : part.servers;
        some.assign(list.begin() + i * count / steps, list.begin() + (i + 1) * count / steps);
        part.at = whole.at + over * i / steps;
        if (!some.empty())
            to.faults.push_back(std::move(part));
    }
}

void read_fault(section &from, experiment &to) {
    fault_settings made;
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
    link_fault_settings made;
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
    read_ends(from, to, 501 + 2 * static_cast<std::uint32_t>(to.link_faults.size()), made.proxies,
              made.servers);
    from.number("share", made.share, 0, 1);
    ways to_where = made.kind == link_fault_kind::one_way ? ways::back : ways::both;
    from.one_of("direction", way_names, to_where);
    made.to_far_end = to_where != ways::back;
    made.to_near_end = to_where != ways::there;
    from.flag("list", made.list);
    from.flag("clients", made.clients);
    from.seconds("delay", made.delay, 0, 60);
    from.seconds("jitter", made.jitter, 0, 60);
    from.number("pace", made.bytes_per_second, 0, 1e12);
    from.number("lost", made.loss_share, 0, 1);
    from.number("doubled", made.duplicate_share, 0, 1);
    from.number("reordered", made.reorder_share, 0, 1);
    const auto refuse = [&](const char *why) { from.refuse(nullptr, std::string(name_of(made.kind)) + why); };
    const bool slow = made.delay + made.jitter + made.bytes_per_second > 0;
    const bool of_datagrams = made.loss_share + made.duplicate_share + made.reorder_share > 0;
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
    to.link_faults.push_back(std::move(made));
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
            throw experiment_error(name + ":" + std::to_string(base->source().begin.line) + ": base " +
                                   (said ? "of a base" : "is no text"));
        const auto slash = name.rfind('/');
        const std::string path = (slash == std::string::npos ? "" : name.substr(0, slash + 1)) + *said;
        std::ifstream in(path);
        std::ostringstream all;
        all << in.rdbuf();
        if (!in)
            throw experiment_error(name + ":" + std::to_string(base->source().begin.line) + ": base " + path +
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
            throw experiment_error(name + ":" + std::to_string(part->source().begin.line) +
                                   ": large is written [large]");
        const toml::table over = *part->as_table();
        own.erase("large");
        if (large)
            lay_over(own, over);
    } else if (large) {
        throw experiment_error(name + ":1: has no [large] part");
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
        from.whole("bare", fleet.proxy_only_zones, 0, static_cast<double>(fleet.zones.size() - 1));
        from.whole("cores", fleet.cores, 1, 1024);
        from.number("slowest", fleet.slowest, 0.01, 1);
        from.whole("queue", fleet.queue, 0, 1e6);
        from.whole("store", fleet.cache_capacity, 0, 1e7);
        from.flag("aside", fleet.cache_aside);
        from.flag("warm", fleet.starts_warm);
        from.seconds("idle", fleet.idle_timeout, 0.1, 3600);
        from.seconds("dial_work", fleet.connect_work, 0, 10);
        from.whole("hosts", fleet.hosts, 0, 64);
    });
    top.table("origin", [&](section &from) {
        from.whole("workers", to.origin.workers, 1, 1e5);
        from.seconds("work", to.origin.work, 1e-6, 60);
        from.number("spread", to.origin.spread, 0, 3);
        from.whole("queue", to.origin.queue, 0, 1e6);
    });
    top.table("cold", [&](section &from) {
        from.number("start_capacity", to.warm_up.routing.initial_capacity_share, 0.01, 1);
        from.seconds("warm_time", to.warm_up.routing.warm_up_time, 0, 3600);
        from.number("push_limit", to.warm_up.overload_factor, 1, 1000);
        from.seconds("push_time", to.warm_up.overload_window, 0.1, 60);
    });
    top.table("network", [&](section &from) {
        from.seconds("one_way", to.network.latency, 0, 1);
        to.network.cross_zone_latency = to.network.latency;
        from.seconds("cross_zone", to.network.cross_zone_latency, 0, 1);
        from.seconds("dial_limit", to.network.connect_timeout, 0.001, 60);
    });
    top.table("list", [&](section &from) {
        from.one_of("form", list_names, to.list.form);
        from.whole("workers", to.list.workers, 1, 1e4);
        from.seconds("whole_work", to.list.snapshot_work, 0, 60);
        from.seconds("watch_work", to.list.watch_work, 0, 60);
        from.whole("queue", to.list.queue, 0, 1e6);
        from.seconds("come_back", to.list.retry_after, 0, 600);
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
        from.seconds("think", load.think_time, 0, 60);
        from.whole("keys", load.keys, 1, 1e7);
        from.number("zipf", load.zipf, 0, 3);
        from.seconds("drift", load.popularity_drift_time, 0, most_length);
        from.number("ramp_to", load.peak_factor, 0.01, 100);
        from.whole("retries", load.retries, 0, 20);
        from.number("heed", load.retry_after_share, 0, 1);
        from.seconds("impatient", load.retry_delay, 0.001, 60);
        from.number("uneven", load.proxy_share_deviation, 0, 3);
        from.number("heaviest", load.first_proxy_share, 0, 0.99);
        from.number("hottest", load.hottest_key_share, 0, 1);
        from.seconds("wait_beyond", load.response_grace, 0.01, 10);
        from.whole("idle", load.idle_connections, 0, 1e4);
    });
    top.table("prices", [&](section &from) {
        from.number("handshake", to.costs.handshake, 0, 100);
        from.number("origin", to.costs.origin, 0, 100);
    });
    top.table("proxies", [&](section &from) {
        auto &proxies = to.proxies;
        from.whole("count", proxies.count, 1, 1000);
        from.flag("probes", proxies.may_check_health);
        from.flag("cancel", proxies.may_cancel);
        from.whole("max_executions", proxies.max_attempts, 1, 100);
        from.seconds("advice", proxies.max_retry_after, 0, 60);
        from.number("excess_importance", proxies.over_quota_weight_share, 0, 1);
        from.whole("sockets", proxies.sockets, 64, 1e5);
        from.number("memory_mb", proxies.memory_mb, 32, 1e6);
        from.flag("together", proxies.start_with_load);
        from.one_of("known", known_names, proxies.initial_list);
        from.number("known_old", proxies.stale_list_share, 0, 1);
        from.flag("shared_list", proxies.shared_list);
        from.flag("snapshots", proxies.snapshots);
        from.flag("peers", proxies.may_exchange_datagrams);
    });
    if (to.fleet.cache_aside && to.fleet.hosts > 0)
        top.refuse(nullptr,
                   "fleet.aside and fleet.hosts do not go together: the origin fills the servers' stores");
    top.tables("use_case", [&](section &from) { read_use_case(from, to); });
    if (to.use_cases.empty())
        top.refuse(nullptr, "the experiment has no [[use_case]]");
    top.tables("tenant", [&](section &from) {
        tenant_settings one;
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
        variant_settings one;
        from.one_of("by", policy_names, one.policy);
        from.one_of("plant", violation_names, one.violation);
        one.name = name_of(one.policy);
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

const char *name_of(injected_violation which) {
    return kind_name(violation_names, which);
}

injected_violation parse_injected_violation(const std::string &name) {
    for (const auto &[known, which] : violation_names)
        if (name == known)
            return which;
    throw experiment_error("\"" + name + "\" is no plant");
}

index host_of(const experiment &settings, index server) {
    return settings.fleet.hosts > 0 ? server % settings.fleet.hosts : none;
}

index total_server_count(const experiment &settings) {
    const bool old = settings.proxies.initial_list == initial_list_kind::stale;
    index most = settings.fleet.servers + static_cast<index>(old ? old_gone * settings.fleet.servers : 0);
    for (const auto &each : settings.faults)
        for (const index server : each.servers)
            most = std::max(most, server + 1);
    return most;
}

std::vector<bool> late_starting_proxies(const experiment &settings) {
    std::vector<bool> late(settings.proxies.count);
    for (const auto &each : settings.faults)
        if (each.kind == fault_kind::proxy_late)
            for (const index proxy : each.proxies)
                late[proxy] = true;
    return late;
}

double list_response_timeout(const list_service_settings &settings) {
    return std::clamp(settings.drain_grace * 0.25, 0.1, 1.0);
}

discovery::poll_settings list_poll_settings(const experiment &settings) {
    const auto &list = settings.list;
    return {.service = settings.proxies.shared_list ? discovery::list_service_kind::shared
                                                    : discovery::list_service_kind::agent,
            .proxy_count = settings.proxies.count,
            .snapshots_per_second = std::min(1e6, list.workers / std::max(1e-6, list.snapshot_work)),
            .max_poll_interval = ask_in};
}

// Every second one of what is left of the share, whatever the zone.
bool starts_with_stale_list(const experiment &settings, index proxy) {
    return settings.proxies.initial_list == initial_list_kind::stale &&
           std::floor((proxy + 1) * settings.proxies.stale_list_share) >
               std::floor(proxy * settings.proxies.stale_list_share);
}

bool in_stale_list(const experiment &settings, index server) {
    const auto gone = static_cast<index>(old_gone * settings.fleet.servers);
    return server < settings.fleet.servers - gone ||
           (server >= settings.fleet.servers && server < settings.fleet.servers + gone);
}

bool has_end(const fault_settings &fault) {
    return fault.lasts > 0 && fault.kind != fault_kind::drain && fault.kind != fault_kind::join &&
           fault.kind != fault_kind::proxy_restart && fault.kind != fault_kind::proxy_end &&
           fault.kind != fault_kind::proxy_late && fault.kind != fault_kind::proxy_signals;
}

const char *name_of(policy_kind by) {
    return kind_name(policy_names, by);
}

policy_kind parse_policy_kind(const std::string &name) {
    for (const auto &[word, value] : policy_names)
        if (name == word)
            return value;
    throw experiment_error("no decider is called " + name +
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
        made.merged_text = whole.str();
        section top(all, "", name);
        read_whole(top, made);
        top.finish();
    } catch (const toml::parse_error &bad) {
        throw experiment_error((bad.source().path ? *bad.source().path : name) + ":" +
                               std::to_string(bad.source().begin.line) + ": " +
                               std::string(bad.description()));
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
        throw experiment_error(path + ": cannot be read");
    return parse_experiment(text.str(), path, large);
}

index zone_of(const experiment &settings, index server) {
    return server % (static_cast<index>(settings.fleet.zones.size()) - settings.fleet.proxy_only_zones);
}

index zone_of_proxy(const experiment &settings, index proxy) {
    return proxy % static_cast<index>(settings.fleet.zones.size());
}

index deduplication_group_of(const experiment &settings, index use_case, index server) {
    const auto group = settings.use_cases[use_case].routing.scope;
    return group == deduplication_scope::all    ? 0
           : group == deduplication_scope::zone ? zone_of(settings, server)
                                                : server;
}

router_settings router_settings_for(const experiment &settings, index proxy) {
    router_settings made;
    for (const auto &each : settings.use_cases)
        made.request_classes.push_back(each.routing);
    for (const auto &each : settings.tenants)
        made.tenant_quotas.push_back(each.quota_rps);
    made.over_quota_weight_share = settings.proxies.over_quota_weight_share;
    made.local_zone = zone_of_proxy(settings, proxy);
    made.proxy_count = settings.proxies.count;
    made.proxy_index = proxy;
    made.handshake_cost = settings.costs.handshake;
    made.origin_fetch_cost = settings.costs.origin;
    made.upstream_idle_timeout = settings.fleet.idle_timeout;
    made.slow_start = settings.warm_up.routing;
    made.origin_kind = settings.fleet.cache_aside ? 1 : none;
    made.constraints.may_cancel = settings.proxies.may_cancel;
    made.constraints.may_check_health = settings.proxies.may_check_health;
    made.constraints.watch_required = true;
    // As the program has it where the list is told by itself (proxy/settings.cpp).
    const bool patient = settings.list.form == list_service_kind::central && !settings.proxies.shared_list;
    made.constraints.max_poll_interval = patient ? list_response_timeout(settings.list) : ask_in;
    made.constraints.max_attempts = settings.proxies.max_attempts;
    made.constraints.max_retry_after = settings.proxies.max_retry_after;
    return made;
}

} // namespace harrierpass::testbed
