// SPDX-License-Identifier: Apache-2.0
// Plays a script of events to a router and writes it out again with the decisions taken after each event.
// A line that starts with a digit is an event at that time; decisions are indented; the first lines set up.
#pragma once

#include "router/router.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>

namespace harrierpass::test {

inline std::string read_file(const std::string &path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

class script {
public:
    std::string play(const std::string &text) {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("    ") || line.empty())
                continue; // a decision of the kept trace
            out_ << line << '\n';
            if (line[0] == '#')
                continue;
            std::istringstream words(line);
            if (line[0] >= '0' && line[0] <= '9') {
                if (!router_)
                    router_ = make_router(settings_, 1, 0);
                event(words);
                print();
            } else {
                set_up(words);
            }
        }
        return out_.str();
    }

private:
    static long place(const std::vector<std::string> &names, const std::string &word) {
        return std::find(names.begin(), names.end(), word) - names.begin();
    }

    void set_up(std::istringstream &words) {
        std::string name;
        words >> name;
        if (name == "use_case") {
            use_case use;
            std::string effect, group;
            words >> effect >> group >> use.window >> use.slo_time >> use.importance;
            use.effect =
                static_cast<effect_kind>(place({"idempotent", "deduplicated", "non_idempotent"}, effect));
            use.group = static_cast<repeat_group>(place({"all", "zone", "cell"}, group));
            settings_.use_cases.push_back(use);
            return;
        }
        double value = 0;
        words >> value;
        auto &cold = settings_.cold;
        auto &allow = settings_.allow;
        const std::map<std::string, double *> numbers = {{"start_capacity", &cold.start_capacity},
                                                         {"warm_time", &cold.warm_time},
                                                         {"max_advice", &allow.max_advice},
                                                         {"excess_importance", &settings_.excess_importance}};
        const std::map<std::string, bool *> flags = {{"copies", &allow.second_copies},
                                                     {"may_cancel", &allow.may_cancel},
                                                     {"may_probe", &allow.may_probe},
                                                     {"subscribe", &allow.must_subscribe}};
        const std::map<std::string, index *> counts = {{"executions", &allow.max_executions},
                                                       {"peers", &settings_.peers},
                                                       {"origin", &settings_.origin_kind}};
        if (numbers.contains(name))
            *numbers.at(name) = value;
        else if (flags.contains(name))
            *flags.at(name) = value != 0;
        else if (name == "tenant")
            settings_.tenant_quota.push_back(value);
        else
            *counts.at(name) = static_cast<index>(value);
    }

    index server(const std::string &name) {
        const auto at = static_cast<index>(place(names_, name));
        if (at == names_.size())
            names_.push_back(name);
        return at;
    }

    // TIME list KIND {NAME[/KIND][@ZONE][*STARTED][!|-]} | query ID USE [key=K] [tenant=T] [write] end=T
    //   | end ID EXECUTION OUTCOME [over] | left ID | probed NAME 0/1 | wake [UNTIL]
    void event(std::istringstream &words) {
        double now = 0;
        std::string what, word;
        words >> now >> what;
        if (what == "list") {
            words >> word;
            const auto kind = static_cast<list_kind>(place({"changes", "whole", "cached", "lost"}, word));
            std::vector<list_entry> entries;
            for (std::string item; words >> item;) {
                list_entry entry;
                entry.state = item.back() == '!'   ? listing::draining
                              : item.back() == '-' ? listing::gone
                                                   : entry.state;
                const auto field = [&](char mark) {
                    const auto at = item.find(mark);
                    return at == std::string::npos ? 0.0 : std::stod(item.substr(at + 1));
                };
                entry.kind = static_cast<index>(field('/'));
                entry.zone = static_cast<index>(field('@'));
                entry.cell = entry.zone;
                entry.started = field('*');
                entry.server = server(item.substr(0, item.find_first_of("/@*!-")));
                entries.push_back(entry);
            }
            for (auto &entry : entries) // names_ holds still now
                entry.id = names_[entry.server];
            router_->listed(now, kind, entries);
        } else if (what == "query") {
            new_query made;
            words >> made.query >> made.use_case;
            for (std::string item; words >> item;) {
                made.write = made.write || item == "write";
                if (item.starts_with("key="))
                    made.has_key = true, made.key = std::stoull(item.substr(4));
                if (item.starts_with("tenant="))
                    made.tenant = static_cast<index>(std::stoul(item.substr(7)));
                if (item.starts_with("end="))
                    made.statement_end = std::stod(item.substr(4));
            }
            router_->arrived(now, made);
        } else if (what == "end") {
            index query = 0, execution = 0;
            std::string over;
            words >> query >> execution >> word >> over;
            const auto at = place({"completed", "error", "queue_full", "timed_out", "connect_error", "reset",
                                   "canceled", "ignored", "miss"},
                                  word);
            router_->ended(now, query, execution, static_cast<outcome>(at), over == "over", false);
        } else if (what == "left") {
            index query = 0;
            words >> query;
            router_->left(now, query);
        } else if (what == "probed") {
            bool answered = false;
            words >> word >> answered;
            router_->probed(now, server(word), answered);
        } else if (what == "wake") {
            double until = now;
            words >> until;
            for (; now <= until + 1e-9; now += 0.05) {
                router_->woken(now);
                print(now);
            }
        } else {
            throw std::runtime_error("unknown event " + what);
        }
    }

    void print(double at = -1) {
        static constexpr std::array<const char *, 8> kinds = {"send",    "cancel", "reject", "abort",
                                                              "release", "probe",  "wake",   "subscribe"};
        for (const auto &act : router_->actions) {
            if (act.kind == action_kind::wake)
                continue;
            out_ << "    " << kinds[static_cast<std::size_t>(act.kind)];
            if (act.query != none)
                out_ << ' ' << act.query;
            if (act.kind == action_kind::cancel)
                out_ << '.' << act.execution;
            if (act.server != none)
                out_ << " -> " << names_[act.server];
            if (act.time > 0)
                out_ << " back in " << act.time;
            if (at >= 0)
                out_ << " at " << at;
            out_ << '\n';
        }
        router_->actions.clear();
    }

    settings settings_;
    std::unique_ptr<router> router_;
    std::vector<std::string> names_;
    std::ostringstream out_;
};

} // namespace harrierpass::test
