// SPDX-License-Identifier: Apache-2.0
#include "lab/processes/fleet_ports.hpp"

#include "router/router.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>

namespace harrierpass::lab {
namespace {

constexpr double tidy_period = 0.5;   // s between looks for idle connections
constexpr std::size_t plug_count = 4; // connections that fill a backlog of nothing
constexpr double most_watch = 60;     // s that a watch may wait

std::string text_answer(int status, std::string_view fields, std::string_view body) {
    std::string made = "HTTP/1.1 " + std::to_string(status);
    made.append(status == 200 ? " OK\r\n" : " No\r\n").append(fields);
    return made.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n\r\n")
        .append(body);
}

// The number behind a name in a target such as "/catalog/members?since=41&timeout_ms=20000".
long number_in(std::string_view target, std::string_view name) {
    const auto at = target.find(name);
    long value = -1;
    if (at != std::string_view::npos)
        std::from_chars(target.data() + at + name.size(), target.data() + target.size(), value);
    return value;
}

tcp_socket must_listen(int port) {
    const auto where = parse_address("127.0.0.1:" + std::to_string(port));
    tcp_socket made = listen_on(*where);
    if (!made)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen on 127.0.0.1:" + std::to_string(port));
    return made;
}

} // namespace

// ---- A server

server_port::server_port(loop &in, stage &of, index number, int port)
    : loop_(in), stage_(of), number_(number) {
    listening_ = must_listen(port);
    at_ = local_address(listening_);
    listening_.close();
    if (number_ < stage_.servers.size()) {
        life_ = stage_.servers.at(number_).life();
        stage_.servers.at(number_).on_change = [this] { follow(); };
    }
    follow();
    loop_.clock.after(tidy_period, [this, here = std::weak_ptr(here_)] {
        if (!here.expired())
            tidy();
    });
}

server_port::~server_port() {
    if (listening_)
        loop_.forget(listening_.get());
    if (number_ < stage_.servers.size())
        stage_.servers.at(number_).on_change = {};
}

void server_port::listen() {
    listening_ = listen_on(at_);
    if (!listening_)
        throw std::system_error(errno, std::generic_category(),
                                "cannot listen on " + to_text(at_) + " again");
    loop_.watch(listening_.get(), EPOLLIN, [this](std::uint32_t) { accept(); });
}

void server_port::follow() {
    const bool is_server = number_ < stage_.servers.size();
    const bool up = !is_server || stage_.servers.at(number_).up();
    const bool silent = is_server && stage_.servers.at(number_).silent();
    if (is_server && (life_ != stage_.servers.at(number_).life() || !up) && !silent) {
        life_ = stage_.servers.at(number_).life();
        const auto all = std::move(open_);
        open_.clear();
        for (const auto &[tag, each] : all) {
            over(tag);
            each->end(true);
        }
    }
    if (!up && !silent && listening_) {
        plug(false);
        loop_.forget(listening_.get());
        listening_.close();
    }
    if (up && !listening_)
        listen();
    if (listening_)
        plug(silent);
    std::vector<std::shared_ptr<channel>> all; // one that was closed meanwhile leaves open_
    for (const auto &[tag, each] : open_)
        all.push_back(each);
    for (const auto &each : all)
        each->stand(silent);
}

// A machine that is gone accepts nothing and refuses nothing: with its backlog full, the system here drops
// what would connect.
void server_port::plug(bool begins) {
    if (begins == !plugs_.empty())
        return;
    if (!begins) {
        plugs_.clear();
        ::listen(listening_.get(), 128);
        return;
    }
    loop_.change(listening_.get(), 0);
    ::listen(listening_.get(), 0);
    for (std::size_t i = 0; i < plug_count; ++i)
        plugs_.push_back(dial_soon(at_));
}

void server_port::accept() {
    if (!plugs_.empty())
        return;
    loop_.change(listening_.get(), EPOLLIN);
    address peer;
    for (tcp_socket one; (one = accept_on(listening_, peer));) {
        const auto made = std::make_shared<channel>(loop_, std::move(one), http_reader::side::request);
        made->tag = next_++;
        made->used = loop_.clock.now();
        made->on_message = [this](const auto &on, const http_reader &asked) { message(on, asked); };
        made->on_end = [this](const auto &on, channel::ending) {
            over(on->tag);
            open_.erase(on->tag);
        };
        made->on_gone = [this](const auto &on) { over(on->tag); };
        open_[made->tag] = made;
        made->start(false);
    }
}

void server_port::over(std::uint64_t tag) {
    if (const auto found = in_hand_.find(tag); found != in_hand_.end()) {
        stage_.judge.over(found->second.op, found->second.attempt, number_);
        in_hand_.erase(found);
    }
}

void server_port::message(const std::shared_ptr<channel> &on, const http_reader &asked) {
    const auto &head = asked.head();
    on->used = loop_.clock.now();
    if (head.target == "/ping") {
        if (number_ < stage_.servers.size() && !stage_.servers.at(number_).answers_probes())
            return;
        return on->send(text_answer(200, {}, {}));
    }
    const std::string_view path = head.target.substr(1, head.target.find('?') - 1);
    std::string_view name = head.value("X-Class");
    if (name.empty())
        name = path.substr(0, path.find('/'));
    const auto &uses = stage_.given.use_cases;
    const auto use =
        std::find_if(uses.begin(), uses.end(), [&](const use_case_spec &each) { return each.name == name; });
    const std::string id(head.value("X-Request-Id"));
    if (id.empty() || use == uses.end())
        return on->send(text_answer(id.empty() ? 404 : 400, {}, {}));
    const auto slash = path.rfind('/');
    const std::string key(slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1));
    job what;
    std::tie(what.op, what.attempt) = from_id(id);
    what.use_case = static_cast<index>(use - uses.begin());
    what.write = head.method == "PUT";
    what.keyed = !key.empty();
    const auto [end, bad] = std::from_chars(key.data(), key.data() + key.size(), what.key);
    if (bad != std::errc{} || end != key.data() + key.size())
        what.key = ring_hash(key);
    stage_.judge.meet(what.op, what.attempt, what.use_case);
    stage_.judge.received(what.op, what.attempt, number_, loop_.clock.now());
    in_hand_[on->tag] = {what.op, what.attempt};
    const auto done = [this, here = std::weak_ptr(here_), weak = std::weak_ptr(on), key, id,
                       write = what.write](const result &with) {
        const auto still = weak.lock();
        if (!here.expired() && still && still->open())
            finish(still, write, key, id, with);
    };
    if (number_ < stage_.servers.size())
        stage_.servers.at(number_).receive(what, done);
    else
        stage_.servers.receive_at_origin(what, done);
}

