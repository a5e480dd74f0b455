// SPDX-License-Identifier: Apache-2.0
// The hosted service's tenants: the model and its transactions, limits under a flood, the store under kills
// and damage, and the administration API against a plain model of it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "admin/api.hpp"
#include "admin/secrets.hpp"
#include "hosted/admin_port.hpp"
#include "net/http.hpp"
#include "tenants/limits.hpp"
#include "tenants/text.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <dlfcn.h>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <pthread.h>
#include <queue>
#include <random>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace harrierpass {
using nlohmann::json;
using tenants::change;
using tenants::set_ptr;
using tenants::tenant;

tenant made(const std::string &name, const std::string &host = "", const std::string &prefix = "/",
            const std::string &pool = "main") {
    tenant of;
    of.name = name;
    of.is = tenants::state::active;
    of.use_cases.push_back({"lookup", {effect_kind::idempotent, deduplication_scope::all, 0, 0.2, 1, 0}, 1});
    of.routes.push_back({host.empty() ? name + ".example.org" : host, prefix, pool, "lookup"});
    return of;
}

set_ptr after(const set_ptr &from, std::vector<change> steps) {
    const auto next = tenants::apply(from, steps);
    if (const auto *const bad = std::get_if<tenants::refusal>(&next))
        for (const auto &each : bad->faults)
            FAIL(each.at, " ", each.why);
    return std::get<set_ptr>(next);
}

std::string refused(const set_ptr &from, std::vector<change> steps) {
    const auto next = tenants::apply(from, steps);
    const auto *const bad = std::get_if<tenants::refusal>(&next);
    return bad == nullptr ? "taken" : bad->faults[0].at + " " + bad->faults[0].why;
}

const set_ptr nobody = std::make_shared<tenants::tenant_set>();
using kind = change::kind;

TEST_CASE("routes: the longest prefix of whole segments, and one version for as long as it is held") {
    auto set = after(nobody, {{kind::create, made("a", "x.org", "/"), {}},
                              {kind::create, made("b", "x.org", "/carts"), {}},
                              {kind::create, made("c", "x.org", "/carts/old"), {}}});
    const auto whose = [&](const char *host, const char *path) {
        const auto found = set->find(host, path);
        return found.of ? found.of->name : "nobody";
    };
    CHECK(whose("x.org", "/") == "a");
    CHECK(whose("X.ORG:8443", "/carts") == "b");
    CHECK(whose("x.org", "/carts/7?old") == "b");
    CHECK(whose("x.org", "/cartsies") == "a");
    CHECK(whose("x.org", "/carts/old/7") == "c");
    CHECK(whose("x.org", "/carts/older") == "b");
    CHECK(whose("y.org", "/") == "nobody");
    // Two exchange their places at once; who holds the version before sees that.
    const auto before = set;
    set = after(set, {{kind::replace, made("a", "x.org", "/carts"), {}},
                      {kind::replace, made("b", "x.org", "/"), {}}});
    CHECK(whose("x.org", "/carts") == "a");
    CHECK(before->find("x.org", "/carts").of->name == "b");
    // Made again under its name while its queries are open: another one.
    set = after(set, {{kind::remove, made("a"), {}}});
    CHECK(set->find("x.org", "/carts/1").of->is == tenants::state::draining);
    CHECK(refused(set, {{kind::create, made("a"), {}}}) == "/0/name is a tenant's that still drains");
    const auto old = set->find("a")->incarnation;
    set = after(set, {{kind::purge, made("a"), {}}});
    CHECK(whose("x.org", "/carts/1") == "b");
    set = after(set, {{kind::create, made("a", "x.org", "/carts"), {}}});
    CHECK(set->find("a")->incarnation > old);
    CHECK(before->size() == 3);
}

TEST_CASE("a transaction is whole, or refused with the place of each fault") {
    const auto set = after(nobody, {{kind::create, made("a"), {}}, {kind::create, made("b"), {}}});
    const auto bad = [&](auto edit) {
        tenant one = made("c");
        edit(one);
        return refused(set, {{kind::put, made("d"), {}}, {kind::create, one, {}}});
    };
    CHECK(bad([](tenant &) {}) == "taken");
    CHECK(bad([](tenant &of) { of.name = "-c"; }).starts_with("/1/name is not 1 to 63"));
    CHECK(bad([](tenant &of) { of.name = "a"; }) == "/1/name is a tenant's already");
    CHECK(bad([](tenant &of) { of.name = "d"; }) == "/1/name stands in two steps of one transaction");
    CHECK(bad([](tenant &of) { of.routes[0].host = "a.example.org"; }) ==
          "/1/routes/0 leads from where tenant a is reached already");
    CHECK(bad([](tenant &of) { of.routes.push_back(of.routes[0]); }) ==
          "/1/routes/1 leads from the same host and prefix as another");
    for (const char *prefix : {"", "a", "/a/", "//", "/a//b", "/a/..", "/%41", "/a b"})
        CHECK(bad([&](tenant &of) {
                  of.routes[0].prefix = prefix;
              }).starts_with("/1/routes/0/prefix is no path"));
    for (const char *host : {"", ".", "a.", "A.org", "a_b.org", "-a.org"})
        CHECK(bad([&](tenant &of) { of.routes[0].host = host; }).starts_with("/1/routes/0/host is no host"));
    CHECK(bad([](tenant &of) {
              of.routes[0].use_case = "none";
          }).starts_with("/1/routes/0/use_case names none"));
    CHECK(bad([](tenant &of) { of.routes.clear(); }) == "/1/routes are needed by an active tenant");
    CHECK(bad([](tenant &of) { of.limits.weight = 0; }).starts_with("/1/limits/weight"));
    CHECK(bad([](tenant &of) { of.limits.rate = std::nan(""); }).starts_with("/1/limits/rate"));
    CHECK(bad([](tenant &of) { of.use_cases[0].decides.effect = effect_kind::deduplicated; }) ==
          "/1/use_cases/0/window is needed where repeats are dropped");
    CHECK(bad([](tenant &of) { of.is = tenants::state::draining; }) == "/1/state is reached by removal only");
    CHECK(set->size() == 2);
    CHECK(refused(set, {{kind::put, made("a"), 7}}) == "/0 has changed since its version 7");
    CHECK(refused(set, {{kind::replace, made("z"), {}}}) == "/0/name is no tenant's");
    CHECK(refused(set, {{kind::purge, made("a"), {}}}) == "/0 is not draining");
}

// Guards against a moment in which a tenant is routed nowhere, while its route moves between two pools.
TEST_CASE("readers find a route in every version while writers change it") {
    set_ptr set = after(nobody, {{kind::create, made("a", "x.org", "/", "one"), {}}});
    std::mutex lock;
    std::atomic<bool> over = false;
    std::atomic<std::uint64_t> looked = 0, lost = 0;
    std::vector<std::thread> readers;
    readers.reserve(3);
    for (int i = 0; i < 3; ++i)
        readers.emplace_back([&] {
            while (!over) {
                set_ptr mine;
                {
                    const std::lock_guard hold(lock);
                    mine = set;
                }
                const auto found = mine->find("x.org", "/7");
                lost += !found.of || (found.by->pool != "one" && found.by->pool != "two");
                ++looked;
            }
        });
    for (int i = 0; i < 2000 || looked < 1000; ++i) {
        auto next = after(set, {{kind::replace, made("a", "x.org", "/", i % 2 == 0 ? "two" : "one"), {}},
                                {kind::put, made("b" + std::to_string(i % 50)), {}}});
        const std::lock_guard hold(lock);
        set = std::move(next);
    }
    over = true;
    for (auto &each : readers)
        each.join();
    CHECK(lost == 0);
}

