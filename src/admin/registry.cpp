// SPDX-License-Identifier: Apache-2.0
#include "admin/registry.hpp"

#include "tenants/text.hpp"

namespace harrierpass::admin {

outcome_of_change
registry::change(const std::function<std::vector<tenants::change>(const tenants::tenant_set &)> &make,
                 const std::string &who, bool dry, const std::string &idempotency_key,
                 const store::kept_answer &answer) {
    const std::lock_guard one_writer(write_);
    const auto before = now();
    const auto steps = make(*before);
    if (steps.empty())
        return {before, {}, {}};
    auto made = tenants::apply(before, steps);
    if (auto *const why = std::get_if<tenants::refusal>(&made))
        return {nullptr, std::move(*why), {}};
    auto after = std::get<tenants::set_ptr>(std::move(made));
    if (dry)
        return {after, {}, {}};
    std::vector<store::audit_entry> log;
    static constexpr std::array<const char *, 5> words = {"create", "replace", "put", "remove", "purge"};
    for (const auto &each : steps) {
        const auto &name = each.wanted.name;
        const auto was = before->find(name), is = after->find(name);
        log.push_back({0, 0, now_(), who, words[static_cast<std::size_t>(each.what)], name,
                       was ? tenants::to_json(*was, false) : "", is ? tenants::to_json(*is, false) : ""});
    }
    try {
        store_.commit(*before, *after, log, idempotency_key, answer);
    } catch (const store::store_failure &failed) {
        return {nullptr, {}, failed.what()};
    }
    {
        const std::lock_guard hold(read_);
        set_ = after;
    }
    if (on_change)
        on_change(after);
    return {after, {}, {}};
}

std::size_t registry::purge(const std::function<bool(std::uint64_t incarnation)> &is_idle) {
    std::size_t count = 0;
    change(
        [&](const tenants::tenant_set &set) {
            std::vector<tenants::change> steps;
            for (const auto &[name, one] : set.all())
                if (one->is == tenants::state::draining && is_idle(one->incarnation))
                    steps.push_back({tenants::change::kind::purge, *one, std::nullopt});
            count = steps.size();
            return steps;
        },
        "service", false);
    return count;
}

} // namespace harrierpass::admin
