// SPDX-License-Identifier: Apache-2.0
// A vector that is accessed by a typed index.
#pragma once

#include "router/typed_index.hpp"

#include <cstddef>
#include <utility>
#include <vector>

namespace harrierpass {

/// Vector with positions of type `Index`, a typed_index.
template <typename Index, typename Element> class indexed_vector {
public:
    /// Returns the element at an index, which must be less than end_index().
    decltype(auto) operator[](Index position) { return elements_[position.value()]; }
    /// Read-only access to the element at an index.
    decltype(auto) operator[](Index position) const { return elements_[position.value()]; }

    /// True if there is an element at this index.
    [[nodiscard]] bool contains(Index position) const { return position.value() < elements_.size(); }
    /// Returns the index after the last element.
    [[nodiscard]] Index end_index() const { return Index(static_cast<index>(elements_.size())); }

    /// Appends default elements until there is one at this index.
    void grow_to(Index position) {
        if (!contains(position))
            elements_.resize(std::size_t{position.value()} + 1);
    }
    /// Appends an element; returns its index.
    Index add(Element element) {
        const Index position = end_index();
        elements_.push_back(std::move(element));
        return position;
    }

    /// Iterates over the elements in the order of their indices.
    auto begin() { return elements_.begin(); }
    auto begin() const { return elements_.begin(); }
    auto end() { return elements_.end(); }
    auto end() const { return elements_.end(); }

private:
    std::vector<Element> elements_;
};

} // namespace harrierpass
