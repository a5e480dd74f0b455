// SPDX-License-Identifier: Apache-2.0
// What the tests share: a player of scripts of events for the router; servers and clients on loopback that do
// as they are told, for the proxy.
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
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

inline std::size_t count_of(const std::string &text, const std::string &what) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += what.size())
        ++count;
    return count;
}

// Plays a script of events to a router and writes it out again with the decisions taken after each event.
// A line that starts with a digit is an event at that time; decisions are indented; the first lines set up.
class script {
public:
    std::string play(const std::string &text) {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("    ") || line.empty())
                continue; // a decision of the kept trace
            out_ << line << '\n';
            if (line[0] == '#')
                continue;
            std::istringstream words(line);
            if (line[0] >= '0' && line[0] <= '9') {
                if (!router_)
                    router_ = make_router(settings_, 1, 0);
                event(words);
                print();
            } else {
                set_up(words);
            }
        }
        return out_.str();
    }

private:
    static long place(const std::vector<std::string> &names, const std::string &word) {
        return std::find(names.begin(), names.end(), word) - names.begin();
    }

    void set_up(std::istringstream &words) {
        std::string name;
        words >> name;
        if (name == "use_case") {
            request_class use;
            std::string effect, group;
            words >> effect >> group >> use.deduplication_window >> use.latency_objective >>
                use.priority_weight;
            use.effect =
                static_cast<effect_kind>(place({"idempotent", "deduplicated", "non_idempotent"}, effect));
            use.scope = static_cast<deduplication_scope>(place({"all", "zone", "cell"}, group));
            settings_.request_classes.push_back(use);
            return;
        }
        double value = 0;
        words >> value;
        auto &cold = settings_.slow_start;
        auto &allow = settings_.constraints;
        const std::map<std::string, double *> numbers = {
            {"start_capacity", &cold.initial_capacity_share},
            {"warm_time", &cold.warm_up_time},
            {"max_advice", &allow.max_retry_after},
            {"excess_importance", &settings_.over_quota_weight_share}};
        const std::map<std::string, bool *> flags = {{"may_cancel", &allow.may_cancel},
                                                     {"may_probe", &allow.may_check_health},
                                                     {"drain_alone", &allow.removal_is_advisory},
                                                     {"subscribe", &allow.watch_required}};
        const std::map<std::string, index *> counts = {{"executions", &allow.max_attempts},
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

    endpoint_index server(const std::string &name) {
        const auto at = static_cast<index>(place(names_, name));
        if (at == names_.size())
            names_.push_back(name);
        return endpoint_index(at);
    }

    // TIME list KIND {NAME[/KIND][@ZONE][*STARTED][!|-]} | query ID USE [key=K] [tenant=T] [write] end=T
    //   | end ID EXECUTION OUTCOME [over] [held=N] | adopt NAME VALUE | left ID | probed NAME 0/1 | wake
    //   [UNTIL]
    void event(std::istringstream &words) {
        double now = 0;
        std::string what, word;
        words >> now >> what;
        if (what == "list") {
            words >> word;
            const auto kind =
                static_cast<endpoint_update_kind>(place({"changes", "whole", "cached", "lost"}, word));
            std::vector<endpoint_info> entries;
            for (std::string item; words >> item;) {
                endpoint_info entry;
                entry.state = item.back() == '!'   ? endpoint_state::draining
                              : item.back() == '-' ? endpoint_state::removed
                                                   : entry.state;
                const auto field = [&](char mark) {
                    const auto at = item.find(mark);
                    return at == std::string::npos ? 0.0 : std::stod(item.substr(at + 1));
                };
                entry.kind = kind_index(static_cast<index>(field('/')));
                entry.zone = zone_index(static_cast<index>(field('@')));
                entry.cell = cell_index(entry.zone.value());
                entry.started_at = field('*');
                entry.endpoint = server(item.substr(0, item.find_first_of("/@*!-")));
                entries.push_back(entry);
            }
            for (auto &entry : entries) // names_ holds still now
                entry.id = names_[entry.endpoint.value()];
            router_->on_endpoints_updated(now, kind, entries);
        } else if (what == "query") {
            request_info made;
            index query = 0, use_case = 0;
            words >> query >> use_case;
            made.request = request_index(query);
            made.class_id = class_index(use_case);
            for (std::string item; words >> item;) {
                made.is_write = made.is_write || item == "write";
                if (item.starts_with("key="))
                    made.has_key = true, made.key = std::stoull(item.substr(4));
                if (item.starts_with("tenant="))
                    made.tenant = tenant_index(static_cast<index>(std::stoul(item.substr(7))));
                if (item.starts_with("end="))
                    made.deadline = std::stod(item.substr(4));
            }
            router_->on_request(now, made);
        } else if (what == "end") {
            index query = 0, execution = 0;
            std::string over;
            load_report told;
            words >> query >> execution >> word;
            for (std::string item; words >> item;)
                if (item.starts_with("held="))
                    told.in_flight = std::stod(item.substr(5));
                else
                    over = item;
            const auto at = place({"completed", "error", "queue_full", "timed_out", "connect_error", "reset",
                                   "canceled", "ignored", "miss"},
                                  word);
            router_->on_attempt_finished(now, request_index(query), attempt_number(execution),
                                         static_cast<outcome>(at), over == "over", false, told);
        } else if (what == "adopt") { // one more line of settings, by its words
            set_up(words);
            router_->update_settings(now, settings_);
        } else if (what == "left") {
            index query = 0;
            words >> query;
            router_->on_client_disconnected(now, request_index(query));
        } else if (what == "probed") {
            bool answered = false;
            words >> word >> answered;
            router_->on_health_check_finished(now, server(word), answered);
        } else if (what == "wake") {
            double until = now;
            words >> until;
            for (; now <= until + 1e-9; now += 0.05) {
                router_->on_timer(now);
                print(now);
            }
        } else {
            throw std::runtime_error("unknown event " + what);
        }
    }

    void print(double at = -1) {
        static constexpr std::array<const char *, 8> kinds = {"send",    "cancel", "reject", "abort",
                                                              "release", "probe",  "wake",   "subscribe"};
        for (const auto &act : router_->actions) {
            if (act.kind == action_kind::set_timer)
                continue;
            out_ << "    " << kinds[static_cast<std::size_t>(act.kind)];
            if (act.request != none)
                out_ << ' ' << act.request;
            if (act.kind == action_kind::cancel_attempt)
                out_ << '.' << act.attempt;
            if (act.endpoint != none)
                out_ << " -> " << names_[act.endpoint.value()];
            if (act.time > 0)
                out_ << " back in " << act.time;
            if (at >= 0)
                out_ << " at " << at;
            out_ << '\n';
        }
        router_->actions.clear();
    }

    router_settings settings_;
    std::unique_ptr<router> router_;
    std::vector<std::string> names_;
    std::ostringstream out_;
};

inline std::string ok(const std::string &body, const std::string &fields = "") {
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

// One message from a socket, told apart by its length; what came so far where the other side ended.
inline std::string read_message(int fd) {
    std::string got;
    for (std::array<char, 4096> part{};;) {
        if (const auto head = got.find("\r\n\r\n"); head != std::string::npos) {
            const auto length = got.find("Content-Length: ");
            const auto body = length < head ? std::stoul(got.substr(length + 16)) : 0;
            if (got.size() >= head + 4 + body)
                return got;
        }
        const auto size = ::recv(fd, part.data(), part.size(), 0);
        if (size <= 0)
            return got;
        got.append(part.data(), static_cast<std::size_t>(size));
    }
}

inline void write_text(int fd, const std::string &text) {
    for (std::size_t at = 0; at < text.size();) {
        const auto wrote = ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (wrote <= 0)
            return;
        at += static_cast<std::size_t>(wrote);
    }
}

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}

// Answers each request on a port of its own as `how` says: a text to send, "reset", "close", "cut:" and a
// text to send before the close, or "hold": nothing until push() brings the text.
class toy_server {
public:
    toy_server(const toy_server &) = delete;
    toy_server &operator=(const toy_server &) = delete;
    explicit toy_server(std::function<std::string(const std::string &request)> how)
        : how_(std::move(how)), listening_(::socket(AF_INET, SOCK_STREAM, 0)) {
        auto at = loopback(0);
        socklen_t size = sizeof at;
        if (::bind(listening_, reinterpret_cast<sockaddr *>(&at), size) != 0 || ::listen(listening_, 64) != 0)
            throw std::runtime_error("no port");
        ::getsockname(listening_, reinterpret_cast<sockaddr *>(&at), &size);
        port_ = ntohs(at.sin_port);
        acceptor_ = std::thread([this] { accept_all(); });
    }
    ~toy_server() {
        ::shutdown(listening_, SHUT_RDWR);
        acceptor_.join();
        ::close(listening_);
        {
            const std::lock_guard hold(lock_);
            ends_ = true;
            for (const int fd : open_)
                ::shutdown(fd, SHUT_RDWR);
        }
        changed_.notify_all();
        for (auto &each : threads_)
            each.join();
    }

    std::string at() const { return "127.0.0.1:" + std::to_string(port_); }
    void push(const std::string &text) {
        {
            const std::lock_guard hold(lock_);
            pushed_.push_back(text);
        }
        changed_.notify_all();
    }
    std::size_t count() {
        const std::lock_guard hold(lock_);
        return seen_.size();
    }
    std::string last() {
        const std::lock_guard hold(lock_);
        return seen_.empty() ? "" : seen_.back();
    }
    bool saw(const std::string &part) { // in any request
        const std::lock_guard hold(lock_);
        return std::ranges::any_of(seen_, [&](const auto &each) { return each.find(part) != each.npos; });
    }
    std::size_t connections() {
        const std::lock_guard hold(lock_);
        return threads_.size();
    }
    std::size_t open() {
        const std::lock_guard hold(lock_);
        return open_.size();
    }
    void wait_for(std::size_t requests) {
        std::unique_lock hold(lock_);
        changed_.wait(hold, [&] { return seen_.size() >= requests; });
    }
    void wait_for_any(toy_server &other, std::size_t requests) { // both together
        while (count() + other.count() < requests)
            std::this_thread::yield();
    }

private:
    void accept_all() {
        for (int fd; (fd = ::accept(listening_, nullptr, nullptr)) >= 0;) {
            const std::lock_guard hold(lock_);
            open_.push_back(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd) {
        for (std::string request; !(request = read_message(fd)).empty();) {
            {
                const std::lock_guard hold(lock_);
                seen_.push_back(request);
            }
            changed_.notify_all();
            std::string answer = how_(request);
            if (answer == "hold") {
                std::unique_lock hold(lock_);
                changed_.wait(hold, [&] { return ends_ || !pushed_.empty(); });
                if (ends_)
                    break;
                answer = pushed_.front();
                pushed_.pop_front();
            }
            if (answer == "reset") {
                const linger none_left{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &none_left, sizeof none_left);
            }
            if (answer.starts_with("cut:"))
                write_text(fd, answer.substr(4));
            if (answer == "reset" || answer == "close" || answer.starts_with("cut:"))
                break;
            write_text(fd, answer);
        }
        const std::lock_guard hold(lock_);
        open_.remove(fd);
        ::close(fd);
    }

    std::function<std::string(const std::string &)> how_;
    int listening_ = -1, port_ = 0;
    std::thread acceptor_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::list<int> open_;
    std::list<std::string> pushed_;
    std::vector<std::string> seen_;
    std::list<std::thread> threads_;
    bool ends_ = false;
};

// A client's connection, kept from one query to the next.
class toy_client {
public:
    explicit toy_client(int port) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        const auto at = loopback(port);
        if (::connect(fd_, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0)
            throw std::runtime_error("no connection");
    }
    ~toy_client() { ::close(fd_); }
    toy_client(const toy_client &) = delete;
    toy_client &operator=(const toy_client &) = delete;
    void send(const std::string &text) { write_text(fd_, text); }
    std::string read() { return read_message(fd_); }
    std::string ask(const std::string &text) {
        send(text);
        return read();
    }
    bool ended() { // the other side closes, in time
        char byte;
        return ::recv(fd_, &byte, 1, 0) <= 0;
    }

    bool ended_now() {
        char byte;
        const auto got = ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return got == 0 || (got < 0 && errno != EAGAIN);
    }

private:
    int fd_;
};

// A program that is started with one argument; what it writes to standard error is kept.
class program {
public:
    program(const std::string &path, const std::string &argument) {
        int ends[2];
        if (::pipe(ends) != 0)
            throw std::runtime_error("no pipe");
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_adddup2(&files, ends[1], 2);
        posix_spawn_file_actions_addclose(&files, ends[0]);
        std::string name = path, with = argument;
        char *const words[] = {name.data(), with.data(), nullptr};
        const int failed = ::posix_spawn(&id_, path.c_str(), &files, nullptr, words, environ);
        posix_spawn_file_actions_destroy(&files);
        ::close(ends[1]);
        if (failed != 0)
            throw std::runtime_error("no program");
        reader_ = std::thread([this, from = ends[0]] {
            std::array<char, 4096> part{};
            for (ssize_t size; (size = ::read(from, part.data(), part.size())) > 0;) {
                const std::lock_guard hold(lock_);
                text_.append(part.data(), static_cast<std::size_t>(size));
                changed_.notify_all();
            }
            ::close(from);
            const std::lock_guard hold(lock_);
            ended_ = true;
            changed_.notify_all();
        });
    }
    ~program() {
        if (!waited_) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
        }
        reader_.join();
    }
    program(const program &) = delete;
    program &operator=(const program &) = delete;
    void signal(int which) const { ::kill(id_, which); }
    pid_t id() const { return id_; }
    std::string text() {
        const std::lock_guard hold(lock_);
        return text_;
    }
    void wait_for(const std::string &part) {
        std::unique_lock hold(lock_);
        changed_.wait(hold, [&] { return ended_ || text_.find(part) != std::string::npos; });
        if (text_.find(part) == std::string::npos)
            throw std::runtime_error("it ended without writing " + part);
    }
    std::string after(const std::string &part) { // empty: it is not there
        const std::string all = text();
        const auto at = all.find(part);
        return at == std::string::npos ? "" : all.substr(at + part.size());
    }
    int status() { // of its end, which is waited for; negative: a signal ended it
        int how = 0;
        ::waitpid(id_, &how, 0);
        waited_ = true;
        return WIFEXITED(how) ? WEXITSTATUS(how) : -1;
    }

private:
    pid_t id_ = -1;
    bool waited_ = false, ended_ = false;
    std::thread reader_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::string text_;
};

} // namespace harrierpass::test
