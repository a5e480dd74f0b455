// SPDX-License-Identifier: Apache-2.0
// Test helpers: replays event scripts against the router; HTTP servers and clients on loopback and child
// processes for the tests of the proxy.
#pragma once

#include "router/router.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace harrierpass::test {

inline std::string read_file(const std::string &path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline std::size_t count_occurrences(const std::string &text, const std::string &part) {
    std::size_t count = 0;
    for (std::size_t position = 0; (position = text.find(part, position)) != std::string::npos;
         position += part.size())
        ++count;
    return count;
}

// Feeds a script of events to a router and returns the script with the router's actions after each event.
// A line that starts with a digit is an event at that time, an indented line is an action, and the lines
// before the first event are settings.
class router_script {
public:
    std::string replay(const std::string &text) {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("    ") || line.empty())
                continue; // an action of the recorded trace
            trace_ << line << '\n';
            if (line[0] == '#')
                continue;
            std::istringstream words(line);
            if (line[0] >= '0' && line[0] <= '9') {
                if (!router_)
                    router_ = make_router(settings_, 1, 0);
                handle_event(words);
                record_actions();
            } else {
                apply_setting(words);
            }
        }
        return trace_.str();
    }

private:
    static long position_of(const std::vector<std::string> &names, const std::string &word) {
        return std::find(names.begin(), names.end(), word) - names.begin();
    }

    void apply_setting(std::istringstream &words) {
        std::string name;
        words >> name;
        if (name == "use_case") {
            request_class parsed;
            std::string effect, scope;
            words >> effect >> scope >> parsed.deduplication_window >> parsed.latency_objective >>
                parsed.priority_weight;
            parsed.effect = static_cast<effect_kind>(
                position_of({"idempotent", "deduplicated", "non_idempotent"}, effect));
            parsed.scope = static_cast<deduplication_scope>(position_of({"all", "zone", "cell"}, scope));
            settings_.request_classes.push_back(parsed);
            return;
        }
        double value = 0;
        words >> value;
        auto &slow_start = settings_.slow_start;
        auto &constraints = settings_.constraints;
        const std::map<std::string, double *> numbers = {
            {"start_capacity", &slow_start.initial_capacity_share},
            {"warm_time", &slow_start.warm_up_time},
            {"max_advice", &constraints.max_retry_after},
            {"excess_importance", &settings_.over_quota_weight_share}};
        const std::map<std::string, bool *> flags = {{"may_cancel", &constraints.may_cancel},
                                                     {"may_probe", &constraints.may_check_health},
                                                     {"drain_alone", &constraints.removal_is_advisory},
                                                     {"subscribe", &constraints.watch_required}};
        const std::map<std::string, index *> counts = {{"executions", &constraints.max_attempts},
                                                       {"peers", &settings_.proxy_count}};
        if (numbers.contains(name))
            *numbers.at(name) = value;
        else if (flags.contains(name))
            *flags.at(name) = value != 0;
        else if (name == "tenant")
            settings_.tenant_quotas.push_back(value);
        else if (name == "origin")
            settings_.origin_kind = kind_index(static_cast<index>(value));
        else
            *counts.at(name) = static_cast<index>(value);
    }

    endpoint_index endpoint_of(const std::string &id) {
        const auto position = static_cast<index>(position_of(endpoint_ids_, id));
        if (position == endpoint_ids_.size())
            endpoint_ids_.push_back(id);
        return endpoint_index(position);
    }

    // TIME list KIND {NAME[/KIND][@ZONE][*STARTED][!|-]} | query ID USE [key=K] [tenant=T] [write] end=T
    //   | end ID EXECUTION OUTCOME [over] [held=N] | adopt NAME VALUE | left ID | probed NAME 0/1 | wake
    //   [UNTIL]
    void handle_event(std::istringstream &words) {
        double now = 0;
        std::string event, word;
        words >> now >> event;
        if (event == "list") {
            update_endpoints(now, words);
        } else if (event == "query") {
            submit_request(now, words);
        } else if (event == "end") {
            finish_attempt(now, words);
        } else if (event == "adopt") { // NAME and VALUE as in a line of settings
            apply_setting(words);
            router_->update_settings(now, settings_);
        } else if (event == "left") {
            index request = 0;
            words >> request;
            router_->on_client_disconnected(now, request_index(request));
        } else if (event == "probed") {
            bool answered = false;
            words >> word >> answered;
            router_->on_health_check_finished(now, endpoint_of(word), answered);
        } else if (event == "wake") {
            double until = now;
            words >> until;
            for (; now <= until + 1e-9; now += 0.05) {
                router_->on_timer(now);
                record_actions(now);
            }
        } else {
            throw std::runtime_error("unknown event " + event);
        }
    }

    void update_endpoints(double now, std::istringstream &words) {
        std::string word;
        words >> word;
        const auto kind =
            static_cast<endpoint_update_kind>(position_of({"changes", "whole", "cached", "lost"}, word));
        std::vector<endpoint_info> entries;
        for (std::string item; words >> item;) {
            endpoint_info entry;
            entry.state = item.back() == '!'   ? endpoint_state::draining
                          : item.back() == '-' ? endpoint_state::removed
                                               : entry.state;
            const auto field = [&](char mark) {
                const auto position = item.find(mark);
                return position == std::string::npos ? 0.0 : std::stod(item.substr(position + 1));
            };
            entry.kind = kind_index(static_cast<index>(field('/')));
            entry.zone = zone_index(static_cast<index>(field('@')));
            entry.cell = cell_index(entry.zone.value());
            entry.started_at = field('*');
            entry.endpoint = endpoint_of(item.substr(0, item.find_first_of("/@*!-")));
            entries.push_back(entry);
        }
        for (auto &entry : entries) // endpoint_ids_ grows no more: references into it stay valid
            entry.id = endpoint_ids_[entry.endpoint.value()];
        router_->on_endpoints_updated(now, kind, entries);
    }

    void submit_request(double now, std::istringstream &words) {
        request_info info;
        index request = 0, class_id = 0;
        words >> request >> class_id;
        info.request = request_index(request);
        info.class_id = class_index(class_id);
        for (std::string item; words >> item;) {
            info.is_write = info.is_write || item == "write";
            if (item.starts_with("key=")) {
                info.has_key = true;
                info.key = std::stoull(item.substr(4));
            }
            if (item.starts_with("tenant="))
                info.tenant = tenant_index(static_cast<index>(std::stoul(item.substr(7))));
            if (item.starts_with("end="))
                info.deadline = std::stod(item.substr(4));
        }
        router_->on_request(now, info);
    }

    void finish_attempt(double now, std::istringstream &words) {
        index request = 0, attempt = 0;
        std::string word, flag;
        load_report report;
        words >> request >> attempt >> word;
        for (std::string item; words >> item;)
            if (item.starts_with("held="))
                report.in_flight = std::stod(item.substr(5));
            else
                flag = item;
        const auto result = position_of({"completed", "error", "queue_full", "timed_out", "connect_error",
                                         "reset", "canceled", "ignored", "miss"},
                                        word);
        router_->on_attempt_finished(now, request_index(request), attempt_number(attempt),
                                     static_cast<outcome>(result), flag == "over", false, report);
    }

    // Appends the router's pending actions to the trace; `now` is written unless it is negative.
    void record_actions(double now = -1) {
        static constexpr std::array<const char *, 8> kinds = {"send",    "cancel", "reject", "abort",
                                                              "release", "probe",  "wake",   "subscribe"};
        for (const auto &router_action : router_->actions) {
            if (router_action.kind == action_kind::set_timer)
                continue;
            trace_ << "    " << kinds[static_cast<std::size_t>(router_action.kind)];
            if (router_action.request != none)
                trace_ << ' ' << router_action.request;
            if (router_action.kind == action_kind::cancel_attempt)
                trace_ << '.' << router_action.attempt;
            if (router_action.endpoint != none)
                trace_ << " -> " << endpoint_ids_[router_action.endpoint.value()];
            if (router_action.time > 0)
                trace_ << " back in " << router_action.time;
            if (now >= 0)
                trace_ << " at " << now;
            trace_ << '\n';
        }
        router_->actions.clear();
    }

    router_settings settings_;
    std::unique_ptr<router> router_;
    std::vector<std::string> endpoint_ids_;
    std::ostringstream trace_;
};

