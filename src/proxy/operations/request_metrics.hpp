// SPDX-License-Identifier: Apache-2.0
// Request metrics for operators: counts by request class, updated where the events occur.
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

// The result of a request as its client sees it. `total` is the number of results.
enum class request_result : std::uint8_t { succeeded, rejected, failed, total };

// Counts requests and attempts. Thread-safe.
class request_metrics {
public:
    using result_counts = std::array<std::uint64_t, static_cast<std::size_t>(request_result::total)>;
    // A consistent copy of all counts.
    struct snapshot {
        std::map<std::string, result_counts, std::less<>> results; // by request class
        std::uint64_t attempts_sent = 0;                           // attempts written completely
        std::uint64_t active_requests = 0;                         // requests accepted and not ended
    };

    // Counts one request as active until it is destroyed. A request whose client disconnected has no result.
    class scoped_request {
    public:
        scoped_request() = default;
        // For start_request(), which has already counted the request.
        explicit scoped_request(request_metrics &metrics) : metrics_(&metrics) {}
        scoped_request(const scoped_request &) = delete;
        scoped_request &operator=(const scoped_request &) = delete;
        // A moved-from object counts no request.
        scoped_request(scoped_request &&other) noexcept : metrics_(std::exchange(other.metrics_, nullptr)) {}
        // Swaps the requests: `other` ends the previous request of this object.
        scoped_request &operator=(scoped_request &&other) noexcept {
            std::swap(metrics_, other.metrics_);
            return *this;
        }
        // Ends the request without a result unless finish() was called.
        ~scoped_request() {
            if (metrics_ != nullptr)
                metrics_->end_request(nullptr, {});
        }
        // Ends the request with a result. Later calls have no effect.
        void finish(const std::string &request_class, request_result result) {
            if (metrics_ != nullptr)
                std::exchange(metrics_, nullptr)->end_request(&request_class, result);
        }

    private:
        request_metrics *metrics_ = nullptr;
    };

    // Adds these classes with counts of 0. Classes of earlier settings stay.
    void register_classes(const std::vector<std::string> &request_classes) {
        const std::lock_guard guard(mutex_);
        for (const auto &request_class : request_classes)
            values_.results.try_emplace(request_class);
    }
    // Counts an accepted request.
    [[nodiscard]] scoped_request start_request() {
        const std::lock_guard guard(mutex_);
        ++values_.active_requests;
        return scoped_request(*this);
    }
    // Counts an attempt that was written completely to its upstream.
    void attempt_sent() {
        const std::lock_guard guard(mutex_);
        ++values_.attempts_sent;
    }
    [[nodiscard]] snapshot read() const {
        const std::lock_guard guard(mutex_);
        return values_;
    }

private:
    // `request_class` is null if the request has no result.
    void end_request(const std::string *request_class, request_result result) noexcept {
        const std::lock_guard guard(mutex_);
        --values_.active_requests;
        if (request_class == nullptr)
            return;
        if (const auto row = values_.results.find(*request_class); row != values_.results.end())
            ++row->second[static_cast<std::size_t>(result)];
    }

    mutable std::mutex mutex_;
    snapshot values_; // protected by mutex_
};

// Renders the metrics page in the Prometheus text format. `listed` and `avoided` are numbers of endpoints.
[[nodiscard]] std::string render_metrics(const request_metrics::snapshot &counts, std::size_t listed,
                                         std::size_t avoided, const subset_view &subset);

} // namespace harrierpass::proxy
