// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/hot_restart.hpp"

#include "base/text.hpp"
#include "proxy/operations/local_socket.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace harrierpass::proxy {
namespace {

constexpr double take_over_timeout = 1; // s for the response of a running process
constexpr double command_timeout = 0.4; // s; operators wait for 1 s at most, for two exchanges
constexpr double stopped_check_interval =
    0.02;                               // s between checks whether a peer that is waited for is stopped
constexpr double usage_interval = 0.05; // s between two usage messages
constexpr double peer_silence_limit =
    0.5; // s; a successor that is silent for longer does not count as serving
constexpr double accept_retry_pause = 0.005; // s after a failed accept4()
constexpr double no_peers_interval = 0.25;   // s between checks while there are no peers
constexpr double name_check_interval = 1;    // s between checks of the common name
constexpr std::uint32_t max_processes = 15;  // the platform starts one successor at a time
constexpr std::size_t max_state_size = max_local_message_size * 3 / 4; // bytes; leaves room for the usage

using kind = peer_message::kind;

} // namespace

hot_restart::peer::peer(tcp_socket connection)
    : socket(std::move(connection)), process(peer_process(socket)), heard_at(steady_now()) {}

hot_restart::hot_restart(std::string directory, const std::string &listen)
    : directory_(std::move(directory)), name_("harrierpass-" + listen) {
    const std::string path = directory_ + "/" + name_ + ".lock";
    tcp_socket file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR));
    if (file)
        slot_ = process_slot::claim(std::move(file), max_processes);
    if (slot_)
        state_file_.emplace(directory_, listen, slot_->number());
}

hot_restart::~hot_restart() {
    stopping_ = true;
    if (thread_)
        wake_thread(thread_->id());
    thread_.reset();
    if (successor_socket_)
        ::unlink((directory_ + "/" + socket_name(slot_->number())).c_str());
}

std::string hot_restart::socket_name(std::uint32_t slot) const {
    return name_ + "." + std::to_string(slot) + ".sock";
}

std::string hot_restart::common_name() const {
    return name_ + ".sock";
}

std::optional<std::string> hot_restart::stored_operator_state() {
    auto text = state_file_ ? state_file_->read_if_changed() : std::nullopt;
    if (text)
        stored_text_ = *text;
    return text;
}

// ---- Taking over

std::optional<hot_restart::handover> hot_restart::take_over() {
    if (!slot_)
        return std::nullopt;
    connect_to_peers();
    return await_handover();
}

void hot_restart::connect_to_peers() {
    for (std::uint32_t slot = 1; slot <= max_processes; ++slot)
        if (slot != slot_->number() && !slot_->is_free(slot))
            greet(connect_locally(directory_, socket_name(slot)));
    const std::string name = common_name();
    struct stat status {};
    const bool is_of_older_release =
        ::lstat((directory_ + "/" + name).c_str(), &status) == 0 && S_ISSOCK(status.st_mode);
    if (is_of_older_release)
        greet(connect_locally(directory_, name));
}

void hot_restart::greet(tcp_socket connection) {
    if (!connection)
        return;
    const std::string hello = to_message({{kind::hello, std::string(peer_message::reads_operator_state)}});
    if (send_locally(connection, hello))
        peers_.emplace_back(std::move(connection));
}

std::optional<hot_restart::handover> hot_restart::await_handover() {
    const double deadline = steady_now() + take_over_timeout;
    while (!peers_.empty() && steady_now() < deadline) {
        if (auto response = read_handover())
            return response;
        if (all_stopped())
            break;
        std::vector<pollfd> polled;
        for (const auto &peer_process : peers_)
            polled.push_back({peer_process.socket.get(), POLLIN, 0});
        // poll() and not wait_on(): this is the main thread of the program.
        ::poll(polled.data(), polled.size(), static_cast<int>(stopped_check_interval * 1000));
    }
    return std::nullopt;
}

