// SPDX-License-Identifier: Apache-2.0
// The front for the simulator: reads its wire, hands the events to one router for each instance and prints
// what they decide. It decides nothing. Text ids become small indices here and milliseconds become seconds.
#include "settings/settings_reader.hpp"
#include "subsets/subset_router.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace {

using namespace harrierpass;
using std::string_view;

using bad_line = parse_error;

struct text_hash {
    using is_transparent = void;
    std::size_t operator()(string_view text) const { return std::hash<string_view>{}(text); }
};
using id_map = std::unordered_map<std::string, index, text_hash, std::equal_to<>>;

// The parts of one line, taken from the left.
class parts {
public:
    explicit parts(string_view line) : left_(line) {}

    string_view word() {
        if (done_)
            throw bad_line{"too few values"};
        const auto space = left_.find(' ');
        const string_view part = left_.substr(0, space);
        done_ = space == string_view::npos;
        left_ = done_ ? string_view{} : left_.substr(space + 1);
        if (part.empty())
            throw bad_line{"an empty value"};
        return part;
    }
    string_view rest() const { return left_; }
    template <typename Number> Number number(const char *fault) {
        const auto value = maybe<Number>(fault);
        if (!value)
            throw bad_line{fault};
        return *value;
    }
    template <typename Number> std::optional<Number> maybe(const char *fault) {
        const string_view part = word();
        if (part == "-")
            return std::nullopt;
        return parse_number<Number>(part, fault);
    }

private:
    string_view left_;
    bool done_ = false;
};

struct pool_item {
    double started;
    index kind, zone, cell;
    double weight;
    endpoint_state state;
    std::string id;
};

struct instance {
    std::unique_ptr<router> decides;
    id_map query_index, server_index;
    std::vector<std::string> query_ids, server_ids;
    std::vector<index> free_queries;
    index use_cases = 0;

    index server(string_view id, bool add) {
        const auto found = server_index.find(id);
        if (found != server_index.end())
            return found->second;
        if (!add)
            return none;
        const auto made = static_cast<index>(server_ids.size());
        server_ids.emplace_back(id);
        server_index.emplace(id, made);
        return made;
    }
};

class wire_link {
public:
    int run();

private:
    void follow(string_view line);
    void pool(parts &line);
    void boot(parts &line);
    void membership(instance &to, parts &line);
    void arrival(instance &to, parts &line);
    void attempt_end(instance &to, parts &line);
    static load_report report(parts &line);
    void print(index who, instance &from);
    void put(double seconds);
    instance &known(index who);
    bool next() {
        ++number_;
        return static_cast<bool>(std::getline(std::cin, line_));
    }
    void complain(const char *why) const {
        std::cerr << "harrierpass_simulator_adapter: line " << number_ << ": " << why << ": "
                  << line_.substr(0, 80) << '\n';
    }

    double now_ = 0;
    std::size_t number_ = 0;
    bool again_ = false; // the line at hand was read ahead
    std::string line_, reply_;
    std::map<index, instance> instances_;
    std::map<index, std::vector<pool_item>> pools_;
};

instance &wire_link::known(index who) {
    const auto found = instances_.find(who);
    if (found == instances_.end())
        throw bad_line{"unknown instance"};
    return found->second;
}

// Guards against a stream cut or damaged between batches: without its clock nothing after it is sure.
int wire_link::run() {
    bool inside = false;
    while (again_ || next()) {
        again_ = false;
        const bool opens = line_.starts_with("BATCH ") || line_ == "BATCH";
        try {
            if (opens != !inside) {
                complain(inside ? "a batch inside a batch; cannot follow" : "outside a batch; cannot follow");
                return 1;
            }
            if (opens) {
                parts head(line_);
                head.word();
                now_ = head.number<double>("the clock is no number") / 1000;
                inside = true;
                reply_.clear();
            } else if (line_ == "OVER_TO_YOU") {
                inside = false;
                reply_ += "OK\n";
                std::fwrite(reply_.data(), 1, reply_.size(), stdout);
                std::fflush(stdout);
            } else {
                follow(line_);
            }
        } catch (const bad_line &bad) {
            complain(bad.reason);
            if (opens)
                return 1;
        }
    }
    if (inside)
        complain("the input ends inside a batch");
    return inside ? 1 : 0;
}

