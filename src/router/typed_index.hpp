// SPDX-License-Identifier: Apache-2.0
// Dense indices as types of their own, so that an index of one kind cannot stand where another kind is meant.
// Indices are assigned from 0 upwards by the owner of the table that they point into.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <ostream>

namespace harrierpass {

/// Dense index of no particular kind, or a small count.
using index = std::uint32_t;

/// An index of the kind that `Tag` names. It converts neither to a number nor to another kind by itself.
template <typename Tag> class typed_index {
public:
    /// Index 0.
    constexpr typed_index() = default;
    /// The index with this number.
    constexpr explicit typed_index(index value) : value_(value) {}

    /// The number, for use as a position in a table.
    [[nodiscard]] constexpr index value() const { return value_; }

    /// Moves on to the next index.
    constexpr typed_index &operator++() {
        ++value_;
        return *this;
    }

    /// Indices of one kind are ordered by their numbers.
    friend constexpr bool operator==(typed_index, typed_index) = default;
    friend constexpr bool operator<(typed_index left, typed_index right) {
        return left.value_ < right.value_;
    }

    /// Writes the number.
    friend std::ostream &operator<<(std::ostream &output, typed_index written) {
        return output << written.value_;
    }

private:
    index value_ = 0;
};

/// The type of `none`, which converts to every kind of index.
struct no_index {
    /// The number that stands for "no index".
    static constexpr index value = std::numeric_limits<index>::max();

    /// "No index" of a kind.
    template <typename Tag> constexpr operator typed_index<Tag>() const { return typed_index<Tag>(value); }
    /// "No index" of no particular kind.
    constexpr operator index() const { return value; }
};

/// "No index": the value is absent or unknown.
inline constexpr no_index none;

} // namespace harrierpass

/// Hashes an index as its number.
template <typename Tag> struct std::hash<harrierpass::typed_index<Tag>> {
    std::size_t operator()(harrierpass::typed_index<Tag> of) const noexcept {
        return std::hash<harrierpass::index>{}(of.value());
    }
};
