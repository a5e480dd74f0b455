// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/load_run.hpp"

#include "net/threads.hpp"
#include "testbed/load/client_connections.hpp"
#include "testbed/processes/process.hpp"
#include "testbed/runs/generator_lateness.hpp"
#include "testbed/runs/socket_run.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace harrierpass::testbed {
namespace {

constexpr double idle_response_limit = 10; // s for the responses of idle connections

// s of CPU that this process has used.
double own_cpu() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
           static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
}

// One run of the load.
class load_run {
public:
    load_run(const experiment &settings, const load_options &options)
        : options_(options), settings_(for_addresses(settings, options)),
          checker_(loop_.clock, settings_, socket_clock_slack),
          clients_(loop_.clock, settings_, checker_, options.seed),
          port_(loop_, settings_, clients_, checker_, settings_.proxies.count) {}

    load_result run() {
        for (index i = 0; i < options_.to.size(); ++i)
            connect(i);
        const auto before = usage_of_process();
        const double cpu = own_cpu(), began = steady_now();
        std::optional<process_usage> after;
        clients_.start();
        const double end = loop_.clock.now() + settings_.length + socket_wind_down_time;
        loop_.run([&] {
            if (clients_.over() && !after)
                after = usage_of_process();
            return clients_.idle() || loop_.clock.now() > end;
        });
        load_result made;
        const double time = std::min(settings_.length, steady_now() - began);
        made.run = result(steady_now() - began);
        const auto requests = static_cast<double>(std::max<std::uint64_t>(1, made.run.queries));
        made.rate = static_cast<double>(made.run.completed) / time;
        made.own_cpu_us = (own_cpu() - cpu) * 1e6 / requests;
        if (before && after) {
            made.cpu_us = (after->cpu - before->cpu) * 1e6 / requests;
            made.resident_kb = after->resident_kb;
            made.descriptors = after->descriptors;
        }
        return made;
    }

private:
    static experiment for_addresses(const experiment &settings, const load_options &options) {
        experiment made = settings;
        made.proxies.count = static_cast<index>(options.to.size());
        made.faults.clear();
        return made;
    }

    std::optional<process_usage> usage_of_process() const {
        return options_.pid > 0 ? measure_usage(options_.pid) : std::nullopt;
    }

    void connect(index number) {
        const auto at = parse_address(options_.to[number]);
        if (!at)
            throw experiment_error(options_.to[number] + " is no address such as 127.0.0.1:9000");
        port_.set_proxy_address(number, at);
        const auto finished = std::make_shared<std::size_t>(0);
        for (index i = 0; i < options_.idle; ++i)
            open_idle(*at, "rest-" + std::to_string(number) + "-" + std::to_string(i), finished);
        const double limit = loop_.clock.now() + idle_response_limit;
        loop_.run([&] { return *finished >= options_.idle || loop_.clock.now() > limit; });
    }

    // Opens a connection that stays idle after one request; `finished` counts responses and ends, also those
    // after connect().
    void open_idle(const address &at, const std::string &id, const std::shared_ptr<std::size_t> &finished) {
        const auto on = std::make_shared<channel>(loop_, start_dial(at), http_reader::message_kind::response);
        if (!on->open())
            throw experiment_error("no descriptors for so many connections at rest");
        on->on_message = [finished](const auto &, const http_reader &) { ++*finished; };
        on->on_end = [finished](const auto &, channel::ending) { ++*finished; };
        on->start(true);
        on->send("GET /" + settings_.use_cases[0].name + "/1 HTTP/1.1\r\nHost: lab\r\nX-Request-Id: " + id +
                 "\r\n\r\n");
        idle_.push_back(on);
    }

    run_result result(double wall) const {
        run_result made;
        made.experiment = settings_.name;
        made.variant = "load";
        made.mode = "load";
        made.seed = options_.seed;
        made.length = settings_.length;
        take_totals(made, clients_);
        made.wall = wall;
        for (const rule each : {rule::lost, rule::answered_twice, rule::wrong_body})
            made.rules.emplace_back(name_of(each), checker_.broken(each));
        made.histories = checker_.histories();
        void_if_generator_was_late(made, settings_);
        if (made.completed == 0 && made.void_because.empty())
            made.void_because = "no query was completed: is anybody there?";
        return made;
    }

    const load_options &options_;
    const experiment settings_;
    loop loop_;
    rule_checker checker_;
    load_generator clients_;
    client_connections port_;
    std::vector<std::shared_ptr<channel>> idle_;
};

} // namespace

load_result run_load(const experiment &settings, const load_options &options) {
    return load_run(settings, options).run();
}

} // namespace harrierpass::testbed
