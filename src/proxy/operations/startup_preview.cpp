// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/startup_preview.hpp"

#include "base/text.hpp"
#include "net/sockets.hpp"
#include "proxy/discovery/endpoint_list.hpp"
#include "proxy/discovery/snapshot_file.hpp"

#include <iomanip>
#include <ostream>

namespace harrierpass::proxy {
namespace {

// Describes a list that the proxy may start with, and returns it; empty: it cannot be used.
std::optional<endpoint_list> describe_list(const json &from, const configuration &settings,
                                           std::ostream &output) {
    try {
        const auto list = read_endpoint_list(from, settings);
        output << "revision " << list.revision << ", " << list.items.size() << " servers\n";
        return list;
    } catch (const parse_error &error) {
        output << "not usable: " << error.reason << '\n';
        return std::nullopt;
    }
}

} // namespace

void preview_startup(const configuration &settings, double now, std::ostream &output) {
    for (const auto &[what, at] :
         {std::pair("listen", settings.listen_address), std::pair("discovery", settings.discovery_address),
          std::pair("control", settings.control_address)})
        if (!at.empty() && !parse_address(at))
            throw parse_error{std::string(what) + " " + at + " is no usable address"};
    const bool shared = settings.poll.service == discovery::list_service_kind::shared;
    const auto intervals = discovery::compute_poll_intervals(settings.poll);
    output << std::setprecision(3) << settings.name << ": listens on " << settings.listen_address
           << ", list service " << settings.discovery_address << ", "
           << (shared ? "one for all proxies" : "an agent beside this one") << '\n';
    std::optional<endpoint_list> initial;
    output << "known list: ";
    if (settings.known_endpoints.type == json::kind::object)
        initial = describe_list(settings.known_endpoints, settings, output);
    else
        output << "none\n";
    output << "snapshot: ";
    if (settings.snapshot_path.empty()) {
        output << "none is kept\n";
    } else if (const auto found = load_snapshot(settings, now); found.fault != nullptr) {
        output << settings.snapshot_path << " refused: " << found.fault << '\n';
    } else {
        output << settings.snapshot_path << ", " << found.age << " s old, ";
        const auto saved = describe_list(found.list, settings, output);
        if (saved && (!initial || saved->revision > initial->revision))
            initial = saved;
    }
    const bool has_endpoints = initial && !initial->items.empty();
    if (!shared) {
        output << "first call: the whole list, at once; then watches of " << intervals.watch_timeout
               << " s, an answer within " << intervals.response_timeout
               << " s\nready: after the first call's answer or loss\n";
        return;
    }
    output << "first call: ";
    if (has_endpoints)
        output << "a watch from revision " << initial->revision;
    else
        output << "the whole list";
    output << ", by chance within " << intervals.initial_poll_window << " s (" << settings.poll.proxy_count
           << " proxies, " << settings.poll.snapshots_per_second << " lists a second)\nwatches of "
           << intervals.watch_timeout << " s, an answer within " << intervals.response_timeout
           << " s\nafter a refusal: not before it says, then by chance within "
           << intervals.rejected_poll_window << " s\nafter a loss: by chance within " << intervals.min_backoff
           << " s, doubled up to " << intervals.max_backoff
           << " s\nready: " << (has_endpoints ? "at once, with that list" : "with the first list") << '\n';
}

} // namespace harrierpass::proxy
