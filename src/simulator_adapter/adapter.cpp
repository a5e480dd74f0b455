// SPDX-License-Identifier: Apache-2.0
#include "simulator_adapter/adapter.hpp"

#include "subsets/subset_router.hpp"

#include <istream>
#include <ostream>
#include <utility>

namespace harrierpass::simulator_adapter {
namespace {

constexpr std::size_t max_reported_line = 80; // bytes of the line in an error message

} // namespace

adapter::adapter(std::istream &input, std::FILE *output, std::ostream &errors)
    : input_(input), output_(output), errors_(errors) {}

bool adapter::read_line() {
    if (std::exchange(reread_line_, false))
        return true;
    ++line_number_;
    return static_cast<bool>(std::getline(input_, line_));
}

void adapter::report_error(const char *reason) {
    errors_ << "harrierpass_simulator_adapter: line " << line_number_ << ": " << reason << ": "
            << line_.substr(0, max_reported_line) << '\n';
}

int adapter::run() {
    while (read_line()) {
        const bool is_batch_start = opens_batch(line_);
        if (is_batch_start == is_in_batch_) {
            report_error(is_in_batch_ ? "a batch begins inside a batch; stopping"
                                      : "message outside a batch; stopping");
            return 1;
        }
        try {
            if (is_batch_start)
                begin_batch();
            else if (closes_batch(line_))
                end_batch();
            else
                apply_line();
        } catch (const parse_error &error) {
            report_error(error.reason);
            if (is_batch_start)
                return 1;
        }
    }
    if (is_in_batch_)
        report_error("the input ends inside a batch");
    return is_in_batch_ ? 1 : 0;
}

void adapter::begin_batch() {
    now_ = parse_batch_time(line_);
    is_in_batch_ = true;
    reply_.clear();
}

void adapter::end_batch() {
    is_in_batch_ = false;
    append_end_of_reply(reply_);
    std::fwrite(reply_.data(), 1, reply_.size(), output_);
    std::fflush(output_);
}

void adapter::apply_line() {
    line_parser line(line_);
    const message_kind kind = parse_message_kind(line);
    if (kind == message_kind::endpoint_list)
        return read_endpoint_list(line);
    if (kind == message_kind::start_instance)
        return start_instance(line);
    if (kind == message_kind::peer_messages)
        return;
    const index number = parse_instance_number(line);
    instance &target = find_instance(number);
    if (kind == message_kind::stop_instance) {
        instances_.erase(number);
        return;
    }
    apply_to_instance(kind, target, line);
    append_actions(number, target);
}

void adapter::apply_to_instance(message_kind kind, instance &target, line_parser &line) {
    switch (kind) {
    case message_kind::endpoints_updated:
        return update_endpoints(target, line);
    case message_kind::request_received:
        return receive_request(target, line);
    case message_kind::attempt_finished:
        return finish_attempt(target, line);
    case message_kind::health_check_finished:
        return finish_health_check(target, line);
    case message_kind::timer:
        return target.instance_router->on_timer(now_);
    case message_kind::response_started:
    case message_kind::client_disconnected:
        return apply_request_event(kind, target, line);
    case message_kind::endpoint_list:
    case message_kind::start_instance:
    case message_kind::peer_messages:
    case message_kind::stop_instance:
        break; // not addressed to a running instance
    }
}

void adapter::read_endpoint_list(line_parser &header_line) {
    const endpoint_list_header header = parse_endpoint_list_header(header_line);
    std::vector<endpoint_list_entry> entries;
    endpoint_lists_.erase(header.list_number);
    for (index i = 0; i < header.entry_count; ++i) {
        if (!read_line()) // run() reports the end of the input
            return;
        if (!is_endpoint_list_entry(line_)) {
            reread_line_ = true;
            throw parse_error{"the list has fewer entries than its header says; discarded"};
        }
        try {
            entries.push_back(parse_endpoint_list_entry(line_));
        } catch (const parse_error &error) {
            report_error(error.reason);
        }
    }
    endpoint_lists_[header.list_number] = std::move(entries);
}

void adapter::start_instance(line_parser &line) {
    const start_instance_message message = parse_start_instance(line);
    instance &new_instance = instances_[message.instance_number] = instance{};
    new_instance.class_count = static_cast<index>(message.settings.request_classes.size());
    new_instance.instance_router = subsets::make_subset_router(message.settings, message.seed, now_);
    append_actions(message.instance_number, new_instance);
}

void adapter::update_endpoints(instance &target, line_parser &line) {
    const endpoints_updated_message message = parse_endpoints_updated(line);
    std::vector<endpoint_info> entries;
    if (message.kind != endpoint_update_kind::poll_failed) {
        const auto found = endpoint_lists_.find(message.list_number);
        if (found == endpoint_lists_.end())
            throw parse_error{"unknown list"};
        for (const auto &entry : found->second) {
            endpoint_info &info = entries.emplace_back(entry.info);
            info.id = entry.id;
            info.endpoint = target.endpoint_ids.find(entry.id);
            if (info.endpoint == none)
                info.endpoint = target.endpoint_ids.add(entry.id);
        }
    }
    target.instance_router->on_endpoints_updated(now_, message.kind, entries);
}

void adapter::receive_request(instance &target, line_parser &line) {
    request_received_message message = parse_request_received(line);
    if (message.request.class_id.value() >= target.class_count)
        throw parse_error{"unknown class"};
    if (target.request_ids.find(message.request_id) != none)
        throw parse_error{"the id came before"};
    message.request.request = target.request_ids.add(message.request_id);
    target.instance_router->on_request(now_, message.request);
}

void adapter::finish_attempt(instance &target, line_parser &line) {
    const attempt_finished_message message = parse_attempt_finished(line);
    const request_index request = target.request_ids.find(message.request_id);
    if (request == none)
        throw parse_error{"unknown request"};
    target.instance_router->on_attempt_finished(now_, request, message.attempt, message.result,
                                                message.is_final, message.fetched, message.report);
}

void adapter::finish_health_check(instance &target, line_parser &line) {
    const health_check_finished_message message = parse_health_check_finished(line);
    const endpoint_index endpoint = target.endpoint_ids.find(message.endpoint_id);
    if (endpoint == none)
        throw parse_error{"unknown endpoint"};
    target.instance_router->on_health_check_finished(now_, endpoint, message.answered, message.report);
}

void adapter::apply_request_event(message_kind kind, instance &target, line_parser &line) {
    const request_index request = target.request_ids.find(line.word());
    if (request == none)
        return;
    if (kind == message_kind::response_started)
        target.instance_router->on_response_started(now_, request);
    else
        target.instance_router->on_client_disconnected(now_, request);
}

void adapter::append_actions(index instance_number, instance &target) {
    for (const auto &router_action : target.instance_router->actions) {
        if (router_action.kind == action_kind::release_request) {
            target.request_ids.release(router_action.request);
            continue;
        }
        action_ids ids;
        if (router_action.request != none)
            ids.request = target.request_ids.id(router_action.request);
        if (router_action.endpoint != none)
            ids.endpoint = target.endpoint_ids.id(router_action.endpoint);
        append_action(reply_, instance_number, router_action, ids);
    }
    target.instance_router->actions.clear();
}

adapter::instance &adapter::find_instance(index instance_number) {
    const auto found = instances_.find(instance_number);
    if (found == instances_.end())
        throw parse_error{"unknown instance"};
    return found->second;
}

} // namespace harrierpass::simulator_adapter
