// SPDX-License-Identifier: Apache-2.0
// Names of the experiment's enumerators in experiment files, command lines and results.
#pragma once

#include "testbed/model/experiment.hpp"

#include <array>
#include <string>
#include <utility>

namespace harrierpass::testbed {

// Directions that a link fault affects.
enum class link_directions : std::uint8_t { to_far_end, to_near_end, both };

template <typename Kind, std::size_t Count>
using name_table = std::array<std::pair<const char *, Kind>, Count>;

inline constexpr name_table<fault_kind, 27> fault_names = {{{"crash", fault_kind::crash},
                                                            {"hang", fault_kind::hang},
                                                            {"vanish", fault_kind::vanish},
                                                            {"slow", fault_kind::slow},
                                                            {"errors", fault_kind::errors},
                                                            {"spoilt", fault_kind::malformed},
                                                            {"one_way", fault_kind::one_way},
                                                            {"drain", fault_kind::drain},
                                                            {"join", fault_kind::join},
                                                            {"flap", fault_kind::flap},
                                                            {"list_silent", fault_kind::list_silent},
                                                            {"list_stale", fault_kind::list_stale},
                                                            {"origin_slow", fault_kind::origin_slow},
                                                            {"origin_stop", fault_kind::origin_stop},
                                                            {"burst", fault_kind::burst},
                                                            {"flood", fault_kind::flood},
                                                            {"proxy_kill", fault_kind::proxy_kill},
                                                            {"proxy_pause", fault_kind::proxy_pause},
                                                            {"client_pause", fault_kind::client_pause},
                                                            {"proxy_restart", fault_kind::proxy_restart},
                                                            {"proxy_end", fault_kind::proxy_end},
                                                            {"proxy_late", fault_kind::proxy_late},
                                                            {"proxy_signals", fault_kind::proxy_signals},
                                                            {"host_kill", fault_kind::host_kill},
                                                            {"host_stop", fault_kind::host_stop},
                                                            {"list_kill", fault_kind::list_kill},
                                                            {"list_stop", fault_kind::list_stop}}};

inline constexpr name_table<initial_list_kind, 3> initial_list_names = {{{"none", initial_list_kind::none},
                                                                         {"list", initial_list_kind::list},
                                                                         {"old", initial_list_kind::stale}}};

inline constexpr name_table<list_service_kind, 2> list_service_names = {
    {{"agent", list_service_kind::agent}, {"central", list_service_kind::central}}};

inline constexpr name_table<link_kind, 4> link_names = {{{"client-proxy", link_kind::client_proxy},
                                                         {"proxy-server", link_kind::proxy_server},
                                                         {"proxy-list", link_kind::proxy_list},
                                                         {"proxy-proxy", link_kind::proxy_proxy}}};

inline constexpr name_table<link_fault_kind, 7> link_fault_names = {
    {{"drop", link_fault_kind::drop},
     {"one_way", link_fault_kind::one_way},
     {"reset", link_fault_kind::reset},
     {"half_open", link_fault_kind::half_open},
     {"slow", link_fault_kind::slow},
     {"datagrams", link_fault_kind::datagrams},
     {"partition", link_fault_kind::partition}}};

inline constexpr name_table<link_directions, 3> link_direction_names = {
    {{"there", link_directions::to_far_end},
     {"back", link_directions::to_near_end},
     {"both", link_directions::both}}};

inline constexpr name_table<policy_kind, 5> policy_names = {
    {{"module", policy_kind::module},
     {"whole_list", policy_kind::full_list},
     {"random", policy_kind::random},
     {"least_of_two", policy_kind::less_loaded_of_two},
     {"plain_ring", policy_kind::plain_ring}}};

inline constexpr name_table<injected_violation, 9> violation_names = {
    {{"nothing", injected_violation::nothing},
     {"lose", injected_violation::lose_response},
     {"answer_twice", injected_violation::answer_twice},
     {"run_twice", injected_violation::execute_twice},
     {"two_out", injected_violation::concurrent_attempts},
     {"ignore_drain", injected_violation::ignore_drain},
     {"push_cold", injected_violation::overload_cold},
     {"late", injected_violation::late_attempt},
     {"wrong_body", injected_violation::wrong_body}}};

} // namespace harrierpass::testbed
