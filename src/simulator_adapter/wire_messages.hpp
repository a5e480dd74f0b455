// SPDX-License-Identifier: Apache-2.0
// Message types of the simulator's protocol, with their parsers and writers. Only this module maps the
// protocol's names and units to the router's: ids stay text, milliseconds become seconds. No I/O. Every
// parser throws parse_error if its line is invalid.
#pragma once

#include "router/types.hpp"
#include "simulator_adapter/line_parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace harrierpass::simulator_adapter {

// Kind of a message from the simulator.
enum class message_kind : std::uint8_t {
    endpoint_list,         // POOL: followed by one line per entry
    start_instance,        // BOOT
    peer_messages,         // INBOX: ignored, as proxies do not send messages to each other
    endpoints_updated,     // MEMBERSHIP
    request_received,      // ARRIVAL
    attempt_finished,      // ATTEMPT_END
    response_started,      // STARTED
    client_disconnected,   // ABORTED
    stop_instance,         // TEARDOWN
    health_check_finished, // HEALTH_RESULT
    timer                  // WAKEUP
};

// Parses the first word of a line.
message_kind parse_message_kind(line_parser &line);

// Whether the line opens a batch of messages.
bool opens_batch(std::string_view line);
// Whether the line closes the batch.
bool closes_batch(std::string_view line);

// Parses the time of a batch, in seconds.
double parse_batch_time(std::string_view line);

// Parses the number of the instance to which a message is addressed.
index parse_instance_number(line_parser &line);

// Header of an endpoint list.
struct endpoint_list_header {
    index list_number = 0;
    index entry_count = 0;
};

// Parses the header of an endpoint list.
endpoint_list_header parse_endpoint_list_header(line_parser &line);

// Entry of an endpoint list. Its index differs between instances.
struct endpoint_list_entry {
    std::string id;
    endpoint_info info; // without index and id
};

// Whether the line is an entry of an endpoint list.
bool is_endpoint_list_entry(std::string_view line);

// Parses an entry of an endpoint list.
endpoint_list_entry parse_endpoint_list_entry(std::string_view line);

// An instance starts or restarts.
struct start_instance_message {
    index instance_number = 0;
    std::uint32_t seed = 0;
    router_settings settings;
};

// Parses the message with its instance number, so that parse_instance_number() is not called.
start_instance_message parse_start_instance(line_parser &line);

// The endpoint list changed, or the poll for it failed.
struct endpoints_updated_message {
    endpoint_update_kind kind = endpoint_update_kind::poll_failed;
    index list_number = none; // none if the poll failed
};

// Parses the message after its instance number.
endpoints_updated_message parse_endpoints_updated(line_parser &line);

// A client sent a request.
struct request_received_message {
    std::string request_id;
    request_info request; // without its index
};

// Parses the message after its instance number.
request_received_message parse_request_received(line_parser &line);

// An attempt finished.
struct attempt_finished_message {
    std::string_view request_id; // refers to the text of the line
    attempt_number attempt{};
    outcome result = outcome::error;
    bool is_final = false; // whether the request has its final response
    bool fetched = false;  // whether the endpoint fetched the response from the origin
    load_report report;
};

// Parses the message after its instance number.
attempt_finished_message parse_attempt_finished(line_parser &line);

// A health check finished: the endpoint responded, or the check failed.
struct health_check_finished_message {
    std::string_view endpoint_id; // refers to the text of the line
    bool answered = false;
    load_report report;
};

// Parses the message after its instance number.
health_check_finished_message parse_health_check_finished(line_parser &line);

// Ids in an action's line; empty if the line has none.
struct action_ids {
    std::string_view request;
    std::string_view endpoint;
};

// Appends the line of an action. release_request has no line, as the simulator does not use indices.
void append_action(std::string &reply, index instance_number, const action &router_action,
                   const action_ids &ids);

// Appends the line that ends the reply to a batch.
void append_end_of_reply(std::string &reply);

} // namespace harrierpass::simulator_adapter
