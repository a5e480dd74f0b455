// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/report.hpp"

#include "router/router.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <ostream>
#include <set>
#include <sstream>

namespace harrierpass::testbed {
namespace {

using nlohmann::json;

// Quantiles of Student's t distribution for a two-sided 95% interval, by degrees of freedom from 1 on. The
// last value also serves for more degrees of freedom, where the quantile is close to that of the normal
// distribution.
constexpr std::array<double, 15> student_t = {12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31,
                                              2.26,  2.23, 2.20, 2.18, 2.16, 2.14, 2.13};

std::string hex(std::uint64_t value) {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << value;
    return text.str();
}

double median(std::vector<double> values) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return (values[(values.size() - 1) / 2] + values[values.size() / 2]) / 2;
}

double spread(const std::vector<double> &values) {
    const auto [min, max] = std::minmax_element(values.begin(), values.end());
    return values.empty() ? 0 : *max - *min;
}

} // namespace

std::uint64_t run_result::broken() const {
    return std::accumulate(rules.begin(), rules.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto &each) { return sum + each.second; });
}

std::string commit() {
    const char *const from_environment = std::getenv("HARRIERLAB_COMMIT");
    return from_environment != nullptr ? from_environment : HARRIERPASS_COMMIT;
}

std::string to_json(const run_result &run, const experiment &settings) {
    json result = {{"experiment", run.experiment},
                   {"variant", run.variant},
                   {"mode", run.mode},
                   {"seed", run.seed},
                   {"commit", commit()},
                   {"hash", hex(ring_hash(settings.text))},
                   {"length", run.length},
                   {"wall", run.wall},
                   {"service", run.service},
                   {"queries", run.queries},
                   {"completed", run.completed},
                   {"late", run.late},
                   {"rejected", run.rejected},
                   {"aborted", run.aborted},
                   {"none", run.none},
                   {"retries", run.retries},
                   {"executions", run.executions},
                   {"fetches", run.fetches},
                   {"events", run.events},
                   {"trace", hex(run.trace)},
                   {"p50", run.p50},
                   {"p90", run.p90},
                   {"p99", run.p99},
                   {"p999", run.p999},
                   {"lateness_p99", run.lateness_p99},
                   {"lateness_most", run.max_lateness},
                   {"void_because", run.void_because},
                   {"slot_length", run.slot_length}};
    for (const auto &[name, value] : run.rules)
        result["rules"][name] = value;
    for (const auto &[name, value] : run.proxies)
        result["proxies"][name] = value;
    for (const auto &[name, value] : run.use_cases)
        result["use_cases"][name] = value;
    for (const auto &[name, value] : run.tenants)
        result["tenants"][name] = value;
    for (const auto &[name, value] : run.fleet)
        result["fleet"][name] = value;
    if (!run.proxy_cpu.empty())
        result["each_proxy"] = {{"cpu_s", run.proxy_cpu}, {"mb", run.proxy_mb}};
    for (const auto &[name, values] : run.series)
        result["series"][name] = values;
    result["slots"] = {{"service", run.slot_service}, {"p50", run.slot_p50},
                       {"p99", run.slot_p99},         {"rate", run.slot_rate},
                       {"fetches", run.slot_fetches}, {"in_hand", run.in_flight}};
    json faults = json::array();
    for (const auto &fault : fault_intervals(settings))
        faults.push_back({{"kind", fault.name}, {"at", fault.start}, {"for", fault.duration}});
    result["faults"] = faults;
    return result.dump();
}

