// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/startup_preview.hpp"

#include "base/text.hpp"
#include "net/sockets.hpp"
#include "proxy/discovery/discovery_client.hpp"
#include "proxy/discovery/snapshot_file.hpp"

#include <iomanip>
#include <ostream>

namespace harrierpass::proxy {
namespace {

// One list that there may be to start with; empty where there is none that can be used.
std::optional<endpoint_list> tell_list(const json &from, const configuration &given, std::ostream &to) {
    try {
        const auto list = read_endpoint_list(from, given);
        to << "revision " << list.revision << ", " << list.items.size() << " servers\n";
        return list;
    } catch (const parse_error &bad) {
        to << "not usable: " << bad.reason << '\n';
        return std::nullopt;
    }
}

} // namespace

void preview_startup(const configuration &given, double now, std::ostream &to) {
    for (const auto &[what, at] : {std::pair("listen", given.listen), std::pair("discovery", given.discovery),
                                   std::pair("control", given.control)})
        if (!at.empty() && !parse_address(at))
            throw parse_error{std::string(what) + " " + at + " is no usable address"};
    const bool shared = given.poll.service == discovery::list_service_kind::shared;
    const auto pace = discovery::compute_poll_intervals(given.poll);
    to << std::setprecision(3) << given.name << ": listens on " << given.listen << ", list service "
       << given.discovery << ", " << (shared ? "one for all proxies" : "an agent beside this one") << '\n';
    std::optional<endpoint_list> starts;
    to << "known list: ";
    if (given.known_endpoints.type == json::kind::object)
        starts = tell_list(given.known_endpoints, given, to);
    else
        to << "none\n";
    to << "snapshot: ";
    if (given.snapshot_path.empty()) {
        to << "none is kept\n";
    } else if (const auto found = load_snapshot(given, now); found.fault != nullptr) {
        to << given.snapshot_path << " refused: " << found.fault << '\n';
    } else {
        to << given.snapshot_path << ", " << found.age << " s old, ";
        const auto kept = tell_list(found.list, given, to);
        if (kept && (!starts || kept->revision > starts->revision))
            starts = kept;
    }
    const bool has = starts && !starts->items.empty();
    if (!shared) {
        to << "first call: the whole list, at once; then watches of " << pace.watch_timeout
           << " s, an answer within " << pace.response_timeout
           << " s\nready: after the first call's answer or loss\n";
        return;
    }
    to << "first call: ";
    if (has)
        to << "a watch from revision " << starts->revision;
    else
        to << "the whole list";
    to << ", by chance within " << pace.initial_poll_window << " s (" << given.poll.proxy_count
       << " proxies, " << given.poll.snapshots_per_second << " lists a second)\nwatches of "
       << pace.watch_timeout << " s, an answer within " << pace.response_timeout
       << " s\nafter a refusal: not before it says, then by chance within " << pace.rejected_poll_window
       << " s\nafter a loss: by chance within " << pace.min_backoff << " s, doubled up to "
       << pace.max_backoff << " s\nready: " << (has ? "at once, with that list" : "with the first list")
       << '\n';
}

} // namespace harrierpass::proxy