void wire_link::follow(string_view text) {
    parts line(text);
    const string_view name = line.word();
    if (name == "POOL")
        return pool(line);
    if (name == "BOOT")
        return boot(line);
    static constexpr std::array<string_view, 8> names = {"MEMBERSHIP", "ARRIVAL",  "ATTEMPT_END",   "STARTED",
                                                         "ABORTED",    "TEARDOWN", "HEALTH_RESULT", "WAKEUP"};
    if (name == "INBOX") // proxies send each other nothing yet
        return;
    if (std::find(names.begin(), names.end(), name) == names.end())
        throw bad_line{"unknown message"};
    const auto who = line.number<index>("the instance is no number");
    auto &to = known(who);
    if (name == "TEARDOWN") {
        instances_.erase(who);
        return;
    }
    if (name == "ARRIVAL") {
        arrival(to, line);
    } else if (name == "ATTEMPT_END") {
        attempt_end(to, line);
    } else if (name == "MEMBERSHIP") {
        membership(to, line);
    } else if (name == "WAKEUP") {
        to.decides->on_timer(now_);
    } else if (name == "HEALTH_RESULT") {
        const index server = to.server(line.word(), false);
        if (server == none)
            throw bad_line{"unknown cache node"};
        const bool answered = line.word() == "Ok";
        if (!line.rest().empty())
            line.word(); // the time it took decides nothing
        to.decides->on_health_check_finished(now_, server, answered, report(line));
    } else {
        const auto found = to.query_index.find(line.word());
        if (found == to.query_index.end())
            return; // ended just before, in this very batch
        if (name == "STARTED")
            to.decides->on_response_started(now_, found->second);
        else
            to.decides->on_client_disconnected(now_, found->second);
    }
    print(who, to);
}

void wire_link::pool(parts &line) {
    const auto sheet = line.number<index>("the list's number is no number");
    const auto count = line.number<index>("the list's length is no number");
    std::vector<pool_item> items;
    pools_.erase(sheet);
    for (index i = 0; i < count; ++i) {
        if (!next()) // the end of the input is told by run()
            return;
        if (!line_.starts_with("ITEM ")) {
            again_ = true;
            throw bad_line{"a list shorter than it says; dropped"};
        }
        try {
            parts item(line_);
            item.word();
            pool_item made{};
            made.started = item.maybe<double>("the start is no number").value_or(0) / 1000;
            made.kind = item.maybe<index>("the kind is no number").value_or(none);
            made.weight = item.maybe<double>("the size is no number").value_or(1);
            const string_view state = item.word();
            if (state != "healthy" && state != "cordoned" && state != "deregistered")
                throw bad_line{"unknown state"};
            made.state = state == "healthy"    ? endpoint_state::ready
                         : state == "cordoned" ? endpoint_state::draining
                                               : endpoint_state::removed;
            made.id = item.word();
            made.zone = item.maybe<index>("the zone is no number").value_or(none);
            made.cell = item.maybe<index>("the cell is no number").value_or(none);
            items.push_back(std::move(made));
        } catch (const bad_line &bad) {
            complain(bad.reason);
        }
    }
    pools_[sheet] = std::move(items);
}

void wire_link::boot(parts &line) {
    const auto who = line.number<index>("the instance is no number");
    const auto salt = line.number<std::uint64_t>("the seed is no number");
    const router_settings given = read_router_settings(read_fields(line.rest()));
    auto &made = instances_[who] = instance{};
    made.use_cases = static_cast<index>(given.request_classes.size());
    made.decides = subsets::make_subset_router(given, static_cast<std::uint32_t>(salt % 2147483647U), now_);
    print(who, made);
}

void wire_link::membership(instance &to, parts &line) {
    const string_view kind = line.word();
    const endpoint_update_kind meant = kind == "delta"    ? endpoint_update_kind::delta
                                       : kind == "full"   ? endpoint_update_kind::snapshot
                                       : kind == "cached" ? endpoint_update_kind::cached_snapshot
                                                          : endpoint_update_kind::poll_failed;
    if (meant == endpoint_update_kind::poll_failed && kind != "failed")
        throw bad_line{"unknown kind of list"};
    std::vector<endpoint_info> entries;
    if (meant != endpoint_update_kind::poll_failed) {
        line.word();
        const auto found = pools_.find(line.number<index>("the list's number is no number"));
        if (found == pools_.end())
            throw bad_line{"unknown list"};
        for (const auto &item : found->second)
            entries.push_back({to.server(item.id, true), item.id, item.started, item.kind, item.zone,
                               item.cell, item.weight, item.state});
    }
    to.decides->on_endpoints_updated(now_, meant, entries);
}

