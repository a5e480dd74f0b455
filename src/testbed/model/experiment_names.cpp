// SPDX-License-Identifier: Apache-2.0
#include "testbed/model/experiment_names.hpp"

#include "settings/kind_names.hpp"

namespace harrierpass::testbed {

const char *name_of(fault_kind kind) {
    return kind_name(fault_names, kind);
}

const char *name_of(link_fault_kind kind) {
    return kind_name(link_fault_names, kind);
}

const char *name_of(link_kind kind) {
    return kind_name(link_names, kind);
}

const char *name_of(policy_kind policy) {
    return kind_name(policy_names, policy);
}

const char *name_of(injected_violation violation) {
    return kind_name(violation_names, violation);
}

policy_kind parse_policy_kind(const std::string &name) {
    for (const auto &[known, policy] : policy_names)
        if (name == known)
            return policy;
    throw experiment_error("unknown policy \"" + name +
                           "\"; known are: module, whole_list, random, least_of_two, plain_ring");
}

injected_violation parse_injected_violation(const std::string &name) {
    for (const auto &[known, violation] : violation_names)
        if (name == known)
            return violation;
    throw experiment_error("unknown violation \"" + name + "\"");
}

} // namespace harrierpass::testbed
