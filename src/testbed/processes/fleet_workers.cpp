// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/fleet_workers.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace harrierpass::testbed {
namespace {

constexpr double delivery_period = 0.05;   // s between looks at which events can be delivered in order
constexpr std::uint32_t first_seed = 1000; // of the servers of host 0
constexpr double just_after = 1e-7;        // s

worker_message about(const member_list::member &what, worker_message::kind as) {
    worker_message made;
    made.is = as;
    made.small = static_cast<std::uint8_t>(what.state);
    made.a = what.server;
    made.x = what.started;
    made.number = what.revision;
    return made;
}

} // namespace

fleet_workers::fleet_workers(loop &in, run_environment &environment, worker_options options,
                             const fleet_addresses &addresses)
    : loop_(in), environment_(environment), options_(std::move(options)), addresses_(addresses),
      killed_(environment.settings.fleet.hosts + 1), stopped_(environment.settings.fleet.hosts + 1) {}

std::string fleet_workers::setup(const std::string &role, index host, bool cold) const {
    nlohmann::json made = {{"role", role},
                           {"experiment", options_.folder + "/experiment.toml"},
                           {"offset", loop_.offset()},
                           {"seed", first_seed + host},
                           {"host", host},
                           {"cold", cold},
                           {"addresses", addresses_.servers},
                           {"lists", nlohmann::json::array()},
                           {"links", nlohmann::json::array()}};
    for (const auto &each : addresses_.lists)
        made["lists"].push_back(to_text(each));
    for (const auto &[ends, at] : addresses_.server_links)
        made["links"].push_back({ends.first, ends.second, at});
    return made.dump();
}

void fleet_workers::write_setup(const std::string &name, const std::string &text) const {
    std::ofstream(options_.folder + "/" + name + ".json") << text;
}

std::unique_ptr<worker_process> fleet_workers::make_worker(const std::string &name,
                                                           const std::string &setup) {
    write_setup(name, setup);
    const std::string path = options_.folder + "/" + name;
    auto made = std::make_unique<worker_process>(
        loop_, environment_.events, std::vector<std::string>{options_.self, "part", path + ".json"},
        path + ".log");
    made->on_death = [this] { ++deaths_; };
    return made;
}

void fleet_workers::start() {
    if (!has_servers() && !has_list())
        return;
    std::ofstream(options_.folder + "/experiment.toml") << environment_.settings.merged_text;
    start_servers();
    if (has_list())
        start_list();
    deliver_events();
}

void fleet_workers::start_servers() {
    const index hosts = environment_.settings.fleet.hosts;
    for (index host = 0; host < hosts; ++host) {
        servers_.push_back(make_worker("servers" + std::to_string(host), setup("servers", host, false)));
        auto &worker = *servers_.back();
        worker.on_message = [this, &worker](const worker_message &what) { on_worker_message(worker, what); };
        worker.on_ready = [this, &worker, host] { on_server_worker_ready(worker, host); };
        worker.start();
    }
    environment_.on_host = [this](index host, fault_kind kind, bool begins) {
        on_host_fault(host, kind, begins);
    };
    if (hosts > 0)
        environment_.servers.on_invalidated = [this](std::uint64_t key) {
            worker_message written;
            written.is = worker_message::kind::void_copy;
            written.key = key;
            for (const auto &each : servers_)
                each->send(written);
        };
}

void fleet_workers::start_list() {
    list_ = make_worker("list", setup("list", 0, false));
    list_->on_message = [this](const worker_message &what) {
        if (what.is == worker_message::kind::poll)
            environment_.metrics.on_poll(static_cast<list_poll>(what.small), what.number);
    };
    environment_.list.on_change = [this](const membership::member &what) {
        list_->send(about(what, worker_message::kind::publish));
    };
    list_->start();
    publish_list();
}

void fleet_workers::publish_list() {
    for (const auto &each : environment_.list.all())
        list_->send(about(each, worker_message::kind::load));
}

void fleet_workers::deliver_events() {
    environment_.events.advance_source(environment_.own_events, loop_.clock.now());
    environment_.events.deliver_ready();
    loop_.clock.after(delivery_period, [this] { deliver_events(); });
}

