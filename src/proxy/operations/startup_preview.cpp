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

// Parses an endpoint list with which the proxy may start and describes it. Returns an empty value if the list
// is malformed.
std::optional<endpoint_list> describe_list(const json &text, const configuration &settings,
                                           std::ostream &output) {
    try {
        const auto list = read_endpoint_list(text, settings);
        output << "revision " << list.revision << ", " << list.items.size() << " servers\n";
        return list;
    } catch (const parse_error &error) {
        output << "not usable: " << error.reason << '\n';
        return std::nullopt;
    }
}

} // namespace

void preview_startup(const configuration &settings, double now, std::ostream &output) {
    for (const auto &[field, host_port] :
         {std::pair("listen", settings.listen_address), std::pair("discovery", settings.discovery_address),
          std::pair("control", settings.control_address)})
        if (!host_port.empty() && !parse_address(host_port))
            throw parse_error{std::string(field) + " " + host_port + " is not a valid address"};
    const bool shared = settings.poll.service == discovery::list_service_kind::shared;
    const auto intervals = discovery::compute_poll_intervals(settings.poll);
    output << std::setprecision(3) << settings.name << ": listens on " << settings.listen_address
           << ", list service " << settings.discovery_address << ", "
           << (shared ? "shared by all proxies" : "an agent beside this proxy") << '\n';
    std::optional<endpoint_list> initial;
    output << "known list: ";
    if (settings.known_endpoints.type == json::kind::object)
        initial = describe_list(settings.known_endpoints, settings, output);
    else
        output << "none\n";
    output << "snapshot: ";
    if (settings.snapshot_path.empty()) {
        output << "not configured\n";
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
        output << "first poll: a snapshot, immediately; then watches of " << intervals.watch_timeout
               << " s, response timeout " << intervals.response_timeout
               << " s\nready: after the first poll succeeds or fails\n";
        return;
    }
    output << "first poll: ";
    if (has_endpoints)
        output << "a watch from revision " << initial->revision;
    else
        output << "a snapshot";
    output << ", at a random time within " << intervals.initial_poll_window << " s ("
           << settings.poll.proxy_count << " proxies, " << settings.poll.snapshots_per_second
           << " snapshots per second)\nwatches of " << intervals.watch_timeout << " s, response timeout "
           << intervals.response_timeout
           << " s\nafter a rejected poll: after its Retry-After, at a random time within "
           << intervals.rejected_poll_window << " s\nafter a failed poll: at a random time within "
           << intervals.min_backoff << " s, doubled up to " << intervals.max_backoff
           << " s\nready: " << (has_endpoints ? "immediately, with that list" : "with the first list")
           << '\n';
}

} // namespace harrierpass::proxy
