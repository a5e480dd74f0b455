// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/endpoint_registry.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace harrierpass::proxy {

std::optional<endpoint_index> endpoint_registry::slot_of(const std::string &id) const {
    const auto found = slots_.find(id);
    return found == slots_.end() ? std::nullopt : std::optional(found->second);
}

endpoint_index endpoint_registry::acquire_slot(const std::string &id) {
    if (const auto found = slots_.find(id); found != slots_.end()) {
        std::erase(retired_, id);
        return found->second;
    }
    endpoint_index slot(slot_count_);
    const auto reusable = std::find_if(retired_.begin(), retired_.end(), [&](const auto &retired_id) {
        return !is_referenced_(slots_.at(retired_id));
    });
    if (reusable != retired_.end()) {
        slot = slots_.at(*reusable);
        slots_.erase(*reusable);
        retired_.erase(reusable);
    } else {
        ++slot_count_;
    }
    slots_.emplace(id, slot);
    return slot;
}

void endpoint_registry::set_listed(const std::string &id, const endpoint_info &info,
                                   const std::string &host_port) {
    listed_[id] = {info, host_port};
}

std::vector<endpoint_index> endpoint_registry::retire_missing(const endpoint_list &list, bool is_snapshot) {
    std::unordered_set<std::string_view> present;
    for (const auto &entry : list.items)
        if (entry.info.state != endpoint_state::removed)
            present.insert(entry.id);
    std::unordered_set<std::string_view> retired(retired_.begin(), retired_.end());
    std::vector<std::string> missing;
    for (const auto &entry : list.items)
        if (entry.info.state == endpoint_state::removed && slots_.contains(entry.id) &&
            retired.insert(entry.id).second)
            missing.push_back(entry.id);
    if (is_snapshot)
        for (const auto &[id, slot] : slots_)
            if (!present.contains(id) && retired.insert(id).second)
                missing.push_back(id);
    std::vector<endpoint_index> slots;
    for (auto &id : missing) {
        slots.push_back(slots_.at(id));
        retired_.push_back(std::move(id));
    }
    return slots;
}

} // namespace harrierpass::proxy
