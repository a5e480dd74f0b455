// SPDX-License-Identifier: Apache-2.0
#include "simulator_adapter/wire_messages.hpp"

#include "settings/settings_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace harrierpass::simulator_adapter {
namespace {

using std::string_view;

constexpr double milliseconds_per_second = 1000;
constexpr std::uint64_t write_flag = 4;   // bit in the flags of a request
constexpr index first_fetched_detail = 2; // minimum detail of an attempt that was fetched from the origin
constexpr std::uint32_t seed_range = 2147483647; // exclusive limit of the router's seeds
constexpr string_view list_entry_prefix = "ITEM ";
constexpr string_view in_flight_field = "concurrent:"; // field of a load report

template <typename Kind, std::size_t size> using name_table = std::array<std::pair<string_view, Kind>, size>;

constexpr name_table<message_kind, 11> message_names = {
    {{"POOL", message_kind::endpoint_list},
     {"BOOT", message_kind::start_instance},
     {"INBOX", message_kind::peer_messages},
     {"MEMBERSHIP", message_kind::endpoints_updated},
     {"ARRIVAL", message_kind::request_received},
     {"ATTEMPT_END", message_kind::attempt_finished},
     {"STARTED", message_kind::response_started},
     {"ABORTED", message_kind::client_disconnected},
     {"TEARDOWN", message_kind::stop_instance},
     {"HEALTH_RESULT", message_kind::health_check_finished},
     {"WAKEUP", message_kind::timer}}};
constexpr name_table<endpoint_update_kind, 4> update_names = {
    {{"delta", endpoint_update_kind::delta},
     {"full", endpoint_update_kind::snapshot},
     {"cached", endpoint_update_kind::cached_snapshot},
     {"failed", endpoint_update_kind::poll_failed}}};
constexpr name_table<endpoint_state, 3> state_names = {{{"healthy", endpoint_state::ready},
                                                        {"cordoned", endpoint_state::draining},
                                                        {"deregistered", endpoint_state::removed}}};
constexpr name_table<outcome, 9> outcome_names = {{{"Ok", outcome::completed},
                                                   {"Failed", outcome::error},
                                                   {"QueueFull", outcome::overloaded},
                                                   {"TimedOut", outcome::timed_out},
                                                   {"ConnectError", outcome::connect_error},
                                                   {"ResetByPeer", outcome::reset},
                                                   {"Canceled", outcome::canceled},
                                                   {"Ignored", outcome::discarded_unread},
                                                   {"Miss", outcome::cache_miss}}};
constexpr name_table<bool, 2> final_names = {{{"0", false}, {"1", true}}};

// Returns the kind with this name. Throws parse_error with `error_message` if there is none.
template <typename Kind, std::size_t size>
Kind kind_of(string_view word, const name_table<Kind, size> &names, const char *error_message) {
    const auto found = std::ranges::find(names, word, [](const auto &each) { return each.first; });
    if (found == names.end())
        throw parse_error{error_message};
    return found->second;
}

// Parses a load report and ignores its unknown fields. A missing or malformed report counts as no report, so
// that the result in the same message is still used.
load_report parse_load_report(line_parser &line) {
    load_report report;
    try {
        string_view fields = line.word();
        while (!fields.empty()) {
            const string_view field = fields.substr(0, fields.find(','));
            fields = field.size() < fields.size() ? fields.substr(field.size() + 1) : string_view{};
            if (field.starts_with(in_flight_field))
                report.in_flight =
                    parse_number<double>(field.substr(in_flight_field.size()), "the load is no number");
        }
    } catch (const parse_error &) {
        report = {};
    }
    return report;
}

// Appends a time or a duration in milliseconds.
void append_milliseconds(std::string &reply, double seconds) {
    std::array<char, 40> text{};
    constexpr int decimals = 3;
    const auto end = std::to_chars(text.data(), text.data() + text.size(), seconds * milliseconds_per_second,
                                   std::chars_format::fixed, decimals)
                         .ptr;
    reply.append(text.data(), end);
}

// Returns the first word of an action's line.
string_view action_name(action_kind kind) {
    switch (kind) {
    case action_kind::start_attempt:
        return "CALL_OUT";
    case action_kind::cancel_attempt:
        return "CANCEL";
    case action_kind::reject_request:
        return "TURN_AWAY";
    case action_kind::fail_request:
        return "LOSE";
    case action_kind::check_health:
        return "SOUND_OUT";
    case action_kind::set_timer:
        return "WAKE_AT";
    case action_kind::watch_endpoints:
        return "SUBSCRIBE";
    case action_kind::release_request:
        break;
    }
    return {};
}

} // namespace

message_kind parse_message_kind(line_parser &line) {
    return kind_of(line.word(), message_names, "unknown message");
}

bool opens_batch(string_view line) {
    return line.starts_with("BATCH ") || line == "BATCH";
}

bool closes_batch(string_view line) {
    return line == "OVER_TO_YOU";
}