// Tenants that ask at their rates for a while, each query open for its time: what each was granted of it.
struct crowd {
    explicit crowd(double room, const std::vector<tenant> &all, index proxies = 1) : keeps(room, proxies) {
        std::vector<change> steps;
        steps.reserve(all.size());
        for (const auto &each : all)
            steps.push_back({kind::create, each, {}});
        set = after(nobody, steps);
        keeps.apply(*set, 0);
    }
    std::uint64_t of(const std::string &name) const { return set->find(name)->incarnation; }
    // asks a second, by name; the share that was taken.
    std::map<std::string, double> play(const std::map<std::string, double> &rates, double open,
                                       double length) {
        std::minstd_rand from(7);
        const auto part = [&] { return (static_cast<double>(from()) - 1) / 2147483646.0; };
        struct event {
            double at;
            bool ends;
            std::string who;
            bool operator<(const event &that) const { return at > that.at; }
        };
        std::priority_queue<event> due;
        std::map<std::string, double> asked, taken;
        for (const auto &[name, rate] : rates)
            due.push({now + part() / rate, false, name});
        const double end = now + length;
        while (!due.empty() && due.top().at < end) {
            const event each = due.top();
            due.pop();
            now = each.at;
            if (each.ends) {
                keeps.finish(of(each.who), open, now);
                continue;
            }
            ++asked[each.who];
            const auto got = keeps.admit(of(each.who), 0, now);
            if (got.by == tenants::limit::none) {
                ++taken[each.who];
                due.push({now + open * (0.5 + part()), true, each.who});
            }
            most = std::max(most, keeps.in_flight());
            due.push({now - std::log(1 - part()) / rates.at(each.who), false, each.who});
        }
        for (; !due.empty(); due.pop())
            if (due.top().ends)
                keeps.finish(of(due.top().who), open, end);
        now = end;
        for (auto &[name, count] : asked)
            count = taken[name] / count;
        return asked;
    }
    set_ptr set;
    tenants::limiter keeps;
    double now = 0;
    index most = 0;
};

TEST_CASE("one of twenty floods: the others keep what they had, and the room its bound") {
    std::vector<tenant> all;
    std::map<std::string, double> calm, flooded;
    for (int i = 0; i < 20; ++i) {
        all.push_back(made("t" + std::to_string(i)));
        calm["t" + std::to_string(i)] = 20;
    }
    crowd of(100, all); // 20 tenants, 20 a second, 0.1 s each: 40 in flight of 100
    flooded = calm;
    flooded["t0"] = 20 * 50;
    const auto before = of.play(calm, 0.1, 20), during = of.play(flooded, 0.1, 20);
    for (const auto &each : before) {
        const auto &name = each.first;
        const double share = each.second;
        CAPTURE(name);
        CHECK(share > 0.99);
        if (name != "t0")
            CHECK(during.at(name) > share - 0.01);
    }
    CHECK(during.at("t0") * 1000 > 100); // its own part, and what is idle
    CHECK(during.at("t0") * 1000 < 700);
    CHECK(of.most <= 125);
    const auto used = of.keeps.usage_of(of.of("t0"));
    CHECK(used.refused[static_cast<std::size_t>(tenants::limit::capacity)] > 1000);
    CHECK(used.in_flight == 0);
    CHECK(of.keeps.in_flight() == 0);
}

TEST_CASE("what is unused is shared by weight") {
    auto heavy = made("heavy"), light = made("light");
    heavy.limits.weight = 3;
    crowd of(40, {heavy, light});
    const auto both = of.play({{"heavy", 1000}, {"light", 1000}}, 0.1, 10);
    CHECK(both.at("heavy") / both.at("light") > 2.2);
    CHECK(both.at("heavy") / both.at("light") < 3.5);
    const auto alone = of.play({{"light", 1000}}, 0.1, 10);
    CHECK(alone.at("light") > 3 * both.at("light"));
}

TEST_CASE("a refusal says when to come back, and it is true") {
    auto one = made("one");
    one.limits.rate = 10;
    one.limits.burst = 5;
    one.limits.body = 100;
    crowd of(100, {one});
    const auto id = of.of("one");
    for (int i = 0; i < 5; ++i)
        CHECK(of.keeps.admit(id, 0, 1).by == tenants::limit::none);
    const auto late = of.keeps.admit(id, 0, 1);
    CHECK(late.by == tenants::limit::rate);
    CHECK(late.retry_after == doctest::Approx(0.1));
    CHECK(of.keeps.admit(id, 0, 1 + late.retry_after * 0.9).by == tenants::limit::rate);
    CHECK(of.keeps.admit(id, 0, 1 + late.retry_after * 1.01).by == tenants::limit::none);
    CHECK(of.keeps.admit(id, 101, 9).by == tenants::limit::body);
    CHECK(of.keeps.admit(id, 101, 9).retry_after == 0);
    CHECK(of.keeps.admit(99, 0, 9).by == tenants::limit::unknown);
    // A clock that jumps back gives nothing, and one that jumps ahead a bucket at most.
    for (int i = 0; i < 5; ++i)
        CHECK(of.keeps.admit(id, 0, 9).by == tenants::limit::none);
    CHECK(of.keeps.admit(id, 0, 3).by == tenants::limit::rate);
    CHECK(of.keeps.admit(id, 0, 3.2).by == tenants::limit::none);
    int taken = 0;
    for (int i = 0; i < 20; ++i)
        taken += of.keeps.admit(id, 0, 1e6).by == tenants::limit::none;
    CHECK(taken == 5);
    // Work is charged when it is known.
    auto busy = made("busy");
    busy.limits.work = 0.5;
    crowd other(100, {busy}, 2); // of two proxies: a quarter of a second's work in each second
    const auto its = other.of("busy");
    CHECK(other.keeps.admit(its, 0, 0).by == tenants::limit::none);
    other.keeps.finish(its, 1, 0);
    const auto debt = other.keeps.admit(its, 0, 0);
    CHECK(debt.by == tenants::limit::work);
    CHECK(debt.retry_after == doctest::Approx(3.01)); // (1 - 0.25) / 0.25, and a moment
    CHECK(other.keeps.admit(its, 0, debt.retry_after).by == tenants::limit::none);
}