std::optional<hot_restart::handover> hot_restart::read_handover() {
    for (auto peer_process = peers_.begin(); peer_process != peers_.end();) {
        handover response;
        const std::string text = receive_locally(peer_process->socket, response.listener);
        if (text.empty() && errno == EAGAIN) {
            ++peer_process;
            continue;
        }
        try {
            response.state = read_message(text);
            if (!response.state.empty() && !response.listener)
                continue; // e.g. the usage, sent before the `hello` was read
            if (!response.state.empty()) {
                peer_process->shares_listener = true;
                introduce(*peer_process, response.state);
                return response;
            }
        } catch (const parse_error &) { // e.g. from another release; handled like the end of the peer
        }
        peer_process = peers_.erase(peer_process);
    }
    return std::nullopt;
}

void hot_restart::introduce(peer &sender, const std::vector<peer_message> &response) {
    sender.is_introduced = true;
    for (const auto &message : response) {
        if (message.type == kind::usage)
            sender.usage = parse_usage(message.text);
        if (message.type == kind::operator_state)
            sender.reads_operator_state = true;
    }
}

bool hot_restart::all_stopped() const {
    return std::ranges::all_of(peers_, [](const peer &each) { return is_stopped(each.process); });
}

// ---- Functions for other threads

void hot_restart::run(callbacks handlers, const tcp_socket &listener) {
    callbacks_ = std::move(handlers);
    listener_fd_ = listener.get();
    if (!slot_)
        return;
    listen_for_successors(); // before this process serves, so that it is found from then on
    if (!peers_.empty())
        on_peers_changed(); // shares the limits with the other processes from the start
    thread_.emplace([this] { loop(); });
}

void hot_restart::withdraw_listener() {
    const std::lock_guard guard(mutex_);
    listener_fd_ = -1;
}

void hot_restart::start_serving() {
    std::unique_lock guard(mutex_);
    is_serving_ = true;
    for (auto &peer_process : peers_)
        if (peer_process.shares_listener)
            send_command(peer_process, {{kind::ready, {}}});
    await_acknowledgements(guard, steady_now() + command_timeout);
}

void hot_restart::synchronize() {
    if (!thread_)
        return;
    const double deadline = steady_now() + command_timeout;
    std::unique_lock guard(mutex_);
    const unsigned long round = ++requested_rounds_;
    wake_thread(thread_->id());
    while (ended_rounds_ < round && steady_now() < deadline)
        progress_.wait_for(guard, std::chrono::duration<double>(deadline - steady_now()));
    await_acknowledgements(guard, deadline);
}

// The list of peers may change while the lock is not held, so each turn looks at all of them.
void hot_restart::await_acknowledgements(std::unique_lock<std::mutex> &guard, double deadline) {
    while (steady_now() < deadline) {
        std::vector<pid_t> awaited;
        for (const auto &peer_process : peers_)
            if (peer_process.acknowledged < peer_process.sent)
                awaited.push_back(peer_process.process);
        guard.unlock();
        const bool all_awaited_are_stopped = std::ranges::all_of(awaited, is_stopped);
        guard.lock();
        if (all_awaited_are_stopped)
            return;
        progress_.wait_for(guard, std::chrono::duration<double>(stopped_check_interval));
    }
}

// Never blocks: the socket buffer holds far more than one batch of messages, so a full buffer means that the
// peer hangs. It reads the state file when it continues.
void hot_restart::send_command(peer &receiver, const std::vector<peer_message> &messages) {
    if (!messages.empty() && send_locally(receiver.socket, to_message(messages)))
        receiver.sent += messages.size();
}

// ---- The thread

void hot_restart::listen_for_successors() {
    const std::string temporary_name = name_ + "." + std::to_string(slot_->number()) + ".new";
    successor_socket_ =
        listen_locally(directory_, socket_name(slot_->number()), temporary_name, max_processes);
}

void hot_restart::loop() {
    while (!stopping_) {
        if (!successor_socket_)
            listen_for_successors();
        poll_peers();
        unsigned long round = 0;
        {
            const std::lock_guard guard(mutex_);
            round = requested_rounds_;
        }
        exchange_operator_state();
        {
            const std::lock_guard guard(mutex_);
            ended_rounds_ = round;
            progress_.notify_all();
        }
        if (is_serving_)
            maintain_common_name();
        send_usage();
    }
}

