// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/process.hpp"

#include <array>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <spawn.h>
#include <sstream>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace harrierpass::testbed {

namespace {

// Starts processes one after the other, beside the loop.
class spawner {
public:
    spawner() : thread_([this] { work(); }) {}
    spawner(const spawner &) = delete;
    spawner &operator=(const spawner &) = delete;
    ~spawner() {
        {
            const std::lock_guard hold(lock_);
            over_ = true;
        }
        work_available_.notify_one();
        thread_.join();
    }
    std::future<pid_t> run(std::function<pid_t()> what) {
        std::packaged_task<pid_t()> task(std::move(what));
        auto made = task.get_future();
        {
            const std::lock_guard hold(lock_);
            tasks_.push_back(std::move(task));
        }
        work_available_.notify_one();
        return made;
    }

private:
    void work() {
        std::unique_lock hold(lock_);
        for (;;) {
            work_available_.wait(hold, [this] { return over_ || !tasks_.empty(); });
            if (tasks_.empty())
                return;
            {
                auto next = std::move(tasks_.front());
                tasks_.pop_front();
                hold.unlock();
                next();
            }
            hold.lock();
        }
    }
    std::mutex lock_;
    std::condition_variable work_available_;
    std::deque<std::packaged_task<pid_t()>> tasks_;
    bool over_ = false;
    std::thread thread_;
};

spawner &the_spawner() {
    static spawner one;
    return one;
}

} // namespace

std::optional<process_usage> measure_usage(pid_t pid) {
    const std::string at = "/proc/" + std::to_string(pid);
    std::ifstream stat(at + "/stat"), status(at + "/status");
    std::string all;
    if (!std::getline(stat, all))
        return std::nullopt;
    std::istringstream words(all.substr(all.rfind(')') + 2)); // the name may hold anything
    std::string word;
    process_usage made;
    for (int i = 0; i < 13 && words >> word; ++i)
        if (i == 11 || i == 12) // user and system time, in ticks
            made.cpu += std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            made.resident_kb = std::stoull(line.substr(6));
    std::error_code failed;
    for (auto each = std::filesystem::directory_iterator(at + "/fd", failed);
         !failed && each != std::filesystem::directory_iterator(); each.increment(failed))
        ++made.descriptors;
    return made;
}

child_process::child_process(loop &in, std::vector<std::string> command, const std::string &log, bool control)
    : loop_(in), command_(std::move(command)), log_(log, std::ios::app), controlled_(control) {}

child_process::~child_process() {
    kill();
}

void child_process::start() {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "no pipe");
    errors_ = tcp_socket(ends[0]);
    tcp_socket theirs(ends[1]);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, theirs.get(), 2);
    tcp_socket their_control;
    if (controlled_) {
        int pair[2];
        if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair) != 0)
            throw std::system_error(errno, std::generic_category(), "no pair of sockets");
        control_ = tcp_socket(pair[0]);
        their_control =
            tcp_socket(fcntl(pair[1], F_DUPFD_CLOEXEC, 10)); // not 3 itself, which would stay closed
        ::close(pair[1]);
        posix_spawn_file_actions_adddup2(&files, their_control.get(), control_place);
    }
    if (::access(command_[0].c_str(), X_OK) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot start " + command_[0]);
    signals_ = std::make_shared<signal_queue>();
    spawned_ = the_spawner().run(
        [command = command_, files, log = std::make_shared<tcp_socket>(std::move(theirs)),
         control = std::make_shared<tcp_socket>(std::move(their_control)), signals = signals_]() mutable {
            std::vector<char *> arguments;
            arguments.reserve(command.size() + 1);
            for (auto &each : command)
                arguments.push_back(each.data());
            arguments.push_back(nullptr);
            pid_t made = 0;
            if (posix_spawn(&made, arguments[0], &files, nullptr, arguments.data(), environ) != 0)
                made = 0;
            posix_spawn_file_actions_destroy(&files);
            // The child's ends: its own end is seen only once they are closed here, and the future keeps
            // them.
            log->close();
            control->close();
            signals->set_pid(made);
            return made;
        });
    loop_.watch(errors_.get(), EPOLLIN, [this](std::uint32_t) { read(); });
}

void child_process::read() {
    std::array<char, 4096> part{};
    for (;;) {
        const auto got = ::read(errors_.get(), part.data(), part.size());
        if (got < 0)
            return;
        if (got == 0)
            break;
        log_.write(part.data(), got);
        line_.append(part.data(), static_cast<std::size_t>(got));
        for (std::size_t end; (end = line_.find('\n')) != std::string::npos; line_.erase(0, end + 1)) {
            const std::string line = line_.substr(0, end);
            if (line.find(" invariant-violated ") != std::string::npos && on_violation)
                on_violation(line);
            if (line.starts_with("counter ") && on_counter) {
                const auto space = line.rfind(' ');
                on_counter(line.substr(8, space - 8), std::strtod(line.c_str() + space, nullptr));
            }
            const auto at = line.find(" listen=");
            if (line.find("started name=") == std::string::npos || at == std::string::npos)
                continue;
            const auto text = line.substr(at + 8, line.find(' ', at + 8) - at - 8);
            if (const auto where = parse_address(text); where && on_listening)
                on_listening(*where);
        }
    }
    reap();
    if (on_exit)
        on_exit();
}

void child_process::reap() {
    if (errors_) {
        loop_.forget(errors_.get());
        errors_.close();
    }
    log_.flush();
    line_.clear();
    const bool spawned = pid() > 0;
    signals_.reset();
    if (!spawned)
        return;
    rusage used{};
    int status = 0;
    ::wait4(pid_, &status, 0, &used);
    pid_ = 0;
    const auto seconds = [](const timeval &of) {
        return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) * 1e-6;
    };
    cpu_ += seconds(used.ru_utime) + seconds(used.ru_stime);
}

pid_t child_process::pid() {
    if (spawned_.valid())
        pid_ = spawned_.get();
    return pid_;
}

void child_process::signal(int which) {
    if (signals_)
        signals_->send(which);
}

void child_process::kill() {
    signal(SIGKILL);
    reap();
}

} // namespace harrierpass::testbed