TEST_CASE("limits over versions: drains, connections, and no trace of what is gone") {
    auto one = made("one");
    one.limits.connections = 2;
    one.limits.in_flight = 1;
    crowd of(10, {one});
    const auto id = of.of("one");
    CHECK(of.keeps.connect(id));
    CHECK(of.keeps.connect(id));
    CHECK_FALSE(of.keeps.connect(id));
    CHECK(of.keeps.admit(id, 0, 1).by == tenants::limit::none);
    CHECK(of.keeps.admit(id, 0, 1).by == tenants::limit::in_flight);
    of.set = after(of.set, {{kind::remove, one, {}}});
    of.keeps.apply(*of.set, 2);
    CHECK(of.keeps.admit(id, 0, 2).by == tenants::limit::state);
    CHECK_FALSE(of.keeps.is_idle(id));
    of.set = after(of.set, {{kind::purge, one, {}}});
    of.set = after(of.set, {{kind::create, one, {}}});
    of.keeps.apply(*of.set, 3); // its name is another one's now, and the old one's query is still open
    CHECK(of.keeps.admit(of.of("one"), 0, 3).by == tenants::limit::none);
    CHECK(of.keeps.usage_of(id).in_flight == 1);
    of.keeps.finish(id, 0.1, 4);
    of.keeps.disconnect(id);
    of.keeps.disconnect(id);
    of.keeps.finish(of.of("one"), 0.1, 4);
    of.keeps.apply(*of.set, 5);
    CHECK(of.keeps.account_count() == 1);
    CHECK(of.keeps.in_flight() == 0);
}

// ---- The store