// What the origin holds, and which keys were written, is in this process for all servers.
void fleet_workers::on_worker_message(worker_process &worker, const worker_message &what) {
    worker_message response;
    response.number = what.number;
    switch (what.is) {
    case worker_message::kind::fetch:
        return environment_.servers.source().fetch([&worker, response](bool there) mutable {
            response.is = worker_message::kind::fetched;
            response.flag = there;
            worker.send(response);
        });
    case worker_message::kind::write: {
        const job request{what.event.op, what.event.a, what.event.b, true, what.flag != 0, what.key, none};
        return environment_.servers.write(request, what.a,
                                          [&worker, response](bool seen, bool there) mutable {
                                              response.is = worker_message::kind::written;
                                              response.flag = seen;
                                              response.flag2 = there;
                                              worker.send(response);
                                          });
    }
    case worker_message::kind::connection:
        return on_connection(what.a, what.flag != 0);
    case worker_message::kind::event:
        if (what.event.type == observed_event::kind::server_overloaded) {
            environment_.servers.at(what.event.a).fail_overloaded();
            on_server_changed(what.event.a);
        }
        return;
    default:
        return;
    }
}

// A new process knows nothing of what the script has made of its servers meanwhile.
void fleet_workers::on_server_worker_ready(worker_process &worker, index host) {
    const auto &given = environment_.settings;
    for (index i = 0; i < environment_.servers.size(); ++i) {
        if (host_of(given, i) != host)
            continue;
        const bool up = environment_.servers.at(i).up(), up_from_start = i < given.fleet.servers;
        if (up != up_from_start) {
            worker_message made;
            made.is = worker_message::kind::fault;
            made.small = static_cast<std::uint8_t>(up ? fault_kind::join : fault_kind::crash);
            made.flag = 1;
            made.a = i;
            worker.send(made);
        }
        on_server_changed(i);
    }
}

void fleet_workers::apply_server_fault(const fault_settings &fault, index server, bool begins) {
    const index host = host_of(environment_.settings, server);
    if (host >= servers_.size())
        return;
    worker_message made;
    made.is = worker_message::kind::fault;
    made.small = static_cast<std::uint8_t>(fault.kind);
    made.flag = begins;
    made.a = server;
    made.b = fault.use_case;
    made.x = fault.factor;
    servers_[host]->send(made);
}

void fleet_workers::on_host_fault(index host, fault_kind kind, bool begins) {
    auto &worker = *servers_.at(host);
    if (kind == fault_kind::host_stop) {
        stopped_[host] += begins ? 1 : static_cast<index>(-1);
        return worker.stop(stopped_[host] > 0);
    }
    if (begins && killed_[host]++ == 0) {
        kill_host(host);
    } else if (!begins && --killed_[host] == 0) {
        write_setup("servers" + std::to_string(host), setup("servers", host, true));
        worker.start();
    }
}

void fleet_workers::kill_host(index host) {
    auto &worker = *servers_.at(host);
    const double before = loop_.precise_now();
    worker.kill();
    // Later than all that it had written, and earlier than what anybody does for its death.
    observed_event died;
    died.type = observed_event::kind::server_process_died;
    died.observed_at = std::max(before, worker.last()) + just_after;
    for (index i = 0; i < environment_.servers.size(); ++i)
        if (host_of(environment_.settings, i) == host) {
            died.a = i;
            environment_.events.add(environment_.own_events, died);
        }
}

void fleet_workers::on_list_fault(bool kills, bool begins) {
    if (!list_)
        return environment_.list.set_silent(begins);
    auto &active = kills ? killed_.back() : stopped_.back();
    active += begins ? 1 : static_cast<index>(-1);
    if (!kills)
        return list_->stop(active > 0);
    if (begins && active == 1) {
        list_->kill();
    } else if (!begins && active == 0) {
        list_->start();
        publish_list();
    }
}

bool fleet_workers::ready() const {
    return std::all_of(servers_.begin(), servers_.end(), [](const auto &each) { return each->ready(); }) &&
           (!list_ || list_->ready() || killed_.back() > 0);
}

void fleet_workers::end() {
    for (const auto &each : servers_)
        each->end();
    if (list_)
        list_->end();
}

bool fleet_workers::ended() const {
    return std::none_of(servers_.begin(), servers_.end(), [](const auto &each) { return each->runs(); }) &&
           !(list_ && list_->runs());
}

} // namespace harrierpass::testbed
