// SPDX-License-Identifier: Apache-2.0
// What operators read of the queries: counts by use case, kept where each event happens, once each.
#pragma once

#include "router/types.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace harrierpass::proxy {

// How a query ended, as clients and operators see it.
enum class request_result : std::uint8_t { succeeded, rejected, failed, total };

class request_metrics {
public:
    using result_counts = std::array<std::uint64_t, static_cast<std::size_t>(request_result::total)>;
    struct snapshot {
        std::map<std::string, result_counts, std::less<>> results; // by use case
        std::uint64_t attempts_sent = 0;                           // executions written whole
        std::uint64_t active_requests = 0;                         // queries taken and not ended
    };

    // Holds one query as taken for as long as it lives. What its client did not wait for has no
    // request_result.
    class scoped_request {
    public:
        scoped_request() = default;
        explicit scoped_request(request_metrics &with) : with_(&with) {}
        scoped_request(scoped_request &&that) noexcept : with_(std::exchange(that.with_, nullptr)) {}
        scoped_request &operator=(scoped_request &&that) noexcept {
            std::swap(with_, that.with_);
            return *this;
        }
        ~scoped_request() {
            if (with_ != nullptr)
                with_->request_over(nullptr, {});
        }
        // The query of this use case ended so. Later calls count nothing.
        void finish(const std::string &use_case, request_result how) {
            if (with_ != nullptr)
                std::exchange(with_, nullptr)->request_over(&use_case, how);
        }

    private:
        request_metrics *with_ = nullptr;
    };

    // Rows that are there from the start, at 0. Those of other settings stay.
    void register_classes(const std::vector<std::string> &use_cases) {
        const std::lock_guard hold(lock_);
        for (const auto &each : use_cases)
            values_.results.try_emplace(each);
    }
    scoped_request start_request() {
        const std::lock_guard hold(lock_);
        ++values_.active_requests;
        return scoped_request(*this);
    }
    void attempt_sent() {
        const std::lock_guard hold(lock_);
        ++values_.attempts_sent;
    }
    snapshot read() const {
        const std::lock_guard hold(lock_);
        return values_;
    }

private:
    void request_over(const std::string *use_case, request_result how) noexcept {
        const std::lock_guard hold(lock_);
        --values_.active_requests;
        if (use_case == nullptr)
            return;
        if (const auto row = values_.results.find(*use_case); row != values_.results.end())
            ++row->second[static_cast<std::size_t>(how)];
    }

    mutable std::mutex lock_;
    snapshot values_;
};

// The operators' page: the snapshot, and what the list and the router say of the servers.
std::string render_metrics(const request_metrics::snapshot &now, std::size_t listed, std::size_t avoided,
                           const subset_view &chosen);

} // namespace harrierpass::proxy