inline std::string ok_response(const std::string &body, const std::string &fields = "") {
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// Reads one HTTP message, framed by its Content-Length. Returns the bytes received so far if the peer closes
// the connection.
inline std::string read_http_message(int fd) {
    std::string received;
    for (std::array<char, 4096> part{};;) {
        if (const auto head = received.find("\r\n\r\n"); head != std::string::npos) {
            const auto length = received.find("Content-Length: ");
            const auto body = length < head ? std::stoul(received.substr(length + 16)) : 0;
            if (received.size() >= head + 4 + body)
                return received;
        }
        const auto size = ::recv(fd, part.data(), part.size(), 0);
        if (size <= 0)
            return received;
        received.append(part.data(), static_cast<std::size_t>(size));
    }
}

inline void send_all(int fd, const std::string &text) {
    for (std::size_t sent = 0; sent < text.size();) {
        const auto size = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return;
        sent += static_cast<std::size_t>(size);
    }
}

inline sockaddr_in loopback_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

// An HTTP server on a free loopback port. `respond` returns, for each request, the text to send or one of:
// "reset", "close", "cut:" and a text to send before the close, "hold" to wait for a text from
// push_response().
class test_server {
public:
    test_server(const test_server &) = delete;
    test_server &operator=(const test_server &) = delete;
    explicit test_server(std::function<std::string(const std::string &request)> respond)
        : respond_(std::move(respond)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
        auto address = loopback_address(0);
        socklen_t size = sizeof address;
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
            ::listen(listener_, 64) != 0)
            throw std::runtime_error("test server cannot listen on loopback");
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept_connections(); });
    }
    ~test_server() {
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard guard(mutex_);
            stopping_ = true;
            for (const int fd : open_connections_)
                ::shutdown(fd, SHUT_RDWR);
        }
        changed_.notify_all();
        for (auto &thread : threads_)
            thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // Queues a text for a request that `respond` answered with "hold".
    void push_response(const std::string &text) {
        {
            const std::lock_guard guard(mutex_);
            pushed_responses_.push_back(text);
        }
        changed_.notify_all();
    }
    std::size_t request_count() {
        const std::lock_guard guard(mutex_);
        return requests_.size();
    }
    std::string last_request() {
        const std::lock_guard guard(mutex_);
        return requests_.empty() ? "" : requests_.back();
    }
    // Number of requests that contain this text.
    std::size_t count_received(const std::string &text) {
        const std::lock_guard guard(mutex_);
        return static_cast<std::size_t>(std::ranges::count_if(
            requests_, [&](const auto &request) { return request.find(text) != request.npos; }));
    }
    // Whether any request contains this text.
    bool has_received(const std::string &text) {
        const std::lock_guard guard(mutex_);
        return std::ranges::any_of(requests_,
                                   [&](const auto &request) { return request.find(text) != request.npos; });
    }
    // Connections accepted since the start.
    std::size_t connection_count() {
        const std::lock_guard guard(mutex_);
        return threads_.size();
    }
    std::size_t open_connection_count() {
        const std::lock_guard guard(mutex_);
        return open_connections_.size();
    }
    void wait_for_requests(std::size_t count) {
        std::unique_lock guard(mutex_);
        changed_.wait(guard, [&] { return requests_.size() >= count; });
    }
    // Waits until this server and another one have received `count` requests together.
    void wait_for_total_requests(test_server &other, std::size_t count) {
        while (request_count() + other.request_count() < count)
            std::this_thread::yield();
    }