bool hot_restart::is_round_requested() {
    const std::lock_guard guard(mutex_);
    return ended_rounds_ < requested_rounds_;
}

void hot_restart::poll_peers() {
    std::vector<pollfd> polled;
    for (const auto &peer_process : peers_)
        polled.push_back({peer_process.socket.get(), POLLIN, 0});
    const bool has_peers = !polled.empty();
    polled.push_back({successor_socket_.get(), POLLIN, 0});
    const double interval = has_peers ? usage_interval : no_peers_interval;
    wait_on(polled, is_round_requested() ? 0 : interval); // another wait may have taken the wake-up
    const bool is_successor_waiting = polled.back().revents != 0;
    polled.pop_back();
    read_peers(polled);
    if (is_successor_waiting)
        accept_successor();
    if (has_peers || is_successor_waiting)
        on_peers_changed();
}

void hot_restart::read_peers(const std::vector<pollfd> &polled) {
    auto peer_process = peers_.begin();
    for (const auto &each : polled) {
        if (each.revents == 0 || read_messages(*peer_process)) {
            ++peer_process;
            continue;
        }
        const std::lock_guard guard(mutex_);
        peer_process = peers_.erase(peer_process);
        name_checked_at_ = 0; // the common name may have led to it
    }
}

void hot_restart::accept_successor() {
    tcp_socket successor = accept_locally(successor_socket_);
    if (!successor) { // it may still wait in the backlog: polling without a pause would spin
        wait_on({}, accept_retry_pause);
        return;
    }
    const std::lock_guard guard(mutex_);
    peers_.emplace_back(std::move(successor));
}

bool hot_restart::read_messages(peer &sender) {
    tcp_socket listener;
    const std::string text = receive_locally(sender.socket, listener);
    if (text.empty())
        return errno == EAGAIN;
    sender.heard_at = steady_now();
    try {
        const std::vector<peer_message> messages = read_message(text);
        if (listener)
            on_late_handover(sender, listener, messages);
        else
            return std::ranges::all_of(
                messages, [&](const peer_message &message) { return handle_message(sender, message); });
    } catch (const parse_error &) { // e.g. from another release; handled like the end of the peer
        return false;
    }
    return true;
}

bool hot_restart::handle_message(peer &sender, const peer_message &message) {
    switch (message.type) {
    case kind::hello:
        return hand_over(sender, message.text == peer_message::reads_operator_state);
    case kind::usage:
        sender.usage = parse_usage(message.text);
        return true;
    case kind::done: {
        const std::lock_guard guard(mutex_);
        ++sender.acknowledged;
        progress_.notify_all();
        return true;
    }
    case kind::operator_state:
        sender.reads_operator_state = true;
        callbacks_.merge_operator_state(message.text);
        break;
    case kind::ready:
        sender.ready = true;
        on_peers_changed();
        callbacks_.on_message(message);
        break;
    default:
        callbacks_.on_message(message);
    }
    // What has changed is announced to all other peers before the next wait.
    const std::lock_guard guard(mutex_);
    (void)send_locally(sender.socket, to_message({{kind::done, {}}}));
    return true;
}

bool hot_restart::hand_over(peer &successor, bool reads_operator_state) {
    successor.is_successor = successor.is_introduced = true;
    successor.reads_operator_state = reads_operator_state;
    std::vector<peer_message> state;
    if (reads_operator_state)
        state.push_back({kind::operator_state, callbacks_.operator_state(max_state_size)});
    else
        state = callbacks_.state_messages();
    state.push_back({kind::usage, to_text(callbacks_.local_usage())});
    const std::lock_guard guard(mutex_);
    return listener_fd_ >= 0 && send_locally(successor.socket, to_message(state), listener_fd_);
}

// A process that responds late, as it was stopped, may have a listening socket of its own. It has to go on
// accepting clients from it.
void hot_restart::on_late_handover(peer &sender, const tcp_socket &listener,
                                   const std::vector<peer_message> &state) {
    introduce(sender, state);
    for (const auto &message : state)
        if (message.type == kind::operator_state)
            callbacks_.merge_operator_state(message.text);
    std::vector<peer_message> commands;
    if (!sender.reads_operator_state) {
        callbacks_.merge_older_state(state);
        commands = callbacks_.all_commands();
    }
    const std::lock_guard guard(mutex_);
    send_command(sender, commands);
    sender.shares_listener = listener_fd_ >= 0 && is_same_socket(listener.get(), listener_fd_);
    if (sender.shares_listener && is_serving_)
        send_command(sender, {{kind::ready, {}}});
}

