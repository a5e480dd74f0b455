// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/peer_message.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace harrierpass::proxy {
namespace {

using kind = peer_message::kind;

// The letters that stand for the kinds on the wire.
constexpr std::array<std::pair<kind, char>, 9> kind_letters = {{{kind::hello, 'h'},
                                                                {kind::endpoint_disabled, 'o'},
                                                                {kind::endpoint_enabled, 'b'},
                                                                {kind::endpoint_enabled_at, 't'},
                                                                {kind::draining, 'a'},
                                                                {kind::ready, 'r'},
                                                                {kind::usage, 'u'},
                                                                {kind::done, 'd'},
                                                                {kind::operator_state, 's'}}};

char letter_of(kind type) {
    return std::ranges::find_if(kind_letters, [&](const auto &each) { return each.first == type; })->second;
}

std::optional<kind> kind_of(char letter) {
    const auto found =
        std::ranges::find_if(kind_letters, [&](const auto &each) { return each.second == letter; });
    return found == kind_letters.end() ? std::nullopt : std::optional(found->first);
}

} // namespace

std::string to_text(const shared_usage &usage) {
    return std::to_string(usage.descriptors) + " " + std::to_string(usage.clients);
}

shared_usage parse_usage(std::string_view text) {
    static constexpr const char *error_message = "malformed usage message from another process";
    const auto space = std::min(text.find(' '), text.size());
    return {parse_number<std::size_t>(text.substr(0, space), error_message),
            parse_number<std::size_t>(text.substr(std::min(space + 1, text.size())), error_message), true};
}

std::string to_message(const std::vector<peer_message> &messages) {
    std::string text;
    for (const auto &message : messages)
        text.append(1, letter_of(message.type))
            .append(std::to_string(message.text.size()))
            .append(":")
            .append(message.text);
    return text;
}

std::vector<peer_message> read_message(std::string_view text) {
    static constexpr const char *error_message = "malformed message from another process";
    std::vector<peer_message> messages;
    while (!text.empty()) {
        const auto colon = text.find(':');
        const auto type = kind_of(text[0]);
        if (!type || colon == std::string_view::npos)
            throw parse_error{error_message};
        const auto size = parse_number<std::size_t>(text.substr(1, colon - 1), error_message);
        if (size > text.size() - colon - 1)
            throw parse_error{error_message};
        messages.push_back({*type, std::string(text.substr(colon + 1, size))});
        text.remove_prefix(colon + 1 + size);
    }
    return messages;
}

} // namespace harrierpass::proxy
