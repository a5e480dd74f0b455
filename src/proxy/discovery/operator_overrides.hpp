// SPDX-License-Identifier: Apache-2.0
// What operators have told a proxy: which endpoints are disabled or were enabled again, and whether clients
// are sent to other proxies. Endpoint overrides are applied to each entry of the endpoint list before the
// router gets it: a disabled endpoint drains whatever its state in the list, and an endpoint that was enabled
// again counts as started at that time, so that it warms up.
//
// The processes of one proxy each have a copy. Each command has a version, and the command with the highest
// version is in force; so the copies can be merged in any order and any number of times, and a command
// reaches all processes whichever of them was told.
//
// Not synchronized and without a clock: the owner serializes the calls and passes the time (Unix time, s).
#pragma once

#include "router/types.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace harrierpass::proxy {

// Copyable, so that it can be sent to another process of this proxy.
class operator_overrides {
public:
    // The order of commands: a later command has a higher version.
    using version = std::uint64_t;

    // Makes the versions of further commands at least this number. With a clock that all processes share, a
    // later command is the newer one even if its process has not heard of the earlier one.
    void advance_version(version minimum) { latest_version_ = std::max(latest_version_, minimum); }

    // Disables an endpoint, which may be unknown. Returns false if it was disabled already.
    bool disable(const std::string &id);

    // Enables a disabled endpoint and records the time. Returns false if it was not disabled.
    bool enable(const std::string &id, double now);

    // Records that another process of this proxy enabled the endpoint at `enabled_at`, unless it has been
    // disabled since.
    void record_enabled(const std::string &id, double enabled_at);

    // Sends clients to other proxies, or accepts them again. Returns false if that was so already.
    bool set_draining(bool draining);

    // Adopts the commands of `other` that are newer. Returns the ids of the endpoints whose override changed.
    std::vector<std::string> merge(const operator_overrides &other);

    // Whether the endpoint is disabled now.
    [[nodiscard]] bool is_disabled(const std::string &id) const;

    // Whether clients are sent to other proxies.
    [[nodiscard]] bool is_draining() const { return draining_.is_draining; }

    // Returns a list entry with the overrides applied.
    [[nodiscard]] endpoint_info apply(const std::string &id, endpoint_info listed) const;

    // The ids of the disabled endpoints.
    [[nodiscard]] std::set<std::string> disabled() const;

    // The times at which endpoints were enabled again, by id. Entries are removed after `retention_time`.
    [[nodiscard]] std::map<std::string, double> enabled_at() const;

    // Encodes the overrides in at most `max_size` bytes. If they are longer, the endpoints that were enabled
    // longest ago are left out.
    [[nodiscard]] std::string to_text(std::size_t max_size = std::string::npos) const;

    // Decodes the result of to_text(). Throws parse_error.
    [[nodiscard]] static operator_overrides from_text(std::string_view text);

    // Number of changes since the object was created.
    [[nodiscard]] std::uint64_t change_count() const { return change_count_; }

    // s for which the time of enabling is kept: no endpoint warms up for longer, and no process that was
    // stopped is expected to come back later with an older command.
    static constexpr double retention_time = 86400;

private:
    // The latest command on an endpoint.
    struct endpoint_command {
        version number = 0;
        bool is_disabled = false;
        double enabled_at = 0; // Unix time, s; meaningful unless `is_disabled`
    };
    // The latest command on the proxy.
    struct draining_command {
        version number = 0;
        bool is_draining = false;
    };
    using command_map = std::map<std::string, endpoint_command>;

    // Counts a change and returns the version of its command.
    version next_version();
    // The entries in the order in which they are encoded: disabled endpoints first, then the newest first.
    [[nodiscard]] std::vector<const command_map::value_type *> by_importance() const;

    command_map endpoints_;
    draining_command draining_;
    version latest_version_ = 0;
    std::uint64_t change_count_ = 0;
};

} // namespace harrierpass::proxy
