// SPDX-License-Identifier: Apache-2.0
// The messages that the processes of one proxy exchange during a hot restart, and their encoding. Different
// releases have to agree on it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass::proxy {

// A message between two processes of one proxy. peer_message.cpp has the table of the letters that stand for
// the kinds on the wire.
struct peer_message {
    // The kind of message and the content of its text.
    enum class kind : std::uint8_t {
        hello,               // a successor requests the listening socket; the response is the state. Text:
                             // reads_operator_state, or empty from releases that do not know operator_state
        endpoint_disabled,   // text: the endpoint's id
        endpoint_enabled,    // text: the endpoint's id
        endpoint_enabled_at, // text: "SECONDS ID", Unix time
        draining,            // text: "1" if clients are sent to other proxies, otherwise "0"
        ready,               // the successor accepts clients
        usage,               // text: "DESCRIPTORS CLIENTS"
        done,                // acknowledges a message that was processed
        operator_state       // text: operator_overrides::to_text(); only to processes that know it
    };
    kind type;
    std::string text;

    // Text of the `hello` of a process that understands `operator_state`.
    static constexpr std::string_view reads_operator_state = "1";
};

// Usage of the limits that all processes of one proxy share.
struct shared_usage {
    std::size_t descriptors = 0, clients = 0;
    bool has_peers = false; // other processes of this proxy exist
};

// The text of a `usage` message.
[[nodiscard]] std::string to_text(const shared_usage &usage);

// Decodes the text of a `usage` message. Throws parse_error.
[[nodiscard]] shared_usage parse_usage(std::string_view text);

// Encodes several messages that are sent together.
[[nodiscard]] std::string to_message(const std::vector<peer_message> &messages);

// Decodes the result of to_message(). Throws parse_error.
[[nodiscard]] std::vector<peer_message> read_message(std::string_view text);

} // namespace harrierpass::proxy