struct folder {
    folder(const folder &) = delete;
    folder &operator=(const folder &) = delete;
    folder() {
        std::string name = (std::filesystem::temp_directory_path() / "hosted-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("no folder");
        at = name;
    }
    ~folder() {
        std::error_code ignored;
        std::filesystem::remove_all(at, ignored);
    }
    std::string db() const { return at + "/tenants.db"; }
    std::string at;
};

double clock_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

const std::string root_secret = "root-secret";
std::vector<admin::operator_account> operators() {
    using admin::role;
    return {{"root", admin::hash_of(root_secret), role::all, ""},
            {"eye", admin::hash_of("eye-secret"), role::read, ""},
            {"hers", admin::hash_of("hers-secret"), role::tenant, "t1"}};
}

// The API over a store of its own.
struct service {
    explicit service(const std::string &path) : keeps(path), all(keeps, clock_now), calls(all, operators()) {}
    admin::api_answer ask(const std::string &method, const std::string &target, const json &body = {},
                          admin::api_request more = {}) {
        more.method = method;
        more.target = target;
        if (!body.is_null())
            more.body = body.dump();
        if (more.token.empty())
            more.token = "root." + root_secret;
        return calls.answer(more);
    }
    store::tenant_store keeps;
    admin::registry all;
    admin::api calls;
};

json body_of(const std::string &name, int number = 0) {
    json made = json::parse(tenants::to_json(::harrierpass::made(name), false));
    made["limits"]["rate"] = number;
    return made;
}

TEST_CASE("the store: what was acknowledged is there, and a damaged file is told and served around") {
    const folder at;
    {
        service of(at.db());
        CHECK(of.ask("POST", "/v1/tenants", body_of("t1")).status == 201);
        CHECK(of.ask("POST", "/v1/tenants", body_of("t2")).status == 201);
        of.keeps.copy_to(at.at + "/copy.db");
    }
    {
        service of(at.db());
        CHECK(of.keeps.at_start().damage.empty());
        CHECK(of.all.now()->size() == 2);
        CHECK(of.all.now()->version() == 2);
        service copy(at.at + "/copy.db");
        CHECK(copy.all.now()->size() == 2);
    }
    // Guards against a file that was cut, or written over, behind our back.
    const auto size = std::filesystem::file_size(at.db());
    for (const bool cut : {true, false}) {
        const std::string path = at.at + (cut ? "/cut.db" : "/hit.db");
        std::filesystem::copy_file(at.db(), path);
        { const service good(path); }
        if (cut) {
            std::filesystem::resize_file(path, size / 2);
        } else {
            std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
            file.seekp(4096);
            file << std::string(12000, '\x5a');
        }
        service of(path);
        CAPTURE(path);
        CHECK(of.keeps.at_start().damage.starts_with(path + ": "));
        CHECK(of.all.now()->size() == 2); // the last good copy's
        const auto no = of.ask("POST", "/v1/tenants", body_of("t3"));
        CHECK(no.status == 503);
        CHECK(no.body.find(path) != std::string::npos);
        CHECK(of.all.now()->size() == 2);
    }
    std::ofstream(at.at + "/none.db") << std::string(5000, 'x');
    CHECK_THROWS_WITH_AS(store::tenant_store(at.at + "/none.db"),
                         doctest::Contains("none.db: file is not a database"), store::store_failure);
}

TEST_CASE("a disk that is full refuses changes, and the service goes on") {
    const folder at;
    service of(at.db());
    REQUIRE(of.ask("POST", "/v1/tenants", body_of("t1")).status == 201);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit little = before;
    little.rlim_cur = 4096; // no file grows beyond
    setrlimit(RLIMIT_FSIZE, &little);
    const auto no = of.ask("POST", "/v1/tenants", body_of("t2"));
    setrlimit(RLIMIT_FSIZE, &before);
    CHECK(no.status == 503);
    CHECK(of.all.now()->size() == 1);
    CHECK(of.ask("GET", "/v1/tenants/t1").status == 200);
    CHECK(of.ask("POST", "/v1/tenants", body_of("t2")).status == 201); // there is room again
    CHECK(of.all.now()->version() == 2);
}

// A child changes tenants and says what was acknowledged; it is killed at any instant, and what it said is
// there, and each transaction whole or not at all.
TEST_CASE("killed at random instants") {
    const folder at;
    std::minstd_rand from(11);
    std::uint64_t acknowledged = 0, version = 0;
    for (int round = 0; round < 50; ++round) {
        int ends[2];
        REQUIRE(::pipe(ends) == 0);
        const pid_t child = ::fork();
        if (child == 0) {
            ::close(ends[0]);
            service of(at.db());
            for (std::uint64_t i = 1;; ++i) { // two tenants change together, always to the same number
                const auto number = of.all.now()->version() + 1;
                json steps = json::array();
                for (const char *name : {"left", "right"})
                    steps.push_back(
                        {{"do", "put"}, {"tenant", body_of(name, static_cast<int>(number % 1000000))}});
                if (of.ask("POST", "/v1/transactions", {{"steps", steps}}).status == 200 &&
                    ::write(ends[1], &number, sizeof number) != sizeof number)
                    ::_exit(1);
            }
        }
        ::close(ends[1]);
        std::uint64_t said = 0, last = 0;
        const auto hear = [&] {
            if (::read(ends[0], &said, sizeof said) != sizeof said)
                return false;
            CHECK(said > last);
            last = said;
            ++acknowledged;
            return true;
        };
        for (auto wanted = from() % 5; wanted > 0 && hear(); --wanted) {
        }
        // The instant itself is what is tried: anywhere in the next change, or in the start.
        std::this_thread::sleep_for(std::chrono::microseconds(from() % 8000));
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        while (hear()) {
        }
        ::close(ends[0]);
        service of(at.db());
        CHECK(of.keeps.at_start().damage.empty());
        const auto now = of.all.now();
        CHECK(now->version() >= std::max(last, version));
        CHECK(now->version() <= std::max(last, version) + 1); // one that was made and not yet told
        version = now->version();
        if (version > 0) {
            REQUIRE(now->size() == 2);
            CHECK(now->find("left")->limits.rate == now->find("right")->limits.rate);
            CHECK(now->find("left")->limits.rate == version);
            CHECK(of.keeps.audit(0, 1000000).size() == 2 * version);
        }
    }
    CHECK(acknowledged > 50);
}

// ---- The API

TEST_CASE("no key, no entry; and each role its own") {
    const folder at;
    service of(at.db());
    REQUIRE(of.ask("POST", "/v1/tenants", body_of("t1")).status == 201);
    REQUIRE(of.ask("POST", "/v1/tenants", body_of("t2")).status == 201);
    const auto by = [&](const std::string &token, const std::string &method, const std::string &target,
                        const json &body = {}) {
        admin::api_request more;
        more.token = token;
        return of.ask(method, target, body, more).status;
    };
    for (const char *token :
         {"-", "root", "root.", "root.x", ".root-secret", "nobody.root-secret", "eye.root-secret"})
        CHECK(by(token, "GET", "/v1/version") == 401);
    const std::string eye = "eye.eye-secret", hers = "hers.hers-secret";
    CHECK(by(eye, "GET", "/v1/tenants") == 200);
    CHECK(by(eye, "GET", "/v1/audit") == 200);
    CHECK(by(eye, "GET", "/v1/export") == 403);
    CHECK(by(eye, "PUT", "/v1/tenants/t1", body_of("t1")) == 403);
    CHECK(by(eye, "POST", "/v1/tenants/t1/keys") == 403);
    CHECK(by(hers, "GET", "/v1/tenants/t1") == 200);
    CHECK(by(hers, "GET", "/v1/tenants/t2") == 403);
    CHECK(by(hers, "GET", "/v1/tenants") == 403);
    CHECK(by(hers, "PUT", "/v1/tenants/t1", body_of("t1", 5)) == 200);
    CHECK(by(hers, "PATCH", "/v1/tenants/t2", {{"state", "staged"}}) == 403);
    CHECK(by(hers, "DELETE", "/v1/tenants/t1") == 403);
    CHECK(by(hers, "POST", "/v1/transactions", {{"steps", json::array()}}) == 403);
    CHECK(by(hers, "POST", "/v1/tenants/t1/keys") == 201);
    for (const auto &each : admin::api::operations()) { // none is open to nobody
        std::string path = each.path;
        CHECK(by("-", each.method, path) == 401);
    }
}

TEST_CASE("writers at once, dry runs, repeats, pages, and secrets that are shown once") {
    const folder at;
    service of(at.db());
    admin::api_request with;
    with.idempotency_key = "k1";
    const auto first = of.ask("POST", "/v1/tenants", body_of("t1"), with);
    CHECK(first.status == 201);
    CHECK(first.location == "/v1/tenants/t1");
    const auto again = of.ask("POST", "/v1/tenants", body_of("t1"), with);
    CHECK(again.status == 201);
    CHECK(again.why == "repeated");
    CHECK(of.all.now()->version() == 1);
    CHECK(of.ask("POST", "/v1/tenants", body_of("t9"), with).status == 422);
    CHECK(of.ask("POST", "/v1/tenants", body_of("t1")).status == 409);

    const auto seen = of.ask("GET", "/v1/tenants/t1");
    admin::api_request match;
    match.if_match = seen.etag;
    CHECK(of.ask("PATCH", "/v1/tenants/t1", {{"limits", {{"rate", 7}}}}, match).status == 200);
    const auto lost = of.ask("PATCH", "/v1/tenants/t1", {{"limits", {{"rate", 8}}}}, match);
    CHECK(lost.status == 412);
    CHECK(lost.type == "application/problem+json");
    CHECK(json::parse(lost.body)["errors"][0]["detail"] == "has changed since its version 1");
    CHECK(of.all.now()->find("t1")->limits.rate == 7);
    match.if_match = "W/x";
    CHECK(of.ask("DELETE", "/v1/tenants/t1", {}, match).status == 412);

    const auto version = of.all.now()->version();
    const auto dry = of.ask("PUT", "/v1/tenants/t2?dry_run=true", body_of("t2"));
    CHECK(dry.status == 201);
    CHECK(json::parse(dry.body)["tenant"]["name"] == "t2");
    CHECK(of.all.now()->version() == version);
    CHECK(of.ask("GET", "/v1/tenants/t2").status == 404);
    CHECK(of.ask("PUT", "/v1/tenants/t2?dry_run=yes", body_of("t2")).status == 400);

    const auto key = json::parse(of.ask("POST", "/v1/tenants/t1/keys", {{"note", "front desk"}}).body)["key"];
    const std::string secret = key["secret"], id = key["id"];
    CHECK(admin::fits(secret, of.all.now()->of_key(id)->keys[0].hash));
    CHECK(of.all.now()->of_key(id)->name == "t1");
    for (const char *place : {"/v1/tenants/t1", "/v1/tenants", "/v1/audit"}) { // nor is its hash told
        const auto told = of.ask("GET", place).body;
        CHECK(told.find(secret) == std::string::npos);
        CHECK(told.find(admin::hash_of(secret)) == std::string::npos);
    }
    // What was read can be sent back; a list of keys that is another one cannot.
    auto whole = json::parse(of.ask("GET", "/v1/tenants/t1").body);
    CHECK(of.ask("PUT", "/v1/tenants/t1", whole).status == 200);
    CHECK(of.all.now()->of_key(id) != nullptr);
    whole["keys"] = json::array();
    CHECK(of.ask("PUT", "/v1/tenants/t1", whole).status == 422);
    CHECK(of.ask("PATCH", "/v1/tenants/t1", {{"keys", json::array()}}).status == 422);
    CHECK(of.ask("DELETE", "/v1/tenants/t1/keys/" + id).status == 200);
    CHECK(of.ask("DELETE", "/v1/tenants/t1/keys/" + id).status == 404);
    CHECK(of.all.now()->of_key(id) == nullptr);

    for (int i = 10; i < 35; ++i)
        REQUIRE(of.ask("PUT", "/v1/tenants/t" + std::to_string(i), body_of("t" + std::to_string(i))).status ==
                201);
    std::vector<std::string> names;
    for (std::string next = "/v1/tenants?limit=10"; !next.empty();) {
        const auto page = json::parse(of.ask("GET", next).body);
        for (const auto &each : page["items"])
            names.push_back(each["name"]);
        next = page.value("next", "");
    }
    CHECK(names.size() == 26);
    CHECK(std::is_sorted(names.begin(), names.end()));
    CHECK(of.ask("GET", "/v1/tenants?limit=0").status == 400);
    CHECK(of.ask("GET", "/v1/tenants?limit=1001").status == 400);
    CHECK(of.ask("POST", "/v1/version").status == 405);
    CHECK(of.ask("GET", "/v2/version").status == 404);

    // All or none, and the whole set out and in again.
    const auto before = of.all.now()->version();
    const auto no = of.ask(
        "POST", "/v1/transactions",
        {{"steps", {{{"do", "remove"}, {"name", "t10"}}, {{"do", "create"}, {"tenant", body_of("t11")}}}}});
    CHECK(no.status == 409);
    CHECK(json::parse(no.body)["errors"][0]["pointer"] == "#/1/name");
    CHECK(of.all.now()->version() == before);
    const auto out = json::parse(of.ask("GET", "/v1/export").body);
    const folder other_at;
    service other(other_at.db());
    CHECK(other.ask("POST", "/v1/import", out).status == 200);
    CHECK(json::parse(other.ask("GET", "/v1/export").body)["tenants"] == out["tenants"]);
    CHECK(other.ask("POST", "/v1/import", {{"format", 1}, {"tenants", json::array()}}).status == 200);
    CHECK(other.all.purge([](std::uint64_t) { return true; }) == 26);
    CHECK(other.all.now()->size() == 0);
}

TEST_CASE("bodies that are no good are refused with their place, and nothing has changed") {
    const folder at;
    service of(at.db());
    const auto first = [&](const std::string &text) {
        admin::api_request with;
        with.body = text;
        const auto said = of.ask("POST", "/v1/tenants", {}, with);
        CHECK(said.status == 422);
        const auto told = json::parse(said.body);
        return told["errors"][0]["pointer"].get<std::string>() + " " +
               told["errors"][0]["detail"].get<std::string>();
    };
    const std::string good = body_of("t1").dump();
    CHECK(first("").starts_with("# is no JSON"));
    CHECK(first("{").starts_with("# is no JSON"));
    CHECK(first("[]") == "# is no object");
    CHECK(first(std::string(100, '[') + std::string(100, ']')) == "# is nested too deep");
    CHECK(first("{\"name\":\"t1\",\"name\":\"t2\"}") == "#/name stands twice in one object");
    CHECK(first("{\"nome\":\"t1\"}") == "#/nome is not known");
    CHECK(first("{\"name\":7}") == "#/name is no text");
    CHECK(first("{\"name\":\"t1\",\"limits\":{\"rate\":\"7\"}}") == "#/limits/rate is no number");
    CHECK(first("{\"name\":\"t1\",\"limits\":{\"in_flight\":-1}}")
              .starts_with("#/limits/in_flight is no whole number"));
    CHECK(first("{\"name\":\"t1\",\"state\":\"gone\"}") == "#/state is none of staged, active, draining");
    CHECK(first("{\"name\":\"t1\",\"routes\":[{\"host\":\"a.org\",\"path\":\"/\"}]}") ==
          "#/routes/0/path is not known");
    CHECK(first("{\"name\":\"\xff\"}").starts_with("# is no JSON"));
    for (const auto &each :
         admin::api::operations()) { // values that nest without end, in a thread with a small stack
        admin::api_request with;
        with.body = "{\"tenants\":" + std::string(300000, '[') + std::string(300000, ']') + "}";
        CHECK(of.ask(each.method, each.path, {}, with).status >= 400);
    }
    std::minstd_rand from(5);
    for (int i = 0; i < 3000; ++i) { // damaged ones: an answer each, and no version
        std::string text = good;
        for (int hits = i % 4; hits >= 0; --hits)
            text[from() % text.size()] = static_cast<char>(from());
        admin::api_request with;
        with.body = text;
        const auto said = of.ask("POST", "/v1/tenants?dry_run=true", {}, with);
        CHECK((said.status == 201 || said.status == 422));
        CHECK_FALSE(json::parse(said.body, nullptr, false).is_discarded());
    }
    CHECK(of.all.now()->version() == 0);
}

TEST_CASE("two operators write at once: one of them is told") {
    const folder at;
    service of(at.db());
    REQUIRE(of.ask("POST", "/v1/tenants", body_of("t1")).status == 201);
    std::atomic<int> won = 0, told = 0, other = 0;
    for (int round = 0; round < 20; ++round) {
        const std::string etag = of.ask("GET", "/v1/tenants/t1").etag;
        const auto write = [&](int number) {
            admin::api_request with;
            with.if_match = etag;
            const int status =
                of.ask("PATCH", "/v1/tenants/t1", {{"limits", {{"rate", number}}}}, with).status;
            ++(status == 200 ? won : status == 412 ? told : other);
        };
        std::thread one(write, round), two(write, round + 100);
        one.join();
        two.join();
    }
    CHECK(won == 20);
    CHECK(told == 20);
    CHECK(other == 0);
}

// Random calls against a plain map of what should be there, with restarts.
TEST_CASE("random calls against a model") {
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        std::minstd_rand from(seed);
        const folder at;
        auto of = std::make_unique<service>(at.db());
        struct entry {
            int rate;
            bool drains;
        };
        std::map<std::string, entry> model;
        for (int step = 0; step < 700; ++step) {
            const std::string name = "t" + std::to_string(from() % 12);
            const int rate = static_cast<int>(from() % 1000);
            const auto known = model.find(name);
            const bool there = known != model.end(), drains = there && known->second.drains;
            const std::string at_it = "/v1/tenants/" + name;
            switch (from() % 9) {
            case 0:
                CHECK(of->ask("POST", "/v1/tenants", body_of(name, rate)).status == (there ? 409 : 201));
                if (!there)
                    model[name] = {rate, false};
                break;
            case 1:
            case 2:
                CHECK(of->ask("PUT", at_it, body_of(name, rate)).status == (drains  ? 422
                                                                            : there ? 200
                                                                                    : 201));
                if (!drains)
                    model[name] = {rate, false};
                break;
            case 3:
            case 4:
                CHECK(of->ask("PATCH", at_it, {{"limits", {{"rate", rate}}}}).status == (!there   ? 404
                                                                                         : drains ? 422
                                                                                                  : 200));
                if (there && !drains)
                    known->second.rate = rate;
                break;
            case 5:
                CHECK(of->ask("DELETE", at_it).status == (there ? 202 : 404));
                if (there)
                    known->second.drains = true;
                break;
            case 6: {
                const auto gone = static_cast<std::size_t>(std::count_if(
                    model.begin(), model.end(), [](const auto &each) { return each.second.drains; }));
                CHECK(of->all.purge([](std::uint64_t) { return true; }) == gone);
                std::erase_if(model, [](const auto &each) { return each.second.drains; });
                break;
            }
            case 7: { // one good step and one bad
                const json steps = {{{"do", "put"}, {"tenant", body_of("fresh", rate)}},
                                    {{"do", "replace"}, {"tenant", body_of("nobody", rate)}}};
                CHECK(of->ask("POST", "/v1/transactions", {{"steps", steps}}).status == 404);
                break;
            }
            default:
                if (from() % 5 == 0) {
                    of.reset();
                    of = std::make_unique<service>(at.db());
                }
            }
            const auto set = of->all.now();
            REQUIRE(set->size() == model.size());
            for (const auto &[each, is] : model) {
                const auto one = set->find(each);
                REQUIRE(one);
                CHECK(one->limits.rate == is.rate);
                CHECK((one->is == tenants::state::draining) == is.drains);
                CHECK(set->find(each + ".example.org", "/").of == one);
            }
        }
        std::uint64_t last = 0;
        for (const auto &each : of->keeps.audit(0, 100000)) {
            CHECK(each.number == last + 1);
            last = each.number;
        }
        CHECK(last > 100);
    }
}