std::vector<stored_result> read_results(const std::string &path) {
    std::ifstream file(path);
    if (!file)
        throw experiment_error(path + ": cannot be read");
    std::vector<stored_result> results;
    const auto numbers = [](const json &list) {
        std::vector<double> values;
        for (const auto &value : list)
            values.push_back(value.is_null() ? std::nan("") : value.get<double>());
        return values;
    };
    std::size_t line_number = 0;
    for (std::string line; std::getline(file, line);) {
        ++line_number;
        if (line.empty())
            continue;
        try {
            const json stored = json::parse(line);
            stored_result result;
            auto &run = result.run;
            result.commit = stored.at("commit");
            result.hash = stored.at("hash");
            run.experiment = stored.at("experiment");
            run.variant = stored.at("variant");
            run.mode = stored.at("mode");
            run.seed = stored.at("seed");
            run.length = stored.at("length");
            run.service = stored.at("service");
            run.queries = stored.at("queries");
            run.executions = stored.at("executions");
            run.fetches = stored.at("fetches");
            run.p50 = stored.at("p50");
            run.p99 = stored.at("p99");
            run.void_because = stored.at("void_because");
            for (const auto &[name, value] : stored.at("rules").items())
                run.rules.emplace_back(name, value);
            if (stored.contains("fleet"))
                for (const auto &[name, value] : stored.at("fleet").items())
                    run.fleet.emplace_back(name, value);
            run.slot_length = stored.at("slot_length");
            if (stored.contains("series"))
                for (const auto &[name, values] : stored.at("series").items())
                    run.series.emplace_back(name, numbers(values));
            const auto slots = [&](const char *name) { return numbers(stored.at("slots").at(name)); };
            run.slot_service = slots("service");
            run.slot_p50 = slots("p50");
            run.slot_p99 = slots("p99");
            run.slot_rate = slots("rate");
            run.slot_fetches = slots("fetches");
            run.in_flight = stored.at("slots").at("in_hand").get<std::vector<std::vector<double>>>();
            results.push_back(std::move(result));
        } catch (const json::exception &error) {
            throw experiment_error(path + ":" + std::to_string(line_number) + ": no result: " + error.what());
        }
    }
    return results;
}

void print(std::ostream &output, const run_result &run, bool with_details) {
    std::ostringstream text;
    text << std::fixed;
    text << run.experiment << " seed " << run.seed << ' ' << run.variant << " (" << run.mode << "): service "
         << std::setprecision(3) << run.service << ", " << run.queries << " requests, " << run.rejected
         << " rejected, " << run.aborted << " aborted, " << run.none << " unanswered, " << run.late
         << " late; p50 " << std::setprecision(1) << run.p50 * 1000 << " ms, p99 " << run.p99 * 1000
         << " ms; " << std::setprecision(3)
         << (run.queries > 0 ? static_cast<double>(run.executions) / static_cast<double>(run.queries) : 0)
         << " attempts and "
         << (run.queries > 0 ? static_cast<double>(run.fetches) / static_cast<double>(run.queries) : 0)
         << " origin fetches per request";
    if (run.mode != "virtual")
        text << "; load generator lateness p99 " << run.lateness_p99 * 1000 << " ms";
    text << "; " << std::setprecision(1) << run.wall << " s\n";
    for (const auto &[name, value] : run.rules)
        if (value > 0)
            text << "  RULE BROKEN " << name << ": " << value << " times\n";
    if (!run.void_because.empty())
        text << "  RUN DOES NOT COUNT: " << run.void_because << '\n';
    if (with_details && !run.fleet.empty()) {
        text << " ";
        for (const auto &[name, value] : run.fleet)
            text << ' ' << name << ' ' << std::setprecision(value == std::round(value) ? 0 : 3) << value;
        text << '\n';
    }
    if (with_details)
        for (const auto &history : run.histories)
            text << history;
    output << text.str() << std::flush;
}

std::string fleet_table(const std::vector<run_result> &runs) {
    // Lines of the table by metric and columns by experiment and variant, in the order of their first
    // occurrence.
    std::vector<std::string> metrics, variants;
    std::map<std::pair<std::string, std::string>, std::vector<double>> cells;
    std::map<std::string, std::set<std::uint32_t>> seeds;
    for (const auto &run : runs) {
        if (!run.void_because.empty())
            continue;
        const std::string variant = run.experiment + (run.variant == "harrierpass" ? "" : ", " + run.variant);
        const auto add = [&](const std::string &metric, double value) {
            if (std::find(metrics.begin(), metrics.end(), metric) == metrics.end())
                metrics.push_back(metric);
            cells[{variant, metric}].push_back(value);
        };
        if (std::find(variants.begin(), variants.end(), variant) == variants.end())
            variants.push_back(variant);
        seeds[variant].insert(run.seed);
        const auto request_count = static_cast<double>(std::max<std::uint64_t>(1, run.queries));
        add("service", run.service);
        add("rules", static_cast<double>(run.broken()));
        add("fetches_a_query", static_cast<double>(run.fetches) / request_count);
        add("p99_ms", run.p99 * 1000);
        for (const auto &[name, value] : run.fleet)
            add(name, value);
    }
    std::ostringstream text;
    text << "| metric |";
    for (const auto &variant : variants)
        text << ' ' << variant << " (" << seeds[variant].size() << ") |";
    text << "\n| --- |";
    for (std::size_t i = 0; i < variants.size(); ++i)
        text << " --- |";
    text << '\n';
    for (const auto &metric : metrics) {
        text << "| " << metric << " |";
        for (const auto &variant : variants) {
            const auto found = cells.find({variant, metric});
            if (found == cells.end()) {
                text << " - |";
                continue;
            }
            // The sum of violations; for other metrics the median over the seeds.
            const double value = metric == "rules"
                                     ? std::accumulate(found->second.begin(), found->second.end(), 0.0)
                                     : median(found->second);
            const bool whole = std::fabs(value) >= 100 || value == std::round(value);
            text << ' ' << std::fixed << std::setprecision(whole ? 0 : 3) << value << " |";
        }
        text << '\n';
    }
    return text.str();
}

