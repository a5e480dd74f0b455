// SPDX-License-Identifier: Apache-2.0
// Strongly typed dense indices, so that an index of one kind cannot be used as an index of another kind. The
// owner of the indexed table assigns them from 0 upwards.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <ostream>

namespace harrierpass {

/// Untyped dense index, or a small count.
using index = std::uint32_t;

/// Index of the kind given by `Tag`, without implicit conversion to a number or to another kind.
template <typename Tag> class typed_index {
public:
    /// Creates index 0.
    constexpr typed_index() = default;
    /// Creates the index with this number.
    constexpr explicit typed_index(index value) : value_(value) {}

    /// Returns the number, for use as a position in a table.
    [[nodiscard]] constexpr index value() const { return value_; }

    /// Advances to the next index.
    constexpr typed_index &operator++() {
        ++value_;
        return *this;
    }

    /// Compares the numbers.
    friend constexpr bool operator==(typed_index, typed_index) = default;
    /// Orders indices of one kind by their numbers.
    friend constexpr bool operator<(typed_index left, typed_index right) {
        return left.value_ < right.value_;
    }

    /// Writes the number.
    friend std::ostream &operator<<(std::ostream &output, typed_index number) {
        return output << number.value_;
    }

private:
    index value_ = 0;
};

/// The type of `none`, which converts to every kind of index.
struct no_index {
    /// Number that represents "no index".
    static constexpr index value = std::numeric_limits<index>::max();

    /// Converts to "no index" of a kind.
    template <typename Tag> constexpr operator typed_index<Tag>() const { return typed_index<Tag>(value); }
    /// Converts to an untyped "no index".
    constexpr operator index() const { return value; }
};

/// "No index": the value is absent or unknown.
inline constexpr no_index none;

} // namespace harrierpass

/// Hash of an index: the hash of its number.
template <typename Tag> struct std::hash<harrierpass::typed_index<Tag>> {
    /// Returns the same hash for equal indices.
    std::size_t operator()(harrierpass::typed_index<Tag> key) const noexcept {
        return std::hash<harrierpass::index>{}(key.value());
    }
};
