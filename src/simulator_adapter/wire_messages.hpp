// SPDX-License-Identifier: Apache-2.0
// The messages of the simulator's protocol as types, parsed from their lines and written to them. The
// protocol's words and units are mapped to the router's here and nowhere else: text ids stay text,
// milliseconds become seconds. No I/O. Every parser throws parse_error where its line cannot be used.
#pragma once

#include "router/types.hpp"
#include "simulator_adapter/line_parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace harrierpass::simulator_adapter {

// What the simulator reports.
enum class message_kind : std::uint8_t {
    endpoint_list,         // POOL: so many lines with an entry each follow
    start_instance,        // BOOT
    peer_messages,         // INBOX: proxies send each other nothing
    endpoints_updated,     // MEMBERSHIP
    request_arrived,       // ARRIVAL
    attempt_finished,      // ATTEMPT_END
    response_started,      // STARTED
    client_disconnected,   // ABORTED
    stop_instance,         // TEARDOWN
    health_check_finished, // HEALTH_RESULT
    timer                  // WAKEUP
};

// Takes the word that begins a line.
message_kind parse_message_kind(line_parser &line);

// Whether the line opens a batch of messages.
bool opens_batch(std::string_view line);
// Whether the line closes the batch.
bool closes_batch(std::string_view line);

// The time of a batch, in s.
double parse_batch_time(std::string_view line);

// Takes the number of the instance that a message is for.
index parse_instance_number(line_parser &line);

// The head of an endpoint list.
struct endpoint_list_header {
    index list_number = 0;
    index entry_count = 0;
};

// Takes the head of a list off its line.
endpoint_list_header parse_endpoint_list_header(line_parser &line);

// An entry of an endpoint list; its index is that of an instance.
struct endpoint_list_entry {
    std::string id;
    endpoint_info info; // without index and id
};

// Whether the line is an entry at all.
bool is_endpoint_list_entry(std::string_view line);

// Reads a line with an entry.
endpoint_list_entry parse_endpoint_list_entry(std::string_view line);

// An instance starts, or starts over.
struct start_instance_message {
    index instance_number = 0;
    std::uint32_t seed = 0;
    router_settings settings;
};

// Takes the message off its line; it is not followed by parse_instance_number().
start_instance_message parse_start_instance(line_parser &line);

// The endpoint list changed, or the poll for it failed.
struct endpoints_updated_message {
    endpoint_update_kind kind = endpoint_update_kind::poll_failed;
    index list_number = none; // none where the poll failed
};

// Takes the message off the rest of its line.
endpoints_updated_message parse_endpoints_updated(line_parser &line);

// A client sent a request.
struct request_arrived_message {
    std::string request_id;
    request_info request; // without its index
};

// Takes the message off the rest of its line.
request_arrived_message parse_request_arrived(line_parser &line);

// An attempt finished.
struct attempt_finished_message {
    std::string_view request_id; // in the line
    attempt_number attempt{};
    outcome result = outcome::error;
    bool is_final = false; // the request has its final response
    bool fetched = false;  // the endpoint had to ask the origin
    load_report report;
};

// Takes the message off the rest of its line.
attempt_finished_message parse_attempt_finished(line_parser &line);

// A health check was answered or failed.
struct health_check_finished_message {
    std::string_view endpoint_id; // in the line
    bool answered = false;
    load_report report;
};

// Takes the message off the rest of its line.
health_check_finished_message parse_health_check_finished(line_parser &line);

// The ids that an action's line names; empty where it names none.
struct action_ids {
    std::string_view request;
    std::string_view endpoint;
};

// Appends the line of an action. A released request has none, as the simulator keeps no index.
void append_action(std::string &reply, index instance_number, const action &decided, const action_ids &ids);

// Appends the line that ends the reply to a batch.
void append_end_of_reply(std::string &reply);

} // namespace harrierpass::simulator_adapter