void hot_restart::on_peers_changed() {
    shared_usage total;
    bool has_successor = false;
    const double now = steady_now();
    for (const auto &peer_process : peers_) {
        total.has_peers = true;
        total.descriptors += peer_process.usage.descriptors;
        total.clients += peer_process.usage.clients;
        const bool serves = peer_process.is_successor && peer_process.ready &&
                            now - peer_process.heard_at < peer_silence_limit;
        has_successor = has_successor || serves;
    }
    has_successor_ = has_successor;
    callbacks_.on_peer_usage(total);
}

void hot_restart::send_usage() {
    if (peers_.empty() || steady_now() - usage_sent_at_ < usage_interval)
        return;
    usage_sent_at_ = steady_now();
    const std::string usage = to_message({{kind::usage, to_text(callbacks_.local_usage())}});
    const std::lock_guard guard(mutex_);
    for (const auto &peer_process : peers_)
        if (peer_process.is_introduced)
            (void)send_locally(peer_process.socket, usage);
}

// ---- The operators' state

void hot_restart::exchange_operator_state() {
    if (auto text = state_file_->read_if_changed()) {
        callbacks_.merge_operator_state(*text);
        stored_text_ = std::move(*text);
        is_written_ = false; // unless it says all that this process knows
    }
    const std::uint64_t version = callbacks_.operator_state_version();
    const bool has_changed = std::exchange(merged_version_, version) != version;
    if (has_changed || !is_written_)
        write_state_file();
    if (has_changed)
        announce_operator_state();
}

void hot_restart::write_state_file() {
    const std::string text = callbacks_.operator_state(std::string::npos);
    is_written_ = text == stored_text_ || state_file_->write(text);
    const int error = errno;
    if (is_written_)
        stored_text_ = text;
    else if (!has_reported_failure_)
        callbacks_.on_write_failed(error);
    has_reported_failure_ = !is_written_;
}

void hot_restart::announce_operator_state() {
    const std::vector<peer_message> state = {
        {kind::operator_state, callbacks_.operator_state(max_state_size)}};
    const std::vector<peer_message> commands = callbacks_.new_commands();
    const std::lock_guard guard(mutex_);
    for (auto &peer_process : peers_)
        if (peer_process.is_introduced)
            send_command(peer_process, peer_process.reads_operator_state ? state : commands);
}

// ---- The common name

void hot_restart::maintain_common_name() {
    const double now = steady_now();
    if (now - name_checked_at_ < name_check_interval)
        return;
    name_checked_at_ = now;
    if (::access((directory_ + "/" + socket_name(slot_->number())).c_str(), F_OK) != 0)
        successor_socket_.close(); // the file was removed: listens anew in the next turn
    if (!successor_socket_ || is_common_name_in_use())
        return;
    const std::string path = directory_ + "/" + common_name();
    const std::string temporary_path = path + "." + std::to_string(slot_->number());
    ::unlink(temporary_path.c_str());
    if (::symlink(socket_name(slot_->number()).c_str(), temporary_path.c_str()) == 0 &&
        std::rename(temporary_path.c_str(), path.c_str()) != 0)
        ::unlink(temporary_path.c_str());
}

bool hot_restart::is_common_name_in_use() const {
    const std::string name = common_name();
    std::array<char, NAME_MAX> target{};
    const ssize_t size = ::readlink((directory_ + "/" + name).c_str(), target.data(), target.size());
    if (size < 0) // a socket of a release without slots, or nothing
        return is_listening_locally(directory_, name);
    const std::string_view linked(target.data(), static_cast<std::size_t>(size));
    for (std::uint32_t slot = 1; slot <= max_processes; ++slot)
        if (linked == socket_name(slot))
            return slot == slot_->number() || !slot_->is_free(slot);
    return false;
}

} // namespace harrierpass::proxy
