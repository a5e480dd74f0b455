// SPDX-License-Identifier: Apache-2.0
// The simulator's text ids and the small indices that a router knows them by.
#pragma once

#include "router/types.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace harrierpass::simulator_adapter {

// Invariant: an index belongs to one id from add() until release(); a released one is given out again, the
// latest first. The text of a released id stays readable until then.
class id_table {
public:
    // The index of an id; none where it has none.
    index find(std::string_view id) const {
        const auto found = indices_.find(id);
        return found == indices_.end() ? none : found->second;
    }
    // Gives an index to an id that has none.
    index add(std::string_view id) {
        index made = none;
        if (free_.empty()) {
            made = static_cast<index>(ids_.size());
            ids_.emplace_back(id);
        } else {
            made = free_.back();
            free_.pop_back();
            ids_[made] = id;
        }
        indices_.emplace(id, made);
        return made;
    }
    // The id's index may be given to another one.
    void release(index released) {
        indices_.erase(ids_[released]);
        free_.push_back(released);
    }
    // The id of an index.
    const std::string &id(index of) const { return ids_[of]; }

private:
    // Lets find() look a text up without a copy.
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    std::unordered_map<std::string, index, text_hash, std::equal_to<>> indices_;
    std::vector<std::string> ids_; // by index
    std::vector<index> free_;
};

} // namespace harrierpass::simulator_adapter