std::vector<comparison> compare(const std::vector<run_result> &runs) {
    std::vector<std::string> experiments;
    std::map<std::string, std::vector<std::string>>
        variants; // by experiment, in the order of first occurrence
    std::map<std::tuple<std::string, std::string, std::uint32_t>, double> service;
    std::map<std::pair<std::string, std::string>, std::uint64_t> rules;
    for (const auto &run : runs) {
        if (!run.void_because.empty())
            continue;
        if (std::find(experiments.begin(), experiments.end(), run.experiment) == experiments.end())
            experiments.push_back(run.experiment);
        auto &known_variants = variants[run.experiment];
        if (std::find(known_variants.begin(), known_variants.end(), run.variant) == known_variants.end())
            known_variants.push_back(run.variant);
        service[{run.experiment, run.variant, run.seed}] = run.service;
        rules[{run.experiment, run.variant}] += run.broken();
    }
    std::vector<comparison> comparisons;
    for (const auto &name : experiments)
        for (std::size_t i = 1; i < variants[name].size(); ++i) {
            comparison result{name, variants[name][0], variants[name][i]};
            std::vector<double> base, other, differences;
            for (const auto &[key, value] : service) {
                if (std::get<0>(key) != name || std::get<1>(key) != result.base)
                    continue;
                const auto pair = service.find({name, result.other, std::get<2>(key)});
                if (pair == service.end())
                    continue;
                base.push_back(value);
                other.push_back(pair->second);
                differences.push_back(pair->second - value);
            }
            result.pairs = differences.size();
            result.base_broken = rules[{name, result.base}];
            result.other_broken = rules[{name, result.other}];
            result.base_median = median(base);
            result.other_median = median(other);
            result.base_spread = spread(base);
            result.other_spread = spread(other);
            const auto count = static_cast<double>(result.pairs);
            for (const double difference : differences)
                result.difference += difference / count;
            double squares = 0;
            for (const double difference : differences)
                squares += (difference - result.difference) * (difference - result.difference);
            if (result.pairs >= 2)
                result.noise = student_t[std::min(student_t.size(), result.pairs - 1) - 1] *
                               std::sqrt(squares / (count - 1) / count);
            comparisons.push_back(std::move(result));
        }
    return comparisons;
}

void print(std::ostream &output, const std::vector<comparison> &comparisons) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    text << "| experiment | variant | seeds | median | spread | against | median | spread | difference | "
            "verdict | "
            "rules broken |\n"
         << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto &comparison : comparisons)
        text << "| " << comparison.experiment << " | " << comparison.other << " | " << comparison.pairs
             << " | " << comparison.other_median << " | " << comparison.other_spread << " | "
             << comparison.base << " | " << comparison.base_median << " | " << comparison.base_spread << " | "
             << std::showpos << comparison.difference << std::noshowpos << " +- " << comparison.noise << " | "
             << (comparison.pairs < 2        ? "inconclusive: one seed"
                 : !comparison.differs()     ? "within the noise"
                 : comparison.difference > 0 ? "better"
                                             : "worse")
             << " | " << comparison.other_broken << ", " << comparison.base_broken << " |\n";
    output << text.str() << std::flush;
}

} // namespace harrierpass::testbed