void wire_link::arrival(instance &to, parts &line) {
    const std::string id(line.word());
    const auto bits = line.maybe<std::uint64_t>("the bits are no number").value_or(0);
    line.word(); // the size of the value decides nothing
    request_info made;
    made.class_id = line.number<index>("the class is no number");
    const auto key = line.maybe<std::uint64_t>("the key is no number");
    made.has_key = key.has_value();
    made.key = key.value_or(0);
    made.deadline = line.number<double>("the deadline is no number") / 1000;
    line.word(); // nor does the hint
    made.tenant = line.maybe<index>("the tenant is no number").value_or(0);
    made.is_write = (bits & 4) != 0;
    if (made.class_id >= to.use_cases)
        throw bad_line{"unknown class"};
    if (to.query_index.contains(id))
        throw bad_line{"the id came before"};
    if (to.free_queries.empty()) {
        made.request = static_cast<index>(to.query_ids.size());
        to.query_ids.push_back(id);
    } else {
        made.request = to.free_queries.back();
        to.free_queries.pop_back();
        to.query_ids[made.request] = id;
    }
    to.query_index.emplace(id, made.request);
    to.decides->on_request(now_, made);
}

void wire_link::attempt_end(instance &to, parts &line) {
    static constexpr std::array<string_view, 9> codes = {"Ok",       "Failed",       "QueueFull",
                                                         "TimedOut", "ConnectError", "ResetByPeer",
                                                         "Canceled", "Ignored",      "Miss"};
    const auto found = to.query_index.find(line.word());
    const auto execution = line.number<index>("the attempt is no number");
    line.word(); // the server is known from the send
    const auto code = std::find(codes.begin(), codes.end(), line.word());
    if (code == codes.end())
        throw bad_line{"unknown outcome"};
    line.word(); // so is the time since then
    const string_view over = line.word();
    if (over != "0" && over != "1")
        throw bad_line{"noMore is neither 0 nor 1"};
    const auto note = line.maybe<index>("the detail is no number").value_or(0);
    if (found == to.query_index.end())
        throw bad_line{"unknown request"};
    to.decides->on_attempt_finished(now_, found->second, execution,
                                    static_cast<outcome>(code - codes.begin()), over == "1", note > 1,
                                    report(line));
}

// What decides something; the rest is passed over. Guards an outcome against the report that came with it:
// one that is missing or damaged is none.
load_report wire_link::report(parts &line) {
    load_report told;
    try {
        string_view left = line.word();
        while (!left.empty()) {
            const string_view pair = left.substr(0, left.find(','));
            left = pair.size() < left.size() ? left.substr(pair.size() + 1) : string_view{};
            if (pair.starts_with("concurrent:"))
                told.in_flight =
                    parse_number<double>(pair.substr(pair.find(':') + 1), "a report is no number");
        }
    } catch (const bad_line &) {
        told = {};
    }
    return told;
}

void wire_link::put(double seconds) {
    std::array<char, 40> text{};
    const auto end =
        std::to_chars(text.data(), text.data() + text.size(), seconds * 1000, std::chars_format::fixed, 3)
            .ptr;
    reply_.append(text.data(), end);
    reply_ += ' ';
}

void wire_link::print(index who, instance &from) {
    const std::string number = std::to_string(who) + " ";
    for (const auto &act : from.decides->actions) {
        const auto start = [&](const char *name) { reply_.append(name).append(" ").append(number); };
        const auto query_id = [&]() -> const std::string & { return from.query_ids[act.request]; };
        switch (act.kind) {
        case action_kind::start_attempt:
            start("CALL_OUT");
            reply_.append(query_id()).append(" ").append(from.server_ids[act.endpoint]).append(" -");
            break;
        case action_kind::cancel_attempt:
            start("CANCEL");
            reply_.append(query_id()).append(" ").append(std::to_string(act.attempt));
            break;
        case action_kind::reject_request:
            start("TURN_AWAY");
            reply_.append(query_id()).append(" ");
            put(act.time);
            reply_.pop_back();
            break;
        case action_kind::fail_request:
            start("LOSE");
            reply_.append(query_id());
            break;
        case action_kind::check_health:
            start("SOUND_OUT");
            reply_.append(from.server_ids[act.endpoint]);
            break;
        case action_kind::set_timer:
            start("WAKE_AT");
            put(act.time);
            reply_.append("sweep");
            break;
        case action_kind::watch_endpoints:
            start("SUBSCRIBE");
            reply_.append("1");
            break;
        case action_kind::release_request:
            from.query_index.erase(query_id());
            from.free_queries.push_back(act.request);
            continue;
        }
        reply_ += '\n';
    }
    from.decides->actions.clear();
}

} // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return wire_link().run();
}
