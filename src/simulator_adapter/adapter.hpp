// SPDX-License-Identifier: Apache-2.0
// Runs routers for the simulator: reads batches of messages, applies each to the router of its instance and
// writes what the routers decide. It decides nothing itself. One thread; the streams belong to the caller.
#pragma once

#include "router/router.hpp"
#include "simulator_adapter/id_table.hpp"
#include "simulator_adapter/wire_messages.hpp"

#include <cstdio>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harrierpass::simulator_adapter {

// Invariant: a message that cannot be used is reported and skipped, and the ones after it are applied. Only
// where the order of batches is broken, or a batch has no time, does the run end, as nothing after it is
// sure.
class adapter {
public:
    // `errors` takes a line for each message that cannot be used.
    adapter(std::istream &input, std::FILE *output, std::ostream &errors);

    // Runs to the end of the input. Returns the program's exit status.
    int run();

private:
    // A router and the ids of its requests and endpoints.
    struct instance {
        std::unique_ptr<router> decides;
        id_table<request_index> request_ids;
        id_table<endpoint_index> endpoint_ids;
        index class_count = 0;
    };

    // Reads a line, or the one at hand once more; false at the end of the input.
    bool read_line();
    // Reports the line at hand as unusable.
    void report_error(const char *reason);

    // Takes the time of a batch.
    void begin_batch();
    // Sends the reply.
    void end_batch();
    // Applies the message at hand.
    void apply_line();
    // Applies a message to a running instance.
    void apply_to_instance(message_kind kind, instance &target, line_parser &line);

    // Reads an endpoint list: the entries in the lines after its header.
    void read_endpoint_list(line_parser &header_line);
    // Starts a router with the settings of the message.
    void start_instance(line_parser &line);
    // Gives indices to the ids of a list and passes it on.
    void update_endpoints(instance &target, line_parser &line);
    // Gives an index to a new request and passes it on.
    void receive_request(instance &target, line_parser &line);
    // Passes on the end of an attempt.
    void finish_attempt(instance &target, line_parser &line);
    // Passes on the end of a health check.
    void finish_health_check(instance &target, line_parser &line);
    // Passes on an event of a request; one that was released in this very batch is skipped.
    void apply_request_event(message_kind kind, instance &target, line_parser &line);

    // Moves the router's actions to the reply.
    void append_actions(index instance_number, instance &source);
    // The instance of this number; throws parse_error where none runs.
    instance &find_instance(index instance_number);

    std::istream &input_;
    std::FILE *output_;
    std::ostream &errors_;

    double now_ = 0; // s, of the batch
    bool is_in_batch_ = false;
    std::string line_;            // at hand
    std::size_t line_number_ = 0; // of line_, from 1
    bool rereads_line_ = false;   // line_ is still to be applied
    std::string reply_;           // to the batch so far
    std::map<index, instance> instances_;
    std::map<index, std::vector<endpoint_list_entry>> endpoint_lists_;
};

} // namespace harrierpass::simulator_adapter
