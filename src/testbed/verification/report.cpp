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

// Student's t for a two-sided 95%, by degrees of freedom from 1 on; beyond them the normal's is near enough.
constexpr std::array<double, 15> student = {12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31,
                                            2.26,  2.23, 2.20, 2.18, 2.16, 2.14, 2.13};

std::string hex(std::uint64_t value) {
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << value;
    return text.str();
}

double median(std::vector<double> of) {
    if (of.empty())
        return 0;
    std::sort(of.begin(), of.end());
    return (of[(of.size() - 1) / 2] + of[of.size() / 2]) / 2;
}

double spread(const std::vector<double> &of) {
    const auto [least, most] = std::minmax_element(of.begin(), of.end());
    return of.empty() ? 0 : *most - *least;
}

} // namespace

std::uint64_t run_result::broken() const {
    return std::accumulate(rules.begin(), rules.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto &each) { return sum + each.second; });
}

std::string commit() {
    const char *const given = std::getenv("HARRIERLAB_COMMIT");
    return given != nullptr ? given : HARRIERPASS_COMMIT;
}

std::string to_json(const run_result &run, const experiment &of) {
    json made = {{"experiment", run.experiment},
                 {"variant", run.variant},
                 {"mode", run.mode},
                 {"seed", run.seed},
                 {"commit", commit()},
                 {"hash", hex(ring_hash(of.text))},
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
        made["rules"][name] = value;
    for (const auto &[name, value] : run.proxies)
        made["proxies"][name] = value;
    for (const auto &[name, value] : run.use_cases)
        made["use_cases"][name] = value;
    for (const auto &[name, value] : run.tenants)
        made["tenants"][name] = value;
    for (const auto &[name, value] : run.fleet)
        made["fleet"][name] = value;
    if (!run.proxy_cpu.empty())
        made["each_proxy"] = {{"cpu_s", run.proxy_cpu}, {"mb", run.proxy_mb}};
    for (const auto &[name, values] : run.series)
        made["series"][name] = values;
    made["slots"] = {{"service", run.slot_service}, {"p50", run.slot_p50},
                     {"p99", run.slot_p99},         {"rate", run.slot_rate},
                     {"fetches", run.slot_fetches}, {"in_hand", run.in_flight}};
    json faults = json::array();
    for (const auto &each : shades_of(of))
        faults.push_back({{"kind", each.name}, {"at", each.at}, {"for", each.lasts}});
    made["faults"] = faults;
    return made.dump();
}

std::vector<stored_result> read_results(const std::string &path) {
    std::ifstream in(path);
    if (!in)
        throw experiment_error(path + ": cannot be read");
    std::vector<stored_result> all;
    const auto numbers = [](const json &of) {
        std::vector<double> values;
        for (const auto &each : of)
            values.push_back(each.is_null() ? std::nan("") : each.get<double>());
        return values;
    };
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        if (line.empty())
            continue;
        try {
            const json from = json::parse(line);
            stored_result made;
            auto &run = made.run;
            made.commit = from.at("commit");
            made.hash = from.at("hash");
            run.experiment = from.at("experiment");
            run.variant = from.at("variant");
            run.mode = from.at("mode");
            run.seed = from.at("seed");
            run.length = from.at("length");
            run.service = from.at("service");
            run.queries = from.at("queries");
            run.executions = from.at("executions");
            run.fetches = from.at("fetches");
            run.p50 = from.at("p50");
            run.p99 = from.at("p99");
            run.void_because = from.at("void_because");
            for (const auto &[name, value] : from.at("rules").items())
                run.rules.emplace_back(name, value);
            if (from.contains("fleet"))
                for (const auto &[name, value] : from.at("fleet").items())
                    run.fleet.emplace_back(name, value);
            run.slot_length = from.at("slot_length");
            if (from.contains("series"))
                for (const auto &[name, values] : from.at("series").items())
                    run.series.emplace_back(name, numbers(values));
            const auto list = [&](const char *name) { return numbers(from.at("slots").at(name)); };
            run.slot_service = list("service");
            run.slot_p50 = list("p50");
            run.slot_p99 = list("p99");
            run.slot_rate = list("rate");
            run.slot_fetches = list("fetches");
            run.in_flight = from.at("slots").at("in_hand").get<std::vector<std::vector<double>>>();
            all.push_back(std::move(made));
        } catch (const json::exception &bad) {
            throw experiment_error(path + ":" + std::to_string(number) + ": no result: " + bad.what());
        }
    }
    return all;
}

void print(std::ostream &to, const run_result &run, bool histories) {
    std::ostringstream text;
    text << std::fixed;
    text << run.experiment << " seed " << run.seed << ' ' << run.variant << " (" << run.mode << "): service "
         << std::setprecision(3) << run.service << ", " << run.queries << " queries, " << run.rejected
         << " rejected, " << run.aborted << " aborted, " << run.none << " unanswered, " << run.late
         << " late; p50 " << std::setprecision(1) << run.p50 * 1000 << " ms, p99 " << run.p99 * 1000
         << " ms; " << std::setprecision(3)
         << (run.queries > 0 ? static_cast<double>(run.executions) / static_cast<double>(run.queries) : 0)
         << " executions and "
         << (run.queries > 0 ? static_cast<double>(run.fetches) / static_cast<double>(run.queries) : 0)
         << " fetches a query";
    if (run.mode != "virtual")
        text << "; generator late p99 " << run.lateness_p99 * 1000 << " ms";
    text << "; " << std::setprecision(1) << run.wall << " s\n";
    for (const auto &[name, value] : run.rules)
        if (value > 0)
            text << "  RULE BROKEN " << name << ": " << value << " times\n";
    if (!run.void_because.empty())
        text << "  DOES NOT COUNT: " << run.void_because << '\n';
    if (histories && !run.fleet.empty()) {
        text << " ";
        for (const auto &[name, value] : run.fleet)
            text << ' ' << name << ' ' << std::setprecision(value == std::round(value) ? 0 : 3) << value;
        text << '\n';
    }
    if (histories)
        for (const auto &each : run.histories)
            text << each;
    to << text.str() << std::flush;
}