// ---- The listener

using X509_ptr = std::shared_ptr<X509>;
using key_ptr = std::shared_ptr<EVP_PKEY>;

// A certificate of its own making, or of another one's, on disk; `from` and `to`: s from now.
struct paper {
    paper(const std::string &folder_at, const std::string &name, long from, long to,
          const paper *by = nullptr)
        : certificate(folder_at + "/" + name + ".pem"), key(folder_at + "/" + name + ".key"),
          own_key(EVP_EC_gen("P-256"), EVP_PKEY_free), own(X509_new(), X509_free) {
        static long serial = 0;
        X509_set_version(own.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(own.get()), ++serial);
        X509_gmtime_adj(X509_getm_notBefore(own.get()), from);
        X509_gmtime_adj(X509_getm_notAfter(own.get()), to);
        X509_set_pubkey(own.get(), own_key.get());
        X509_NAME_add_entry_by_txt(X509_get_subject_name(own.get()), "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(own.get(), X509_get_subject_name((by != nullptr ? by->own : own).get()));
        if (by == nullptr) {
            X509V3_CTX with;
            X509V3_set_ctx(&with, own.get(), own.get(), nullptr, nullptr, 0);
            X509_EXTENSION *const is =
                X509V3_EXT_conf_nid(nullptr, &with, NID_basic_constraints, "critical,CA:TRUE");
            X509_add_ext(own.get(), is, -1);
            X509_EXTENSION_free(is);
        }
        X509_sign(own.get(), (by != nullptr ? by->own_key : own_key).get(), EVP_sha256());
        const std::unique_ptr<FILE, int (*)(FILE *)> one(std::fopen(certificate.c_str(), "w"), std::fclose),
            two(std::fopen(key.c_str(), "w"), std::fclose);
        PEM_write_X509(one.get(), own.get());
        PEM_write_PrivateKey(two.get(), own_key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    }
    std::string certificate, key;
    key_ptr own_key;
    X509_ptr own;
};

// A caller with TLS, or without, on blocking sockets.
struct caller {
    explicit caller(const address &to, bool secure = true, const paper *shows = nullptr,
                    int version = TLS1_3_VERSION)
        : socket(dial(to, 5)) {
        const timeval most{20, 0};
        setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
        if (!secure)
            return;
        std::signal(SIGPIPE, SIG_IGN); // OpenSSL writes to a connection that may be closed
        with.reset(SSL_CTX_new(TLS_client_method()), SSL_CTX_free);
        SSL_CTX_set_max_proto_version(with.get(), version);
        if (shows != nullptr) {
            SSL_CTX_use_certificate_file(with.get(), shows->certificate.c_str(), SSL_FILETYPE_PEM);
            SSL_CTX_use_PrivateKey_file(with.get(), shows->key.c_str(), SSL_FILETYPE_PEM);
        }
        tls.reset(SSL_new(with.get()), SSL_free);
        SSL_set_fd(tls.get(), socket.get());
        greeted = SSL_connect(tls.get()) == 1;
    }
    void send(const std::string &text) {
        if (tls)
            SSL_write(tls.get(), text.data(), static_cast<int>(text.size()));
        else
            write_all(socket, text, {}, 5);
    }
    std::string read() { // one answer, or what came before the end
        std::string got;
        for (std::array<char, 16384> part{};;) {
            if (const auto head = got.find("\r\n\r\n"); head != std::string::npos) {
                const auto length = got.find("Content-Length: ");
                if (length < head && got.size() >= head + 4 + std::stoul(got.substr(length + 16)))
                    return got;
            }
            const long size = tls ? SSL_read(tls.get(), part.data(), static_cast<int>(part.size()))
                                  : ::recv(socket.get(), part.data(), part.size(), 0);
            if (size <= 0)
                return got;
            got.append(part.data(), static_cast<std::size_t>(size));
        }
    }
    std::string status() { return read().substr(9, 3); }
    std::string ask(const std::string &method, const std::string &target, const std::string &token,
                    const std::string &body = "") {
        send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n" +
             (token.empty() ? "" : "Authorization: Bearer " + token + "\r\n") +
             "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return read();
    }
    std::string issuer() const { // of the certificate that the service shows
        const std::unique_ptr<X509, decltype(&X509_free)> theirs(SSL_get1_peer_certificate(tls.get()),
                                                                 X509_free);
        std::array<char, 100> text{};
        X509_NAME_get_text_by_NID(X509_get_subject_name(theirs.get()), NID_commonName, text.data(),
                                  text.size());
        return text.data();
    }
    tcp_socket socket;
    std::shared_ptr<SSL_CTX> with;
    std::shared_ptr<SSL> tls;
    bool greeted = false;
};

TEST_CASE("the listener: TLS 1.3 only, certificates that rotate, callers by certificate or token") {
    const folder at;
    service of(at.db());
    const paper root(at.at, "authority", -10, 1000), served(at.at, "served", -10, 1000, &root),
        eye(at.at, "eye", -10, 1000, &root), stranger(at.at, "root", -10, 1000),
        late(at.at, "late", -1000, -10, &root);
    std::ostringstream text;
    log lines(text, log_level::info);
    hosted::identity shown({served.certificate, served.key, ""});
    const auto any = *parse_address("127.0.0.1:0");
    {
        const hosted::admin_port port(of.calls, &shown, any, lines);
        caller one(port.at());
        REQUIRE(one.greeted);
        CHECK(one.issuer() == "served");
        CHECK(one.ask("GET", "/v1/version", "").substr(9, 3) == "401");
        CHECK(one.ask("GET", "/v1/version", "root.root-secret").substr(9, 3) == "200");
        CHECK(one.ask("PUT", "/v1/tenants/t1", "root.root-secret", body_of("t1").dump()).substr(9, 3) ==
              "201");
        CHECK_FALSE(caller(port.at(), true, nullptr, TLS1_2_VERSION).greeted);
        caller plain(port.at(), false);
        plain.send("GET /v1/version HTTP/1.1\r\n\r\n");
        CHECK(plain.read().find("HTTP/1.1 200") == std::string::npos);
        // Another certificate, under the connection that is open.
        const paper next(at.at, "served", -10, 1000);
        shown.reload();
        CHECK(one.ask("GET", "/v1/version", "root.root-secret").substr(9, 3) == "200");
        CHECK(caller(port.at()).greeted);
        // One that is no good leaves the one before in force.
        std::ofstream(served.certificate) << "no certificate";
        CHECK_THROWS_AS(shown.reload(), hosted::invalid_identity);
        CHECK(caller(port.at()).greeted);
    }
    CHECK(text.str().find("root-secret") == std::string::npos);
    CHECK(text.str().find("reason=no_greeting") != std::string::npos);
    CHECK_THROWS_WITH_AS(hosted::identity({late.certificate, late.key, ""}),
                         doctest::Contains("late.pem: its time is over"), hosted::invalid_identity);
    CHECK_THROWS_WITH_AS(hosted::identity({eye.certificate, late.key, ""}),
                         doctest::Contains("late.key: is no key of"), hosted::invalid_identity);
    CHECK_THROWS_WITH_AS(hosted::admin_port(of.calls, nullptr, *parse_address("0.0.0.0:0"), lines),
                         doctest::Contains("for loopback only"), hosted::invalid_identity);

    hosted::identity mutual({eye.certificate, eye.key, root.certificate});
    const hosted::admin_port port(of.calls, &mutual, any, lines);
    caller known(port.at(), true, &eye);
    CHECK(known.ask("GET", "/v1/tenants/t1", "").substr(9, 3) == "200");
    CHECK(known.ask("DELETE", "/v1/tenants/t1", "").substr(9, 3) == "403"); // it may only read
    CHECK(known.ask("DELETE", "/v1/tenants/t1", "root.root-secret").substr(9, 3) ==
          "403"); // a token adds nothing
    // Nobody stands for these; in TLS 1.3 a caller learns it with its first read.
    for (const paper *each : {&stranger, &late, static_cast<const paper *>(nullptr)}) {
        caller unknown(port.at(), true, each);
        CHECK(unknown.ask("GET", "/v1/version", "root.root-secret").empty());
    }
    CHECK(of.all.now()->find("t1")->is == tenants::state::active);
}

TEST_CASE("the listener: large, damaged, slow and many") {
    const folder at;
    service of(at.db());
    std::ostringstream text;
    log lines(text, log_level::info);
    hosted::admin_limits most;
    most.request = 0.3;
    most.idle = 0.5;
    most.connections = 4;
    most.body = 300000;
    const auto port =
        std::make_unique<hosted::admin_port>(of.calls, nullptr, *parse_address("127.0.0.1:0"), lines, most);
    const auto put = [&](std::size_t note) {
        auto body = body_of("t1");
        body["use_cases"][0]["name"] = std::string(note, 'a');
        return caller(port->at(), false)
            .ask("PUT", "/v1/tenants/t1", "root.root-secret", body.dump())
            .substr(9, 3);
    };
    CHECK(put(5) == "422"); // a route's use case has another name; it was read
    CHECK(put(200000) == "422");
    CHECK(put(400000) == "413");
    for (const char *bad :
         {"GET /v1/version HTTP/1.1\r\nA : b\r\n\r\n", "\x16\x03\x01 hello\r\n\r\n",
          "PUT /v1/tenants/t1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        caller one(port->at(), false);
        one.send(bad);
        CHECK(one.status() == "400");
    }
    caller twice(port->at(), false);
    twice.send("GET /v1/version HTTP/1.1\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n");
    CHECK(twice.status() == "400");
    caller slow(port->at(), false);
    slow.send("GET /v1/ver");
    CHECK(slow.status() == "408");
    caller silent(port->at(), false);
    CHECK(silent.read().empty()); // ended, in its time
    std::vector<std::unique_ptr<caller>> many;
    many.reserve(12);
    for (int i = 0; i < 12; ++i)
        many.push_back(std::make_unique<caller>(port->at(), false));
    for (auto &each : many) // all are served, four at a time
        each->send("GET /v1/version HTTP/1.1\r\nAuthorization: Bearer root.root-secret\r\nConnection: "
                   "close\r\n\r\n");
    for (auto &each : many)
        CHECK(each->status() == "200");
    const auto counted = port->event_counts();
    CHECK(counted.at("too_large") == 2); // the answer and the end
    CHECK(counted.at("malformed") == 6);
    CHECK(counted.at("too_slow") == 2);
    CHECK(counted.at("idle") == 1);
    CHECK(of.all.now()->version() == 0);
}

// ---- The listener without threads or memory. The calls of the system that fail are replaced in this
// program; they pass everything on unless a test has armed them.

// What is short while a test has armed it.
struct shortage_script {
    std::atomic<bool> no_threads = false;              // detached threads, as the listener starts them
    std::atomic<bool> no_memory_after_accept = false;  // on the thread that accepts
    std::atomic<bool> no_memory_after_receive = false; // on a detached thread that has received bytes
};

shortage_script &shortage() {
    static shortage_script instance;
    return instance;
}

// Arms one shortage for as long as it lives.
class scoped_shortage {
public:
    explicit scoped_shortage(std::atomic<bool> &armed) : armed_(armed) { armed_.store(true); }
    ~scoped_shortage() { armed_ = false; }
    scoped_shortage(const scoped_shortage &) = delete;
    scoped_shortage &operator=(const scoped_shortage &) = delete;

private:
    std::atomic<bool> &armed_;
};

thread_local bool allocations_fail = false;
thread_local bool is_detached_thread = false;

// What pthread_create() was given, for a thread that notes that it is detached.
struct thread_start {
    void *(*routine)(void *);
    void *argument;
};

void *run_detached(void *argument) {
    const std::unique_ptr<thread_start> start(static_cast<thread_start *>(argument));
    is_detached_thread = true;
    return start->routine(start->argument);
}

template <typename Function> Function next_symbol(const char *name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

} // namespace harrierpass

extern "C" {

int pthread_create(pthread_t *newthread, const pthread_attr_t *attr, void *(*start_routine)(void *),
                   void *arg) {
    using namespace harrierpass;
    using create = int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    static const auto real = next_symbol<create>("pthread_create");
    int detach_state = PTHREAD_CREATE_JOINABLE;
    if (attr != nullptr)
        pthread_attr_getdetachstate(attr, &detach_state);
    if (detach_state != PTHREAD_CREATE_DETACHED)
        return real(newthread, attr, start_routine, arg);
    if (shortage().no_threads)
        return EAGAIN;
    auto start = std::make_unique<thread_start>(thread_start{start_routine, arg});
    const int error = real(newthread, attr, run_detached, start.get());
    if (error == 0)
        static_cast<void>(start.release()); // run_detached() owns it
    return error;
}

int accept4(int fd, sockaddr *addr, socklen_t *addr_len, int flags) {
    using namespace harrierpass;
    static const auto real = next_symbol<int (*)(int, sockaddr *, socklen_t *, int)>("accept4");
    const int accepted = real(fd, addr, addr_len, flags);
    allocations_fail = accepted >= 0 && shortage().no_memory_after_accept;
    return accepted;
}

ssize_t recv(int fd, void *buf, size_t n, int flags) {
    using namespace harrierpass;
    static const auto real = next_symbol<ssize_t (*)(int, void *, size_t, int)>("recv");
    const ssize_t received = real(fd, buf, n, flags);
    if (is_detached_thread)
        allocations_fail = received > 0 && shortage().no_memory_after_receive;
    return received;
}
}

// Not inlined: the compiler would take each free() for a mismatch of the new expression that it can see.
[[gnu::noinline]] void *operator new(std::size_t size) {
    if (harrierpass::allocations_fail)
        throw std::bad_alloc();
    if (void *const memory = std::malloc(size)) // NOLINT(cppcoreguidelines-no-malloc): what new is made of
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept {
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept {
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

namespace harrierpass {

const std::string unavailable_response =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const std::string bad_gateway_response =
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const std::string version_request =
    "GET /v1/version HTTP/1.1\r\nAuthorization: Bearer root.root-secret\r\n\r\n";

// The answer to one request, without TLS.
std::string plain_answer(const address &to) {
    caller one(to, false);
    one.send(version_request);
    return one.read();
}

TEST_CASE("the listener: no thread for a connection is answered, and accepting goes on") {
    const folder at;
    service of(at.db());
    const paper root(at.at, "authority", -10, 1000), served(at.at, "served", -10, 1000, &root);
    std::ostringstream text;
    log lines(text, log_level::info);
    hosted::identity shown({served.certificate, served.key, ""});
    const auto any = *parse_address("127.0.0.1:0");
    for (const bool secure : {false, true}) {
        CAPTURE(secure);
        const hosted::admin_port port(of.calls, secure ? &shown : nullptr, any, lines);
        const auto answered = [&] {
            caller one(port.at(), secure);
            if (!secure)
                one.send(version_request);
            return one.read(); // with TLS the answer comes without a request
        };
        {
            const scoped_shortage armed(shortage().no_threads);
            for (int i = 0; i < 3; ++i)
                CHECK(answered() == unavailable_response);
        }
        CHECK(port.event_counts().at("no_thread") == 3);
        CHECK(caller(port.at(), secure).ask("GET", "/v1/version", "root.root-secret").substr(9, 3) == "200");
    }
    CHECK(text.str().find("side=admin peer=127.0.0.1:") != std::string::npos);
    CHECK(text.str().find("requests=0 reason=no_thread") != std::string::npos);
}

TEST_CASE("the listener: a connection that never speaks holds up accepting for a bounded time only") {
    const folder at;
    service of(at.db());
    const paper served(at.at, "served", -10, 1000);
    std::ostringstream text;
    log lines(text, log_level::info);
    hosted::identity shown({served.certificate, served.key, ""});
    const hosted::admin_port port(of.calls, &shown, *parse_address("127.0.0.1:0"), lines);
    const scoped_shortage armed(shortage().no_threads);
    std::vector<std::unique_ptr<caller>> silent;
    silent.reserve(3);
    for (int i = 0; i < 3; ++i)
        silent.push_back(std::make_unique<caller>(port.at(), false));
    const double began = steady_now();
    CHECK(caller(port.at()).read() == unavailable_response);
    CHECK(steady_now() - began < 5); // less than the handshake limit of one served connection
}

TEST_CASE("the listener: no memory for a connection is answered, and the program goes on") {
    const folder at;
    service of(at.db());
    const paper served(at.at, "served", -10, 1000);
    std::ostringstream text;
    log lines(text, log_level::info);
    hosted::identity shown({served.certificate, served.key, ""});
    const auto any = *parse_address("127.0.0.1:0");
    const hosted::admin_port plain(of.calls, nullptr, any, lines), secure(of.calls, &shown, any, lines);
    {
        const scoped_shortage armed(shortage().no_memory_after_accept);
        CHECK(plain_answer(plain.at()) == unavailable_response);
        CHECK(plain_answer(plain.at()) == unavailable_response);
        CHECK(caller(secure.at()).read() == unavailable_response);
    }
    CHECK(plain_answer(plain.at()).substr(9, 3) == "200");
    CHECK(caller(secure.at()).ask("GET", "/v1/version", "root.root-secret").substr(9, 3) == "200");
    {
        const scoped_shortage armed(shortage().no_memory_after_receive);
        CHECK(plain_answer(plain.at()) == unavailable_response);
    }
    CHECK(plain_answer(plain.at()).substr(9, 3) == "200");
}

TEST_CASE("the listener: memory that ends during a change is answered as possibly executed") {
    const folder at;
    service of(at.db());
    const paper served(at.at, "served", -10, 1000);
    std::ostringstream text;
    log lines(text, log_level::info);
    hosted::identity shown({served.certificate, served.key, ""});
    of.all.on_change = [](const set_ptr &) { throw std::bad_alloc(); };
    for (const bool secure : {false, true}) {
        CAPTURE(secure);
        const hosted::admin_port port(of.calls, secure ? &shown : nullptr, *parse_address("127.0.0.1:0"),
                                      lines);
        const std::string name = secure ? "t2" : "t1";
        caller one(port.at(), secure);
        CHECK(one.ask("PUT", "/v1/tenants/" + name, "root.root-secret", body_of(name).dump()) ==
              bad_gateway_response);
        CHECK(of.all.now()->find(name));
    }
    CHECK(text.str().find("reason=no_memory") != std::string::npos);
}

// Long, and of figures: harrierpass_hosted_tests -tc="*thousand*" --no-skip
TEST_CASE("ten thousand tenants" * doctest::skip()) {
    const auto seconds = [] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    };
    const auto held = [] { return static_cast<double>(mallinfo2().uordblks); };
    const folder at;
    service of(at.db());
    json steps = json::array();
    for (int i = 0; i < 10000; ++i)
        steps.push_back({{"do", "create"}, {"tenant", body_of("tenant-" + std::to_string(i))}});
    REQUIRE(of.ask("POST", "/v1/transactions?dry_run=true", {{"steps", steps}}).status == 200);
    const std::string text = json{{"steps", steps}}.dump();
    admin::api_request with;
    with.body = text;
    const double memory = held();
    REQUIRE(of.ask("POST", "/v1/transactions", {}, with).status == 200);
    tenants::limiter keeps(1000, 1);
    keeps.apply(*of.all.now(), 0);
    MESSAGE("memory a tenant: ", (held() - memory) / 10000, " bytes");
    double began = seconds();
    for (int i = 0; i < 200; ++i)
        REQUIRE(of.ask("PATCH", "/v1/tenants/tenant-" + std::to_string(i * 7), {{"limits", {{"rate", i}}}})
                    .status == 200);
    MESSAGE("a change on disk: ", (seconds() - began) / 200 * 1e6, " us");
    began = seconds();
    for (int i = 0; i < 20; ++i)
        keeps.apply(*of.all.now(), i);
    MESSAGE("a version adopted by the limits: ", (seconds() - began) / 20 * 1e6, " us");
    std::vector<std::string> hosts;
    hosts.reserve(10000);
    for (int i = 0; i < 10000; ++i)
        hosts.push_back("tenant-" + std::to_string((i * 7919) % 10000) + ".example.org");
    const auto query = [&](int i) {
        const auto set = of.all.now();
        const auto found = set->find(hosts[static_cast<std::size_t>(i) % 10000], "/lookup/7");
        if (keeps.admit(found.of->incarnation, 0, i * 1e-5).by == tenants::limit::none)
            keeps.finish(found.of->incarnation, 0.001, i * 1e-5);
    };
    began = seconds();
    for (int i = 0; i < 200000; ++i)
        query(i);
    MESSAGE("a query's route and limits: ", (seconds() - began) / 200000 * 1e9, " ns");
    // Queries while versions are made: the slowest hundredth with and without.
    const auto slowest = [&](bool changes) {
        std::atomic<bool> over = false;
        std::thread writer([&] {
            for (int i = 0; changes && i < 200; ++i)
                of.ask("PATCH", "/v1/tenants/tenant-" + std::to_string(i * 11),
                       {{"limits", {{"rate", i + 1}}}});
            over = true;
        });
        std::vector<double> times;
        for (int i = 0; !over || i < 200000; ++i) {
            const double from = seconds();
            query(i);
            if (times.size() < 5000000)
                times.push_back(seconds() - from);
        }
        writer.join();
        std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 100 * 99),
                         times.end());
        return times[times.size() / 100 * 99] * 1e9;
    };
    MESSAGE("p99 of queries without changes ", slowest(false), " ns, during 200 changes ", slowest(true),
            " ns");
}

} // namespace harrierpass
