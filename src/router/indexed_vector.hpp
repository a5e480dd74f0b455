// SPDX-License-Identifier: Apache-2.0
// A vector whose elements are found by an index of one kind.
#pragma once

#include "router/typed_index.hpp"

#include <cstddef>
#include <utility>
#include <vector>

namespace harrierpass {

/// Elements by `Index`, a typed_index, from 0 upwards without gaps. It owns its elements.
template <typename Index, typename Element> class indexed_vector {
public:
    /// The element of an index that is within the size.
    decltype(auto) operator[](Index at) { return elements_[at.value()]; }
    decltype(auto) operator[](Index at) const { return elements_[at.value()]; }

    /// There is an element of this index.
    [[nodiscard]] bool contains(Index at) const { return at.value() < elements_.size(); }
    /// The index after the last one.
    [[nodiscard]] Index end_index() const { return Index(static_cast<index>(elements_.size())); }

    /// Adds default elements up to the index, if there is none of it yet.
    void grow_to(Index at) {
        if (!contains(at))
            elements_.resize(std::size_t{at.value()} + 1);
    }
    /// Adds an element; returns its index.
    Index add(Element element) {
        const Index at = end_index();
        elements_.push_back(std::move(element));
        return at;
    }

    /// The elements in the order of their indices.
    auto begin() { return elements_.begin(); }
    auto begin() const { return elements_.begin(); }
    auto end() { return elements_.end(); }
    auto end() const { return elements_.end(); }

private:
    std::vector<Element> elements_;
};

} // namespace harrierpass
