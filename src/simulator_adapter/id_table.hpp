// SPDX-License-Identifier: Apache-2.0
// The simulator's text ids and the small indices that a router knows them by.
#pragma once

#include "router/indexed_vector.hpp"
#include "router/typed_index.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace harrierpass::simulator_adapter {

// Ids of one kind, by `Index`, a typed_index.
//
// Invariant: an index belongs to one id from add() until release(); a released one is given out again, the
// latest first. The text of a released id stays readable until then.
template <typename Index> class id_table {
public:
    // The index of an id; none where it has none.
    Index find(std::string_view id) const {
        const auto found = indices_.find(id);
        return found == indices_.end() ? none : found->second;
    }
    // Gives an index to an id that has none.
    Index add(std::string_view id) {
        Index added = none;
        if (free_.empty()) {
            added = ids_.add(std::string(id));
        } else {
            added = free_.back();
            free_.pop_back();
            ids_[added] = id;
        }
        indices_.emplace(id, added);
        return added;
    }
    // The id's index may be given to another one.
    void release(Index released) {
        indices_.erase(ids_[released]);
        free_.push_back(released);
    }
    // The id of an index.
    const std::string &id(Index of) const { return ids_[of]; }

private:
    // Lets find() look a text up without a copy.
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    std::unordered_map<std::string, Index, text_hash, std::equal_to<>> indices_;
    indexed_vector<Index, std::string> ids_;
    std::vector<Index> free_;
};

} // namespace harrierpass::simulator_adapter
