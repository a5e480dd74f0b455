// SPDX-License-Identifier: Apache-2.0
// Maps the simulator's text ids to the indices that a router uses.
#pragma once

#include "router/indexed_vector.hpp"
#include "router/typed_index.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace harrierpass::simulator_adapter {

// Ids of one kind with their indices. `Index` is a typed_index.
//
// Invariant: an index belongs to one id from add() until release(). Released indices are reused, the latest
// first. The text of a released id stays valid until its index is reused.
template <typename Index> class id_table {
public:
    // Returns the index of an id, or none.
    Index find(std::string_view id) const {
        const auto found = indices_.find(id);
        return found == indices_.end() ? none : found->second;
    }
    // Assigns an index to an id that has none.
    Index add(std::string_view id) {
        Index new_index = none;
        if (free_.empty()) {
            new_index = ids_.add(std::string(id));
        } else {
            new_index = free_.back();
            free_.pop_back();
            ids_[new_index] = id;
        }
        indices_.emplace(id, new_index);
        return new_index;
    }
    // Releases an index for reuse.
    void release(Index id_index) {
        indices_.erase(ids_[id_index]);
        free_.push_back(id_index);
    }
    // Returns the id of an index.
    const std::string &id(Index id_index) const { return ids_[id_index]; }

private:
    // Transparent hash, so that find() does not copy the text.
    struct text_hash {
        using is_transparent = void;
        // Returns the same hash for all string types.
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    std::unordered_map<std::string, Index, text_hash, std::equal_to<>> indices_;
    indexed_vector<Index, std::string> ids_;
    std::vector<Index> free_;
};

} // namespace harrierpass::simulator_adapter
