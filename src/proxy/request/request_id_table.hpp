// SPDX-License-Identifier: Apache-2.0
// The ids of requests that are active, so that no two active requests share one, and of requests that may
// have been executed and whose clients got no response, as their effect might happen twice if such an id came
// again.
//
// The table may lie in memory that several processes of one proxy share. It is lock-free: a process that is
// stopped or killed in the middle of a call holds up no other. Each entry is one word, changed by
// compare-and-exchange. Safe for use by several threads. Does no I/O. Times are in seconds on the monotonic
// clock, which all processes read alike.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace harrierpass::proxy {

// Identifies a process that uses the table; no two running processes have the same.
using request_id_owner = std::uint32_t;

// Memory for a table that several processes share.
struct request_id_storage {
    std::span<std::uint64_t> words; // request_id_table::slot_count; zeroed when it was created
    request_id_owner owner;         // of this process; from 1 to request_id_table::max_owner
    // Whether the owner's process has ended. Does not wait. Called by any thread.
    std::function<bool(request_id_owner)> has_ended;
};

// Why an id cannot be acquired.
enum class id_conflict : std::uint8_t {
    active,  // another active request has it
    executed // a request with it may have been executed
};

// A table of ids, as hashes, so that their length does not matter.
class request_id_table {
public:
    static constexpr std::size_t slots_per_bucket = 32;
    static constexpr std::size_t bucket_count = 2048;
    static constexpr std::size_t slot_count = bucket_count * slots_per_bucket;
    static constexpr request_id_owner max_owner = 15;
    static constexpr double retention_time = 60; // s; no client waits longer for a response

    // Owns an id during its lifetime; must not outlive the table. An empty lease owns none.
    class id_lease {
    public:
        id_lease() = default;
        id_lease(const id_lease &) = delete;
        id_lease &operator=(const id_lease &) = delete;
        // Used by acquire(), which has already written the entry.
        id_lease(request_id_table &table, std::size_t slot) : table_(&table), slot_(slot) {}
        // Leaves the moved-from lease empty.
        id_lease(id_lease &&other) noexcept
            : table_(std::exchange(other.table_, nullptr)), slot_(other.slot_) {}
        // Swaps the leases: `other` releases the id that this lease owned.
        id_lease &operator=(id_lease &&other) noexcept {
            std::swap(table_, other.table_);
            std::swap(slot_, other.slot_);
            return *this;
        }
        // Releases the id.
        ~id_lease() {
            if (table_ != nullptr)
                table_->release(slot_);
        }
        // Returns whether the lease owns an id.
        explicit operator bool() const { return table_ != nullptr; }
        // Records that the request may be executed from now on and must not be executed twice: if this
        // process is killed, its id counts as executed.
        void mark_sent() {
            if (table_ != nullptr)
                table_->mark_sent(slot_);
        }

    private:
        request_id_table *table_ = nullptr;
        std::size_t slot_ = 0;
    };
    // The result of acquire().
    struct acquisition {
        id_lease lease;                      // empty if there is a conflict
        std::optional<id_conflict> conflict; // empty if the id was acquired
    };

    // A table in memory of its own.
    request_id_table();
    ~request_id_table() = default;
    request_id_table(const request_id_table &) = delete;
    request_id_table &operator=(const request_id_table &) = delete;

    // Continues with a table that other processes use, too; the entries of this one are dropped. The memory
    // must outlive the table. Call before other threads use the table.
    void share(request_id_storage storage, double now);

    // Acquires an id for a request.
    acquisition acquire(std::string_view id, double now);
    // Remembers for the retention time that a request with the id may have been executed. Where a bucket is
    // full, the id that was remembered first gives way.
    void remember_executed(std::string_view id, double now);
    // Ends the leases of processes that have ended: ids that were marked as sent are remembered.
    void end_orphaned_leases(double now);
    // Returns the number of leases of this process.
    std::size_t size() const { return lease_count_.load(); }

private:
    // Where the entries of an id are, and the part of its hash that they contain.
    struct key {
        std::size_t first_slot;
        std::uint64_t tag;
    };
    // What a bucket says about an id.
    struct lookup {
        std::optional<id_conflict> conflict;
        std::optional<std::size_t> free_slot; // free, or the one that was remembered first; empty: all leased
        std::uint64_t free_word = 0;          // its content
    };

    static key key_of(std::string_view id);
    // Ends the lease of a process that has ended; returns what the slot contains then.
    std::uint64_t end_lease(std::size_t slot, std::uint64_t word, std::uint32_t now);
    lookup look_up(const key &wanted, std::uint32_t now);
    // Whether another slot than `own_slot` has an entry of the id.
    bool has_other_entry(const key &wanted, std::size_t own_slot, std::uint32_t now);
    bool is_orphaned(std::uint64_t word) const;
    bool exchange(std::size_t slot, std::uint64_t expected, std::uint64_t replacement);
    std::uint64_t load(std::size_t slot) const;
    void mark_sent(std::size_t slot);
    void release(std::size_t slot);

    std::vector<std::uint64_t> own_words_; // empty if the table is shared
    request_id_storage storage_;
    std::atomic<std::size_t> lease_count_ = 0;
};

} // namespace harrierpass::proxy
