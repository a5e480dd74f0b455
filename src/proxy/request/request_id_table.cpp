// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_id_table.hpp"

#include "router/router.hpp"

namespace harrierpass::proxy {
namespace {

static_assert(std::atomic_ref<std::uint64_t>::is_always_lock_free);

// An entry, from its highest bits: tag, kind, owner of a lease, time at which an executed id expires. 0:
// free.
constexpr unsigned time_bits = 18, owner_bits = 4, kind_bits = 2;
constexpr unsigned owner_shift = time_bits;
constexpr unsigned kind_shift = owner_shift + owner_bits;
constexpr unsigned tag_shift = kind_shift + kind_bits;
constexpr std::uint32_t time_mask = (1U << time_bits) - 1;
constexpr double ticks_per_second = 8;
constexpr auto retention_ticks =
    static_cast<std::uint32_t>(request_id_table::retention_time * ticks_per_second);

// Attempts to write an entry that others change meanwhile; each needs an interference within nanoseconds.
constexpr int max_tries = 64;

enum class entry_kind : std::uint8_t {
    free,
    leased,      // an active request, nothing of which was sent or whose repetition is harmless
    leased_sent, // an active request that must not be executed twice
    executed
};

std::uint64_t word_of(std::uint64_t tag, entry_kind kind, request_id_owner owner, std::uint32_t time) {
    return tag << tag_shift | static_cast<std::uint64_t>(kind) << kind_shift |
           static_cast<std::uint64_t>(owner) << owner_shift | (time & time_mask);
}
std::uint64_t tag_of(std::uint64_t word) {
    return word >> tag_shift;
}
entry_kind kind_of(std::uint64_t word) {
    return static_cast<entry_kind>(word >> kind_shift & ((1U << kind_bits) - 1));
}
request_id_owner owner_of(std::uint64_t word) {
    return static_cast<request_id_owner>(word >> owner_shift & ((1U << owner_bits) - 1));
}
std::uint64_t executed_word(std::uint64_t tag, std::uint32_t now) {
    return word_of(tag, entry_kind::executed, 0, now + retention_ticks);
}
bool is_leased(std::uint64_t word) {
    return kind_of(word) == entry_kind::leased || kind_of(word) == entry_kind::leased_sent;
}

// The ticks until an executed id expires. The clock of an entry wraps around after nine hours, so that a
// value beyond the retention time is one that expired long ago.
std::uint32_t ticks_left(std::uint64_t word, std::uint32_t now) {
    const std::uint32_t left = (static_cast<std::uint32_t>(word) - now) & time_mask;
    return left <= retention_ticks ? left : 0;
}

// What an entry says to another request with its id; empty: the slot is free.
std::optional<id_conflict> conflict_of(std::uint64_t word, std::uint32_t now) {
    if (is_leased(word))
        return id_conflict::active;
    if (kind_of(word) == entry_kind::executed && ticks_left(word, now) > 0)
        return id_conflict::executed;
    return std::nullopt;
}

std::uint32_t to_ticks(double now) {
    return static_cast<std::uint32_t>(static_cast<std::uint64_t>(now * ticks_per_second));
}

} // namespace

request_id_table::request_id_table()
    : own_words_(slot_count), storage_{own_words_, 1, [](request_id_owner) { return false; }} {}

void request_id_table::share(request_id_storage storage, double now) {
    storage_ = std::move(storage);
    own_words_.clear();
    own_words_.shrink_to_fit();
    end_orphaned_leases(now);
}

request_id_table::key request_id_table::key_of(std::string_view id) {
    const std::uint64_t hash = ring_hash(id);
    return {hash % bucket_count * slots_per_bucket, hash >> tag_shift};
}

std::uint64_t request_id_table::load(std::size_t slot) const {
    return std::atomic_ref(storage_.words[slot]).load();
}

bool request_id_table::exchange(std::size_t slot, std::uint64_t expected, std::uint64_t replacement) {
    return std::atomic_ref(storage_.words[slot]).compare_exchange_strong(expected, replacement);
}

bool request_id_table::is_orphaned(std::uint64_t word) const {
    return is_leased(word) && owner_of(word) != storage_.owner && storage_.has_ended(owner_of(word));
}

std::uint64_t request_id_table::end_lease(std::size_t slot, std::uint64_t word, std::uint32_t now) {
    const bool was_sent = kind_of(word) == entry_kind::leased_sent;
    exchange(slot, word, was_sent ? executed_word(tag_of(word), now) : 0);
    return load(slot);
}

request_id_table::lookup request_id_table::look_up(const key &wanted, std::uint32_t now) {
    lookup result;
    std::uint32_t least_left = retention_ticks + 1;
    for (std::size_t slot = wanted.first_slot; slot < wanted.first_slot + slots_per_bucket; ++slot) {
        std::uint64_t word = load(slot);
        if (tag_of(word) == wanted.tag && is_orphaned(word))
            word = end_lease(slot, word, now);
        const auto conflict = conflict_of(word, now);
        if (tag_of(word) == wanted.tag && conflict && result.conflict != id_conflict::active)
            result.conflict = conflict;
        if (conflict == id_conflict::active)
            continue;
        const std::uint32_t left = conflict ? ticks_left(word, now) : 0;
        if (left < least_left) {
            least_left = left;
            result.free_slot = slot;
            result.free_word = word;
        }
    }
    return result;
}

bool request_id_table::has_other_entry(const key &wanted, std::size_t own_slot, std::uint32_t now) {
    for (std::size_t slot = wanted.first_slot; slot < wanted.first_slot + slots_per_bucket; ++slot) {
        const std::uint64_t word = load(slot);
        if (slot != own_slot && tag_of(word) == wanted.tag && conflict_of(word, now))
            return true;
    }
    return false;
}

// Two requests with the same id that look at the same moment may both find it free, and write to different
// slots. Each looks again after it has written, so that at least one of them sees the other; it withdraws.
request_id_table::acquisition request_id_table::acquire(std::string_view id, double now) {
    const key wanted = key_of(id);
    const std::uint32_t ticks = to_ticks(now);
    const std::uint64_t word = word_of(wanted.tag, entry_kind::leased, storage_.owner, 0);
    for (int tries = 0; tries < max_tries; ++tries) {
        const lookup found = look_up(wanted, ticks);
        if (found.conflict || !found.free_slot)
            return {{}, found.conflict.value_or(id_conflict::active)};
        if (!exchange(*found.free_slot, found.free_word, word))
            continue;
        ++lease_count_;
        id_lease lease(*this, *found.free_slot);
        if (!has_other_entry(wanted, *found.free_slot, ticks))
            return {std::move(lease), std::nullopt};
    }
    return {{}, id_conflict::active};
}

void request_id_table::remember_executed(std::string_view id, double now) {
    const key wanted = key_of(id);
    const std::uint32_t ticks = to_ticks(now);
    for (int tries = 0; tries < max_tries; ++tries) {
        const lookup found = look_up(wanted, ticks);
        if (!found.free_slot || exchange(*found.free_slot, found.free_word, executed_word(wanted.tag, ticks)))
            return;
    }
}

void request_id_table::end_orphaned_leases(double now) {
    const std::uint32_t ticks = to_ticks(now);
    std::uint32_t ended = 0; // a bit for each owner
    for (request_id_owner owner = 1; owner <= max_owner; ++owner)
        if (owner != storage_.owner && storage_.has_ended(owner))
            ended |= 1U << owner;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const std::uint64_t word = load(slot);
        if (is_leased(word) && (ended >> owner_of(word) & 1U) != 0)
            end_lease(slot, word, ticks);
    }
}

void request_id_table::mark_sent(std::size_t slot) {
    const std::uint64_t word = load(slot);
    exchange(slot, word, word_of(tag_of(word), entry_kind::leased_sent, owner_of(word), 0));
}

void request_id_table::release(std::size_t slot) {
    --lease_count_;
    std::atomic_ref(storage_.words[slot]).store(0);
}

} // namespace harrierpass::proxy