double parse_batch_time(string_view line) {
    line_parser values(line);
    values.skip();
    return values.number<double>("the batch time is no number") / milliseconds_per_second;
}

index parse_instance_number(line_parser &line) {
    return line.number<index>("the instance is no number");
}

endpoint_list_header parse_endpoint_list_header(line_parser &line) {
    endpoint_list_header header;
    header.list_number = line.number<index>("the list's number is no number");
    header.entry_count = line.number<index>("the list's length is no number");
    return header;
}

bool is_endpoint_list_entry(string_view line) {
    return line.starts_with(list_entry_prefix);
}

endpoint_list_entry parse_endpoint_list_entry(string_view line) {
    line_parser values(line);
    values.skip();
    endpoint_list_entry entry;
    const auto started_at = values.optional_number<double>("the start time is no number");
    entry.info.started_at = started_at.value_or(0) / milliseconds_per_second;
    entry.info.kind = kind_index(values.optional_number<index>("the kind is no number").value_or(none));
    entry.info.weight = values.optional_number<double>("the size is no number").value_or(1);
    entry.info.state = kind_of(values.word(), state_names, "unknown state");
    entry.id = values.word();
    entry.info.zone = zone_index(values.optional_number<index>("the zone is no number").value_or(none));
    entry.info.cell = cell_index(values.optional_number<index>("the cell is no number").value_or(none));
    return entry;
}

start_instance_message parse_start_instance(line_parser &line) {
    start_instance_message message;
    message.instance_number = parse_instance_number(line);
    const auto seed = line.number<std::uint64_t>("the seed is no number");
    message.seed = static_cast<std::uint32_t>(seed % seed_range);
    message.settings = read_router_settings(read_fields(line.rest()));
    return message;
}

endpoints_updated_message parse_endpoints_updated(line_parser &line) {
    endpoints_updated_message message;
    message.kind = kind_of(line.word(), update_names, "unknown kind of endpoint update");
    if (message.kind == endpoint_update_kind::poll_failed)
        return message;
    line.skip();
    message.list_number = line.number<index>("the list's number is no number");
    return message;
}

request_received_message parse_request_received(line_parser &line) {
    request_received_message message;
    message.request_id = line.word();
    request_info &request = message.request;
    const auto flags = line.optional_number<std::uint64_t>("the flags are no number").value_or(0);
    request.is_write = (flags & write_flag) != 0;
    line.skip(); // the size of the value
    request.class_id = class_index(line.number<index>("the class is no number"));
    const auto key = line.optional_number<std::uint64_t>("the key is no number");
    request.has_key = key.has_value();
    request.key = key.value_or(0);
    request.deadline = line.number<double>("the deadline is no number") / milliseconds_per_second;
    line.skip(); // the hint
    request.tenant = tenant_index(line.optional_number<index>("the tenant is no number").value_or(0));
    return message;
}

attempt_finished_message parse_attempt_finished(line_parser &line) {
    attempt_finished_message message;
    message.request_id = line.word();
    message.attempt = attempt_number(line.number<index>("the attempt is no number"));
    line.skip(); // the endpoint, which the router has stored
    message.result = kind_of(line.word(), outcome_names, "unknown outcome");
    line.skip(); // the duration
    message.is_final = kind_of(line.word(), final_names, "noMore is neither 0 nor 1");
    const auto detail = line.optional_number<index>("the detail is no number").value_or(0);
    message.fetched = detail >= first_fetched_detail;
    message.report = parse_load_report(line);
    return message;
}

health_check_finished_message parse_health_check_finished(line_parser &line) {
    health_check_finished_message message;
    message.endpoint_id = line.word();
    message.answered = line.word() == "Ok";
    if (!line.rest().empty())
        line.skip(); // the duration
    message.report = parse_load_report(line);
    return message;
}

void append_action(std::string &reply, index instance_number, const action &router_action,
                   const action_ids &ids) {
    const string_view name = action_name(router_action.kind);
    if (name.empty())
        return;
    reply.append(name).append(" ").append(std::to_string(instance_number)).append(" ");
    switch (router_action.kind) {
    case action_kind::start_attempt:
        reply.append(ids.request).append(" ").append(ids.endpoint).append(" -");
        break;
    case action_kind::cancel_attempt:
        reply.append(ids.request).append(" ").append(std::to_string(router_action.attempt.value()));
        break;
    case action_kind::reject_request:
        reply.append(ids.request).append(" ");
        append_milliseconds(reply, router_action.time);
        break;
    case action_kind::fail_request:
        reply.append(ids.request);
        break;
    case action_kind::check_health:
        reply.append(ids.endpoint);
        break;
    case action_kind::set_timer:
        append_milliseconds(reply, router_action.time);
        reply.append(" sweep");
        break;
    case action_kind::watch_endpoints:
        reply.append("1");
        break;
    case action_kind::release_request:
        break;
    }
    reply += '\n';
}

void append_end_of_reply(std::string &reply) {
    reply += "OK\n";
}

} // namespace harrierpass::simulator_adapter
