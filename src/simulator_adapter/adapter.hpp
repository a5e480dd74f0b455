// SPDX-License-Identifier: Apache-2.0
// Runs routers for the simulator: reads batches of messages, passes each message to the router of its
// instance and writes the routers' actions. Makes no routing decisions itself. Single-threaded; the caller
// owns the streams.
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

// Invariant: an invalid message is reported and skipped, and later messages are applied. The run ends only if
// the order of batches is invalid or a batch has no time, as later messages could not be interpreted.
class adapter {
public:
    // Writes one line to `errors` for each invalid message.
    adapter(std::istream &input, std::FILE *output, std::ostream &errors);

    // Processes the input to its end. Returns the exit status of the program.
    int run();

private:
    // Router with the ids of its requests and endpoints.
    struct instance {
        std::unique_ptr<router> instance_router;
        id_table<request_index> request_ids;
        id_table<endpoint_index> endpoint_ids;
        index class_count = 0;
    };

    // Reads the next line, or keeps the current one if it is to be read again. Returns false at the end of
    // the input.
    bool read_line();
    // Writes an error for the current line.
    void report_error(const char *reason);

    // Starts a batch with the time in the current line.
    void begin_batch();
    // Writes the reply to the batch.
    void end_batch();
    // Applies the message in the current line.
    void apply_line();
    // Applies a message to a running instance.
    void apply_to_instance(message_kind kind, instance &target, line_parser &line);

    // Reads an endpoint list: the entries in the lines after its header.
    void read_endpoint_list(line_parser &header_line);
    // Starts a router with the settings of the message.
    void start_instance(line_parser &line);
    // Assigns indices to the ids of an endpoint list and passes the list to the router.
    void update_endpoints(instance &target, line_parser &line);
    // Assigns an index to a new request and passes the request to the router.
    void receive_request(instance &target, line_parser &line);
    // Passes the result of an attempt to the router.
    void finish_attempt(instance &target, line_parser &line);
    // Passes the result of a health check to the router.
    void finish_health_check(instance &target, line_parser &line);
    // Passes an event of a request to the router. Ignores a request that was already released.
    void apply_request_event(message_kind kind, instance &target, line_parser &line);

    // Moves the router's actions to the reply.
    void append_actions(index instance_number, instance &target);
    // Returns the instance with this number. Throws parse_error if there is none.
    instance &find_instance(index instance_number);

    std::istream &input_;
    std::FILE *output_;
    std::ostream &errors_;

    double now_ = 0; // time of the batch in seconds
    bool is_in_batch_ = false;
    std::string line_;            // current line
    std::size_t line_number_ = 0; // number of line_, starting at 1
    bool reread_line_ = false;    // whether read_line() returns line_ again
    std::string reply_;           // reply to the current batch
    std::map<index, instance> instances_;
    std::map<index, std::vector<endpoint_list_entry>> endpoint_lists_;
};

} // namespace harrierpass::simulator_adapter