private:
    void accept_connections() {
        for (int fd; (fd = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            const std::lock_guard guard(mutex_);
            open_connections_.push_back(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd) {
        for (std::string request; !(request = read_http_message(fd)).empty();) {
            {
                const std::lock_guard guard(mutex_);
                requests_.push_back(request);
            }
            changed_.notify_all();
            std::string response = respond_(request);
            if (response == "hold") {
                std::unique_lock guard(mutex_);
                changed_.wait(guard, [&] { return stopping_ || !pushed_responses_.empty(); });
                if (stopping_)
                    break;
                response = pushed_responses_.front();
                pushed_responses_.pop_front();
            }
            if (response == "reset") {
                const linger reset_on_close{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
            }
            if (response.starts_with("cut:"))
                send_all(fd, response.substr(4));
            if (response == "reset" || response == "close" || response.starts_with("cut:"))
                break;
            send_all(fd, response);
        }
        const std::lock_guard guard(mutex_);
        open_connections_.remove(fd);
        ::close(fd);
    }

    std::function<std::string(const std::string &)> respond_;
    int listener_ = -1, port_ = 0;
    std::thread acceptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<int> open_connections_;
    std::list<std::string> pushed_responses_;
    std::vector<std::string> requests_;
    std::list<std::thread> threads_;
    bool stopping_ = false;
};

// A keep-alive client connection to a loopback port.
class test_client {
public:
    explicit test_client(int port) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        const auto address = loopback_address(port);
        if (::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            throw std::runtime_error("test client cannot connect to port " + std::to_string(port));
    }
    ~test_client() { ::close(fd_); }
    test_client(const test_client &) = delete;
    test_client &operator=(const test_client &) = delete;
    void send(const std::string &text) { send_all(fd_, text); }
    std::string read() { return read_http_message(fd_); }
    // Sends a request and returns its response.
    std::string request(const std::string &text) {
        send(text);
        return read();
    }
    // Blocks for the next byte or the end of the connection; returns whether the peer closed it.
    bool wait_for_close() {
        char byte;
        return ::recv(fd_, &byte, 1, 0) <= 0;
    }

    // Whether the peer has closed the connection; does not block.
    bool is_closed() {
        char byte;
        const auto size = ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return size == 0 || (size < 0 && errno != EAGAIN);
    }

private:
    int fd_;
};

// Runs a program with one argument and collects its standard error.
class child_process {
public:
    child_process(const std::string &path, const std::string &argument) {
        int pipe_ends[2];
        if (::pipe(pipe_ends) != 0)
            throw std::runtime_error("cannot create a pipe for the child's standard error");
        posix_spawn_file_actions_t file_actions;
        posix_spawn_file_actions_init(&file_actions);
        posix_spawn_file_actions_adddup2(&file_actions, pipe_ends[1], 2);
        posix_spawn_file_actions_addclose(&file_actions, pipe_ends[0]);
        std::string program_name = path, only_argument = argument;
        char *const arguments[] = {program_name.data(), only_argument.data(), nullptr};
        const int error = ::posix_spawn(&pid_, path.c_str(), &file_actions, nullptr, arguments, environ);
        posix_spawn_file_actions_destroy(&file_actions);
        ::close(pipe_ends[1]);
        if (error != 0)
            throw std::runtime_error("cannot start " + path);
        reader_ = std::thread([this, fd = pipe_ends[0]] {
            std::array<char, 4096> part{};
            for (ssize_t size; (size = ::read(fd, part.data(), part.size())) > 0;) {
                const std::lock_guard guard(mutex_);
                output_.append(part.data(), static_cast<std::size_t>(size));
                changed_.notify_all();
            }
            ::close(fd);
            const std::lock_guard guard(mutex_);
            output_complete_ = true;
            changed_.notify_all();
        });
    }
    ~child_process() {
        if (!reaped_) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        reader_.join();
    }
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;
    void signal(int number) const { ::kill(pid_, number); }
    pid_t pid() const { return pid_; }
    std::string output() {
        const std::lock_guard guard(mutex_);
        return output_;
    }
    // Waits until the output contains `text`; throws if the process ends without it.
    void wait_for_output(const std::string &text) {
        std::unique_lock guard(mutex_);
        changed_.wait(guard, [&] { return output_complete_ || output_.find(text) != std::string::npos; });
        if (output_.find(text) == std::string::npos)
            throw std::runtime_error("child process ended without writing " + text);
    }
    // The output behind the first occurrence of `text`; empty if there is none.
    std::string output_after(const std::string &text) {
        const std::string all = output();
        const auto position = all.find(text);
        return position == std::string::npos ? "" : all.substr(position + text.size());
    }
    // Waits for the process to end; returns its exit status, or -1 if a signal ended it.
    int wait_for_exit() {
        int status = 0;
        ::waitpid(pid_, &status, 0);
        reaped_ = true;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t pid_ = -1;
    bool reaped_ = false, output_complete_ = false;
    std::thread reader_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string output_;
};

} // namespace harrierpass::test