void server_port::finish(const std::shared_ptr<channel> &on, bool write, std::string_view key,
                         std::string_view id, const result &with) {
    static constexpr std::array<std::string_view, 4> notes = {"", "X-Cache: hit\r\n", "X-Cache: miss\r\n",
                                                              "X-Cache: pending\r\n"};
    // Noise, a head with a length that is none, a length that never comes.
    static constexpr std::array<std::string_view, 3> noise = {
        "\x01\x02\x03 garble\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nxyz",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxyz"};
    on->used = loop_.clock.now();
    over(on->tag);
    const std::string_view note = notes[static_cast<std::size_t>(with.says)];
    switch (with.is) {
    case result::kind::completed:
        return on->send(text_answer(200, note,
                                    "{\"key\":\"" + std::string(key) + "\",\"query\":\"" + std::string(id) +
                                        "\",\"server\":\"" +
                                        (number_ < stage_.servers.size() ? server_id(number_) : "origin") +
                                        (write ? "\",\"written\":true}\n" : "\"}\n")));
    case result::kind::error:
        return on->send(text_answer(500, {}, {}));
    case result::kind::queue_full:
        return on->send(text_answer(503, "X-Not-Run: 1\r\n", {}));
    case result::kind::missed:
        return on->send(text_answer(404, note, {}));
    case result::kind::spoilt:
        return on->send(noise[spoilt_++ % noise.size()]);
    }
}

void server_port::tidy() {
    std::vector<std::shared_ptr<channel>> idle;
    const bool silent = number_ < stage_.servers.size() && stage_.servers.at(number_).silent();
    for (const auto &[tag, each] : open_)
        if (!silent && !in_hand_.contains(tag) && !each->heard() &&
            each->used + stage_.given.fleet.idle < loop_.clock.now())
            idle.push_back(each);
    for (const auto &each : idle) {
        each->end(false);
        open_.erase(each->tag);
    }
    loop_.clock.after(tidy_period, [this, here = std::weak_ptr(here_)] {
        if (!here.expired())
            tidy();
    });
}

// ---- Discovery

list_port::list_port(loop &in, stage &of, index proxy, int port, const std::vector<std::string> &hosts)
    : loop_(in), stage_(of), proxy_(proxy), hosts_(hosts), listening_(must_listen(port)),
      at_(local_address(listening_)), chance_(proxy + 17) {
    loop_.watch(listening_.get(), EPOLLIN, [this](std::uint32_t) { accept(); });
}

list_port::~list_port() {
    loop_.forget(listening_.get());
}

void list_port::accept() {
    address peer;
    for (tcp_socket one; (one = accept_on(listening_, peer));) {
        const auto made = std::make_shared<channel>(loop_, std::move(one), http_reader::side::request);
        made->tag = next_++;
        made->on_message = [this](const auto &on, const http_reader &asked) { message(on, asked); };
        made->on_end = [this](const auto &on, channel::ending) {
            watching_.erase(on->tag);
            open_.erase(on->tag);
        };
        open_[made->tag] = made;
        made->start(false);
    }
}

void list_port::message(const std::shared_ptr<channel> &on, const http_reader &asked) {
    const auto target = asked.head().target;
    if (!target.starts_with("/catalog/members"))
        return on->send(text_answer(404, {}, {}));
    if (!stage_.list.answers() || chance_.happens(stage_.given.list.lose))
        return; // silent, or lost on its way
    const long since = number_in(target, "since=");
    if (since < 0) {
        std::vector<membership::member> here;
        for (const auto &each : stage_.list.all())
            if (each.state != listing::gone)
                here.push_back(each);
        return tell(on, true, here);
    }
    const auto changed = stage_.list.since(static_cast<std::uint64_t>(since));
    if (!changed.empty())
        return tell(on, false, changed);
    const double wait =
        std::clamp(static_cast<double>(number_in(target, "timeout_ms=")) / 1000, 0.0, most_watch);
    const auto tag = on->tag;
    const auto count = on->messages;
    watching_[tag] = {on, static_cast<std::uint64_t>(since)};
    loop_.clock.after(wait, [this, here = std::weak_ptr(here_), tag, count] {
        if (here.expired())
            return;
        const auto found = watching_.find(tag);
        if (found == watching_.end() || found->second.on->messages != count || !stage_.list.answers())
            return;
        const auto to = found->second.on;
        watching_.erase(found);
        tell(to, false, {});
    });
}

void list_port::changed() {
    if (!stage_.list.answers())
        return;
    const auto all = std::move(watching_);
    watching_.clear();
    for (const auto &[tag, each] : all)
        tell(each.on, false, stage_.list.since(each.since));
}

std::string list_port::entry(const stage &of, const membership::member &each, const std::string &host) {
    static constexpr std::array<const char *, 3> phases = {"active", "leaving", "left"};
    const bool is_origin = each.server + 1 == of.list.all().size();
    nlohmann::json made = {{"id", is_origin ? "origin" : server_id(each.server)},
                           {"host_port", host},
                           {"locality", of.given.fleet.zones[zone_of(of.given, each.server)]},
                           {"flavor", is_origin ? "origin" : "cache"},
                           {"cell", each.server},
                           {"phase", phases[static_cast<std::size_t>(each.state)]},
                           {"size", 1.0},
                           {"up_since_ms", static_cast<std::uint64_t>(each.started * 1000)}};
    return made.dump();
}

void list_port::tell(const std::shared_ptr<channel> &to, bool whole,
                     const std::vector<membership::member> &members) {
    std::string text = "{\"revision\":" + std::to_string(stage_.list.revision()) +
                       ",\"complete\":" + (whole ? "true" : "false") + ",\"members\":[";
    for (const auto &each : members)
        text += (text.back() == '[' ? "" : ",") + entry(stage_, each, hosts_[each.server]);
    to->send(text_answer(200, {}, text + "]}"));
    if (whole)
        for (const auto &each : stage_.list.all())
            stage_.judge.told(proxy_, each.server, each.state);
    for (const auto &each : members)
        stage_.judge.told(proxy_, each.server, each.state);
}

// ---- All of it

fleet_ports::fleet_ports(loop &in, stage &of, const fleet_places &where) : stage_(of) {
    const index count = of.servers.size() + (of.given.fleet.aside ? 1 : 0);
    for (index i = 0; i < count; ++i) {
        servers_.push_back(std::make_unique<server_port>(
            in, of, i, where.first_server > 0 ? where.first_server + static_cast<int>(i) : 0));
        hosts_.push_back(servers_.back()->at());
    }
    hosts_.resize(of.servers.size() + 1);
    for (index i = 0; i < of.given.proxies.count; ++i)
        lists_.push_back(std::make_unique<list_port>(
            in, of, i, where.first_list > 0 ? where.first_list + static_cast<int>(i) : 0, hosts_));
    of.list.on_change = [this](const membership::member &) {
        for (const auto &each : lists_)
            each->changed();
    };
}

std::string fleet_ports::configuration(index proxy, const std::string &listen, std::uint32_t seed) const {
    static constexpr std::array<const char *, 3> effects = {"idempotent", "deduplicated", "at_most_once"};
    static constexpr std::array<const char *, 3> groups = {"all", "zone", "cell"};
    const auto &given = stage_.given;
    using nlohmann::json;
    json uses = json::array(), tenants = json::array();
    for (const auto &each : given.use_cases)
        uses.push_back({{"name", each.name},
                        {"effect", effects[static_cast<std::size_t>(each.decides.effect)]},
                        {"group", groups[static_cast<std::size_t>(each.decides.group)]},
                        {"windowMs", each.decides.window * 1000},
                        {"sloTimeMs", each.decides.slo_time * 1000},
                        {"statementTimeoutMs", each.statement_timeout * 1000},
                        {"importance", each.decides.importance},
                        {"tardyImportance", each.decides.tardy}});
    for (const auto &each : given.tenants)
        tenants.push_back({{"name", each.name}, {"quotaRps", each.quota_rps}});
    std::ostringstream hexadecimal;
    hexadecimal << std::hex << seed;
    json made = {
        {"name", "p" + std::to_string(proxy)},
        {"listen", listen},
        {"discovery", list_at(proxy)},
        {"seed", hexadecimal.str()},
        {"limits",
         {{"cores", 1.0}, {"memory_mb", given.proxies.memory_mb}, {"sockets", given.proxies.sockets}}},
        {"settings",
         {{"peersTotal", given.proxies.count},
          {"me", proxy},
          {"tickMs", 5},
          {"locality", zone_of(given, proxy)},
          {"zones", given.fleet.zones},
          {"shapes", {"cache", "origin"}},
          {"weights", "nominal"},
          {"limits",
           {{"cancel", given.proxies.cancel},
            {"probes", given.proxies.probes},
            {"retryAfter", given.proxies.advice > 0},
            {"maxRetryAfterMs", given.proxies.advice * 1000},
            {"maxExecutions", given.proxies.max_executions},
            {"secondCopies", false},
            {"dialTimeoutMs", given.network.dial_limit * 1000},
            {"connIdleMs", given.fleet.idle * 1000}}},
          {"rules",
           {{"startCapacity", given.cold.decides.start_capacity},
            {"coldMs", given.cold.decides.warm_time * 1000},
            {"drainGraceMs", given.list.drain_grace * 1000},
            {"mustAskInMs", 10000}}},
          {"fees", {{"crossZone", 0.0}, {"origin", 0.0}}},
          {"excessImportance", given.proxies.excess_importance},
          {"tenants", tenants},
          {"useCases", uses}}}};
    if (given.fleet.aside)
        made["settings"]["familyInfo"] = {{"mode", "aside"}, {"originKind", 1}};
    return made.dump(2) + "\n";
}

} // namespace harrierpass::lab
