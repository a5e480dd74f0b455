// SPDX-License-Identifier: Apache-2.0
// What operators read of the requests: counts by request class, kept where each event happens.
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

// How a request ended, as its client sees it. `total` is the number of the others.
enum class request_result : std::uint8_t { succeeded, rejected, failed, total };

// Counts requests and attempts. Every member may be called from any thread.
class request_metrics {
public:
    using result_counts = std::array<std::uint64_t, static_cast<std::size_t>(request_result::total)>;
    // The counts at one moment.
    struct snapshot {
        std::map<std::string, result_counts, std::less<>> results; // by request class
        std::uint64_t attempts_sent = 0;                           // written whole
        std::uint64_t active_requests = 0;                         // accepted and not ended
    };

    // Counts one request as active for as long as it lives. A request whose client left has no result.
    class scoped_request {
    public:
        scoped_request() = default;
        // For start_request(): the request is counted already.
        explicit scoped_request(request_metrics &metrics) : metrics_(&metrics) {}
        scoped_request(const scoped_request &) = delete;
        scoped_request &operator=(const scoped_request &) = delete;
        // One that was moved from counts nothing.
        scoped_request(scoped_request &&that) noexcept : metrics_(std::exchange(that.metrics_, nullptr)) {}
        // Exchanges the two: the request counted here ends with `that`.
        scoped_request &operator=(scoped_request &&that) noexcept {
            std::swap(metrics_, that.metrics_);
            return *this;
        }
        // The request ends without a result, unless finish() was called.
        ~scoped_request() {
            if (metrics_ != nullptr)
                metrics_->request_over(nullptr, {});
        }
        // The request ended with that result. Later calls count nothing.
        void finish(const std::string &request_class, request_result result) {
            if (metrics_ != nullptr)
                std::exchange(metrics_, nullptr)->request_over(&request_class, result);
        }

    private:
        request_metrics *metrics_ = nullptr;
    };

    // Adds rows of zeros for these classes. Rows of earlier settings stay.
    void register_classes(const std::vector<std::string> &request_classes) {
        const std::lock_guard guard(lock_);
        for (const auto &each : request_classes)
            values_.results.try_emplace(each);
    }
    // A request is accepted.
    [[nodiscard]] scoped_request start_request() {
        const std::lock_guard guard(lock_);
        ++values_.active_requests;
        return scoped_request(*this);
    }
    // An attempt was written whole to its upstream.
    void attempt_sent() {
        const std::lock_guard guard(lock_);
        ++values_.attempts_sent;
    }
    // A copy of all counts at one moment.
    [[nodiscard]] snapshot read() const {
        const std::lock_guard guard(lock_);
        return values_;
    }

private:
    // Null: the request has no result.
    void request_over(const std::string *request_class, request_result result) noexcept {
        const std::lock_guard guard(lock_);
        --values_.active_requests;
        if (request_class == nullptr)
            return;
        if (const auto row = values_.results.find(*request_class); row != values_.results.end())
            ++row->second[static_cast<std::size_t>(result)];
    }

    mutable std::mutex lock_;
    snapshot values_; // protected by lock_
};

// The metrics page in Prometheus' text format. `listed`, `avoided`: numbers of endpoints.
[[nodiscard]] std::string render_metrics(const request_metrics::snapshot &counts, std::size_t listed,
                                         std::size_t avoided, const subset_view &subset);

} // namespace harrierpass::proxy
