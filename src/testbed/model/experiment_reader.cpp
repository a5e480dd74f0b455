// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment_reader.hpp"

#include "settings/kind_names.hpp"
#include "testbed/model/experiment_layers.hpp"
#include "testbed/model/experiment_limits.hpp"
#include "testbed/model/experiment_names.hpp"
#include "testbed/model/fault_reader.hpp"
#include "testbed/model/toml_section.hpp"

#include <fstream>
#include <sstream>
#include <toml++/toml.h>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr double default_timeout_factor = 3; // multiple of the latency objective
constexpr double max_seed = 2147483647;

void read_fleet(toml_section &section, fleet_settings &fleet) {
    section.whole_number("servers", fleet.servers, 1, max_server_count);
    section.texts("zones", fleet.zones);
    section.whole_number("bare", fleet.proxy_only_zones, 0, static_cast<double>(fleet.zones.size() - 1));
    section.whole_number("cores", fleet.cores, 1, 1024);
    section.number("slowest", fleet.slowest, 0.01, 1);
    section.whole_number("queue", fleet.queue, 0, 1e6);
    section.whole_number("store", fleet.cache_capacity, 0, 1e7);
    section.flag("aside", fleet.cache_aside);
    section.flag("warm", fleet.starts_warm);
    section.seconds("idle", fleet.idle_timeout, 0.1, 3600);
    section.seconds("dial_work", fleet.connect_work, 0, 10);
    section.whole_number("hosts", fleet.hosts, 0, 64);
}

void read_origin(toml_section &section, origin_settings &origin) {
    section.whole_number("workers", origin.workers, 1, 1e5);
    section.seconds("work", origin.work, 1e-6, 60);
    section.number("spread", origin.spread, 0, 3);
    section.whole_number("queue", origin.queue, 0, 1e6);
}

void read_warm_up(toml_section &section, warm_up_settings &warm_up) {
    section.number("start_capacity", warm_up.routing.initial_capacity_share, 0.01, 1);
    section.seconds("warm_time", warm_up.routing.warm_up_time, 0, 3600);
    section.number("push_limit", warm_up.overload_factor, 1, 1000);
    section.seconds("push_time", warm_up.overload_window, 0.1, 60);
}

void read_network(toml_section &section, network_settings &network) {
    section.seconds("one_way", network.latency, 0, 1);
    network.cross_zone_latency = network.latency;
    section.seconds("cross_zone", network.cross_zone_latency, 0, 1);
    section.seconds("dial_limit", network.connect_timeout, 0.001, 60);
}

void read_list(toml_section &section, list_service_settings &list) {
    section.one_of("form", list_service_names, list.form);
    section.whole_number("workers", list.workers, 1, 1e4);
    section.seconds("whole_work", list.snapshot_work, 0, 60);
    section.seconds("watch_work", list.watch_work, 0, 60);
    section.whole_number("queue", list.queue, 0, 1e6);
    section.seconds("come_back", list.retry_after, 0, 600);
    section.flag("own_process", list.own_process);
    section.seconds("lag", list.lag, 0, 60);
    section.seconds("notice", list.notice, 0, 600);
    section.number("lose", list.lose, 0, 1);
    section.seconds("drain_grace", list.drain_grace, 0.05, 60);
}

void read_load(toml_section &section, load_settings &load) {
    section.number("rate", load.rate, 0, 1e6);
    section.whole_number("closed", load.closed, 0, 1e5);
    section.seconds("think", load.think_time, 0, 60);
    section.whole_number("keys", load.keys, 1, 1e7);
    section.number("zipf", load.zipf, 0, 3);
    section.seconds("drift", load.popularity_drift_time, 0, max_run_time);
    section.number("ramp_to", load.peak_factor, 0.01, 100);
    section.whole_number("retries", load.retries, 0, 20);
    section.number("heed", load.retry_after_share, 0, 1);
    section.seconds("impatient", load.retry_delay, 0.001, 60);
    section.number("uneven", load.proxy_share_deviation, 0, 3);
    section.number("heaviest", load.first_proxy_share, 0, 0.99);
    section.number("hottest", load.hottest_key_share, 0, 1);
    section.seconds("wait_beyond", load.response_grace, 0.01, 10);
    section.whole_number("idle", load.idle_connections, 0, 1e4);
}

void read_costs(toml_section &section, cost_settings &costs) {
    section.number("handshake", costs.handshake, 0, 100);
    section.number("origin", costs.origin, 0, 100);
}

void read_proxies(toml_section &section, proxy_settings &proxies) {
    section.whole_number("count", proxies.count, 1, 1000);
    section.flag("probes", proxies.may_check_health);
    section.flag("cancel", proxies.may_cancel);
    section.whole_number("max_executions", proxies.max_attempts, 1, 100);
    section.seconds("advice", proxies.max_retry_after, 0, 60);
    section.number("excess_importance", proxies.over_quota_weight_share, 0, 1);
    section.whole_number("sockets", proxies.sockets, 64, 1e5);
    section.number("memory_mb", proxies.memory_mb, 32, 1e6);
    section.flag("together", proxies.start_with_load);
    section.one_of("known", initial_list_names, proxies.initial_list);
    section.number("known_old", proxies.stale_list_share, 0, 1);
    section.flag("shared_list", proxies.shared_list);
    section.flag("snapshots", proxies.snapshots);
    section.flag("peers", proxies.may_exchange_datagrams);
}