std::string fleet_table(const std::vector<run_result> &runs) {
    // Columns in the order in which the figures came first; rows by experiment and variant.
    std::vector<std::string> columns, rows;
    std::map<std::pair<std::string, std::string>, std::vector<double>> cells;
    std::map<std::string, std::set<std::uint32_t>> seeds;
    for (const auto &each : runs) {
        if (!each.void_because.empty())
            continue;
        const std::string row = each.experiment + (each.variant == "harrierpass" ? "" : ", " + each.variant);
        const auto add = [&](const std::string &column, double value) {
            if (std::find(columns.begin(), columns.end(), column) == columns.end())
                columns.push_back(column);
            cells[{row, column}].push_back(value);
        };
        if (std::find(rows.begin(), rows.end(), row) == rows.end())
            rows.push_back(row);
        seeds[row].insert(each.seed);
        const auto count = static_cast<double>(std::max<std::uint64_t>(1, each.queries));
        add("service", each.service);
        add("rules", static_cast<double>(each.broken()));
        add("fetches_a_query", static_cast<double>(each.fetches) / count);
        add("p99_ms", each.p99 * 1000);
        for (const auto &[name, value] : each.fleet)
            add(name, value);
    }
    std::ostringstream text;
    text << "| figure |";
    for (const auto &row : rows)
        text << ' ' << row << " (" << seeds[row].size() << ") |";
    text << "\n| --- |";
    for (std::size_t i = 0; i < rows.size(); ++i)
        text << " --- |";
    text << '\n';
    for (const auto &column : columns) {
        text << "| " << column << " |";
        for (const auto &row : rows) {
            const auto found = cells.find({row, column});
            if (found == cells.end()) {
                text << " - |";
                continue;
            }
            // Rules broken are added up; all else is the seeds' median.
            const double value = column == "rules"
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
    std::map<std::string, std::vector<std::string>> variants; // in the order in which they came
    std::map<std::tuple<std::string, std::string, std::uint32_t>, double> service;
    std::map<std::pair<std::string, std::string>, std::uint64_t> rules;
    for (const auto &each : runs) {
        if (!each.void_because.empty())
            continue;
        if (std::find(experiments.begin(), experiments.end(), each.experiment) == experiments.end())
            experiments.push_back(each.experiment);
        auto &known = variants[each.experiment];
        if (std::find(known.begin(), known.end(), each.variant) == known.end())
            known.push_back(each.variant);
        service[{each.experiment, each.variant, each.seed}] = each.service;
        rules[{each.experiment, each.variant}] += each.broken();
    }
    std::vector<comparison> all;
    for (const auto &name : experiments)
        for (std::size_t i = 1; i < variants[name].size(); ++i) {
            comparison made{name, variants[name][0], variants[name][i]};
            std::vector<double> base, other, differences;
            for (const auto &[key, value] : service) {
                if (std::get<0>(key) != name || std::get<1>(key) != made.base)
                    continue;
                const auto pair = service.find({name, made.other, std::get<2>(key)});
                if (pair == service.end())
                    continue;
                base.push_back(value);
                other.push_back(pair->second);
                differences.push_back(pair->second - value);
            }
            made.pairs = differences.size();
            made.base_broken = rules[{name, made.base}];
            made.other_broken = rules[{name, made.other}];
            made.base_median = median(base);
            made.other_median = median(other);
            made.base_spread = spread(base);
            made.other_spread = spread(other);
            const auto count = static_cast<double>(made.pairs);
            for (const double each : differences)
                made.difference += each / count;
            double squares = 0;
            for (const double each : differences)
                squares += (each - made.difference) * (each - made.difference);
            if (made.pairs >= 2)
                made.noise = student[std::min(student.size(), made.pairs - 1) - 1] *
                             std::sqrt(squares / (count - 1) / count);
            all.push_back(std::move(made));
        }
    return all;
}

void print(std::ostream &to, const std::vector<comparison> &all) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    text << "| experiment | variant | seeds | median | spread | against | median | spread | difference | "
            "verdict | "
            "rules broken |\n"
         << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto &each : all)
        text << "| " << each.experiment << " | " << each.other << " | " << each.pairs << " | "
             << each.other_median << " | " << each.other_spread << " | " << each.base << " | "
             << each.base_median << " | " << each.base_spread << " | " << std::showpos << each.difference
             << std::noshowpos << " +- " << each.noise << " | "
             << (each.pairs < 2        ? "one seed tells nothing"
                 : !each.differs()     ? "within the noise"
                 : each.difference > 0 ? "better"
                                       : "worse")
             << " | " << each.other_broken << ", " << each.base_broken << " |\n";
    to << text.str() << std::flush;
}

} // namespace harrierpass::testbed