void read_use_case(toml_section &section, std::vector<request_class_settings> &target) {
    request_class_settings use_case;
    section.text("name", use_case.name);
    if (use_case.name.empty() ||
        use_case.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-0123456789") != std::string::npos)
        section.refuse(nullptr, "a use_case needs a name of small letters, digits, - and _");
    auto &routing = use_case.routing;
    section.one_of("effect", effect_names, routing.effect);
    section.one_of("group", deduplication_scope_names, routing.scope);
    section.seconds("window", routing.deduplication_window, 0, 3600);
    section.seconds("slo", routing.latency_objective, 0.0001, 600);
    use_case.timeout = routing.latency_objective * default_timeout_factor;
    section.seconds("timeout", use_case.timeout, 0.001, 600);
    section.number("importance", routing.priority_weight, 0, 1000);
    section.number("tardy", routing.late_value_share, 0, 1);
    section.flag("write", use_case.write);
    section.flag("keyed", use_case.keyed);
    section.number("share", use_case.share, 0, 1e6);
    section.seconds("work", use_case.work, 1e-6, 60);
    section.number("spread", use_case.spread, 0, 3);
    if (routing.effect == effect_kind::deduplicated && routing.deduplication_window <= 0)
        section.refuse(nullptr, "a deduplicated use_case needs a window");
    target.push_back(std::move(use_case));
}

void read_tenant(toml_section &section, std::vector<tenant_settings> &target) {
    tenant_settings tenant;
    section.text("name", tenant.name);
    section.number("share", tenant.share, 0, 1e6);
    section.number("quota_rps", tenant.quota_rps, 0, 1e6);
    if (tenant.name.empty())
        section.refuse(nullptr, "a tenant needs a name");
    target.push_back(std::move(tenant));
}

void read_system_faults(toml_section &section, system_fault_settings &system) {
    section.number("rate", system.rate, 0, 0.5);
    section.seconds("from", system.from, 0, max_run_time);
    section.seconds("for", system.lasts, 0, max_run_time);
    section.number("clock_step_s", system.clock_step, -1e6, 1e6);
    if (system.rate > 0 && system.lasts <= 0)
        section.refuse_key("rate", "needs `for`");
}

void read_variant(toml_section &section, std::vector<variant_settings> &target) {
    variant_settings variant;
    section.one_of("by", policy_names, variant.policy);
    section.one_of("plant", violation_names, variant.violation);
    variant.name = name_of(variant.policy);
    section.text("name", variant.name);
    target.push_back(std::move(variant));
}

// Reads all sections of the model, without faults.
void read_model(toml_section &top, experiment &target) {
    top.table("fleet", [&](toml_section &section) { read_fleet(section, target.fleet); });
    top.table("origin", [&](toml_section &section) { read_origin(section, target.origin); });
    top.table("cold", [&](toml_section &section) { read_warm_up(section, target.warm_up); });
    top.table("network", [&](toml_section &section) { read_network(section, target.network); });
    top.table("list", [&](toml_section &section) { read_list(section, target.list); });
    top.table("load", [&](toml_section &section) { read_load(section, target.load); });
    top.table("prices", [&](toml_section &section) { read_costs(section, target.costs); });
    top.table("proxies", [&](toml_section &section) { read_proxies(section, target.proxies); });
    if (target.fleet.cache_aside && target.fleet.hosts > 0)
        top.refuse(nullptr,
                   "fleet.aside and fleet.hosts do not go together: the origin fills the servers' stores");
    top.tables("use_case", [&](toml_section &section) { read_use_case(section, target.use_cases); });
    if (target.use_cases.empty())
        top.refuse(nullptr, "the experiment has no [[use_case]]");
    top.tables("tenant", [&](toml_section &section) { read_tenant(section, target.tenants); });
}

// Faults refer to the model, which is read before them.
void read_sections(toml_section &top, experiment &target) {
    top.text("name", target.name);
    top.text("about", target.about);
    top.numbers("seeds", target.seeds, max_seed);
    top.seconds("length", target.length, 0.1, max_run_time);
    top.seconds("settle", target.settle, 0, target.length);
    read_model(top, target);
    top.tables("fault", [&](toml_section &section) { read_fault(section, target); });
    top.table("system", [&](toml_section &section) { read_system_faults(section, target.system); });
    top.tables("link", [&](toml_section &section) { read_link_fault(section, target); });
    top.tables("variant", [&](toml_section &section) { read_variant(section, target.variants); });
    if (target.variants.empty())
        target.variants.emplace_back();
}

std::string name_without_folder(const std::string &path) {
    const std::string file = path.substr(path.rfind('/') + 1);
    return file.substr(0, file.rfind(".toml"));
}

} // namespace

experiment parse_experiment(const std::string &text, const std::string &name, bool large) {
    experiment parsed;
    parsed.text = text;
    parsed.name = name_without_folder(name);
    try {
        const toml::table merged = merge_experiment_layers(text, name, large);
        std::ostringstream merged_text;
        merged_text << merged;
        parsed.merged_text = merged_text.str();
        toml_section top(merged, "", name);
        read_sections(top, parsed);
        top.finish();
    } catch (const toml::parse_error &error) {
        throw experiment_error((error.source().path ? *error.source().path : name) + ":" +
                               std::to_string(error.source().begin.line) + ": " +
                               std::string(error.description()));
    }
    if (large)
        parsed.name += "-large";
    return parsed;
}

experiment read_experiment(const std::string &path, bool large) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        throw experiment_error(path + ": cannot be read");
    return parse_experiment(text.str(), path, large);
}

} // namespace harrierpass::testbed
