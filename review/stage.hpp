// SPDX-License-Identifier: Apache-2.0
// What the review cases share: loopback sockets, a small HTTP/1.1 reader, stand-ins for discovery and for
// cache nodes, the start and the end of processes, and the record of what was sent, answered and run.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stage {

using std::string;

// ---- Clock and record

inline double steady() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline const double begun_at = steady();
inline double now() { return steady() - begun_at; } // seconds since the start of the case; kept over fork()
inline double unix_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void pause_for(double seconds) {
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline FILE *record_file = nullptr;
inline std::mutex record_lock;
inline void record(const char *format, ...) {
    char text[2048];
    va_list values;
    va_start(values, format);
    vsnprintf(text, sizeof text, format, values);
    va_end(values);
    const std::lock_guard guard(record_lock);
    fprintf(record_file, "%9.4f %s\n", now(), text);
    fflush(record_file);
}

// ---- Processes

inline std::vector<pid_t> children;

// The case could not run: nothing is said about the rule.
[[noreturn]] inline void give_up(const string &why);

inline void end_children() {
    for (const pid_t child : children) {
        kill(child, SIGCONT);
        kill(child, SIGKILL);
        waitpid(child, nullptr, 0);
    }
    children.clear();
}
[[noreturn]] inline void leave(int status) {
    end_children();
    if (record_file != nullptr)
        fclose(record_file);
    fflush(stdout);
    _exit(status);
}
[[noreturn]] inline void give_up(const string &why) {
    record("could not run: %s", why.c_str());
    fprintf(stderr, "could not run: %s\n", why.c_str());
    leave(2);
}

// Starts the proxy as the deploy file says, from the root of the repository.
inline pid_t start_proxy(const string &run_command, const string &configuration, const string &control,
                         const string &folder, const string &log_file) {
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        for (int fd = 3; fd < 1024; ++fd)
            close(fd);
        freopen("/dev/null", "r", stdin);
        freopen(log_file.c_str(), "a", stdout);
        freopen(log_file.c_str(), "a", stderr);
        setenv("BALANCER_CONFIG", configuration.c_str(), 1);
        setenv("BALANCER_CONTROL", control.c_str(), 1);
        setenv("BALANCER_LOG", getenv("REVIEW_LOG") ? getenv("REVIEW_LOG") : "info", 1);
        setenv("TMPDIR", folder.c_str(), 1);
        execl("/bin/sh", "sh", "-c", run_command.c_str(), nullptr);
        _exit(127);
    }
    children.push_back(child);
    return child;
}
// Returns whether the process has ended by itself.
inline bool has_ended(pid_t child, int &status) { return waitpid(child, &status, WNOHANG) == child; }

// ---- Sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}
inline string at(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}
inline int listen_on(int port = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0)
        give_up("no port to listen on");
    return fd;
}
inline int free_port() {
    const int fd = listen_on();
    const int port = port_of(fd);
    close(fd);
    return port;
}
inline int dial(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return fd;
    close(fd);
    return -1;
}
inline bool write_whole(int fd, const string &text) {
    for (size_t done = 0; done < text.size();) {
        const ssize_t count = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        done += static_cast<size_t>(count);
    }
    return true;
}

// A message of HTTP/1.1 with a Content-Length, or with none and no body.
struct message {
    string first_line;
    std::map<string, string> fields; // by name in lower case
    string body;
    string field(const string &name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const { return first_line.size() > 12 ? atoi(first_line.c_str() + 9) : 0; }
    string target() const {
        const auto space = first_line.find(' ');
        return first_line.substr(space + 1, first_line.find(' ', space + 1) - space - 1);
    }
    string method() const { return first_line.substr(0, first_line.find(' ')); }
};

enum class got { whole, closed, reset, late };

// Reads messages from a connection, which it does not own.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}
    // Reads one message until `until`, a time by now().
    got read(message &result, double until) {
        result = {};
        size_t end = 0;
        while ((end = text_.find("\r\n\r\n")) == string::npos)
            if (const got more = fill(until); more != got::whole)
                return more;
        size_t at = 0;
        for (bool is_first = true; at < end + 2; is_first = false) {
            const size_t stop = text_.find("\r\n", at);
            const string line = text_.substr(at, stop - at);
            at = stop + 2;
            if (is_first) {
                result.first_line = line;
                continue;
            }
            const size_t colon = line.find(':');
            string name = line.substr(0, colon);
            for (char &c : name)
                c = static_cast<char>(tolower(c));
            const size_t value = line.find_first_not_of(' ', colon + 1);
            result.fields[name] = value == string::npos ? "" : line.substr(value);
        }
        const string length = result.field("content-length");
        const size_t size = length.empty() ? 0 : strtoul(length.c_str(), nullptr, 10);
        while (text_.size() < end + 4 + size)
            if (const got more = fill(until); more != got::whole)
                return more;
        result.body = text_.substr(end + 4, size);
        text_.erase(0, end + 4 + size);
        return got::whole;
    }
    size_t unread() const { return text_.size(); }

private:
    got fill(double until) {
        for (;;) {
            pollfd readable{fd_, POLLIN, 0};
            const double left = until - now();
            if (left <= 0 || poll(&readable, 1, static_cast<int>(left * 1000) + 1) == 0)
                return got::late;
            char part[65536];
            const ssize_t count = recv(fd_, part, sizeof part, 0);
            if (count > 0) {
                text_.append(part, static_cast<size_t>(count));
                return got::whole;
            }
            if (count == 0)
                return got::closed;
            if (errno != EINTR)
                return got::reset;
        }
    }
    int fd_;
    string text_;
};
inline const char *name_of(got what) {
    return what == got::whole ? "whole" : what == got::closed ? "closed" : what == got::reset ? "reset" : "none in time";
}

inline string response(int status, const string &body, const string &fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// Serves each connection of a listening socket in a thread of its own.
inline void serve_connections(int listener, std::function<void(int)> serve) {
    std::thread([listener, serve] {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([fd, serve] {
                serve(fd);
                close(fd);
            }).detach();
        }
    }).detach();
}

// ---- Discovery: the agent beside the proxy, as the protocol page describes it

struct member {
    string id;
    int port = 0;
    string phase = "active";
    double up_since_ms = 0;
    string zone = "a";
    unsigned long long changed = 1; // revision
};

class discovery {
public:
    int port() const { return port_; }
    void add(const member &entry) {
        const std::lock_guard guard(lock_);
        members_.push_back(entry);
        members_.back().changed = ++revision_;
        changed_.notify_all();
    }
    void set_phase(const string &id, const string &phase) {
        const std::lock_guard guard(lock_);
        for (auto &entry : members_)
            if (entry.id == id) {
                entry.phase = phase;
                entry.changed = ++revision_;
            }
        changed_.notify_all();
    }
    string whole_list() {
        const std::lock_guard guard(lock_);
        return list(0, true);
    }
    void start() {
        const int listener = listen_on();
        port_ = port_of(listener);
        serve_connections(listener, [this](int fd) { serve(fd); });
    }

private:
    string list(unsigned long long since, bool complete) {
        string text = "{\"revision\":" + std::to_string(revision_) + ",\"complete\":" + (complete ? "true" : "false") +
                      ",\"members\":[";
        const char *separator = "";
        for (const auto &each : members_) {
            if (each.changed <= since || (complete && each.phase == "left"))
                continue;
            char entry[512];
            snprintf(entry, sizeof entry,
                     "%s{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"%s\",\"flavor\":\"std\",\"cell\":0,"
                     "\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%.0f}",
                     separator, each.id.c_str(), at(each.port).c_str(), each.zone.c_str(), each.phase.c_str(),
                     each.up_since_ms);
            text += entry;
            separator = ",";
        }
        return text + "]}";
    }
    void serve(int fd) {
        reader calls(fd);
        message call;
        while (calls.read(call, 1e9) == got::whole) {
            const string target = call.target();
            string body;
            {
                std::unique_lock guard(lock_);
                const auto since_at = target.find("since=");
                if (since_at == string::npos) {
                    body = list(0, true);
                } else {
                    const unsigned long long since = strtoull(target.c_str() + since_at + 6, nullptr, 10);
                    const auto wait_at = target.find("timeout_ms=");
                    const double wait = wait_at == string::npos ? 0 : atof(target.c_str() + wait_at + 11) / 1000;
                    changed_.wait_for(guard, std::chrono::duration<double>(wait), [&] { return revision_ > since; });
                    body = list(since, false);
                }
            }
            if (!write_whole(fd, response(200, body, "Content-Type: application/json\r\n")))
                return;
        }
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::vector<member> members_;
    unsigned long long revision_ = 40;
    int port_ = 0;
};

// ---- Configuration of a small deployment (three classes, two tenants), as the deployment page shows it

struct deployment {
    string name = "n1";
    int listen = 0;
    int control = 0;
    string zones = "\"a\",\"b\"";
    double drain_grace_ms = 2000;
};

inline string configuration(const deployment &d, int discovery_port, const string &known) {
    char head[1024];
    snprintf(head, sizeof head,
             "{\"name\":\"%s\",\"listen\":\"%s\",\"control\":\"%s\",\"discovery\":\"%s\",\"seed\":\"8c1f30d27a5be964\","
             "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":",
             d.name.c_str(), at(d.listen).c_str(), d.control ? at(d.control).c_str() : "", at(discovery_port).c_str());
    char settings[4096];
    snprintf(settings, sizeof settings,
             ",\"settings\":{\"peersTotal\":1,\"me\":0,\"tier\":0,\"tickMs\":5.0,\"locality\":0,\"zones\":[%s],"
             "\"shapes\":[\"std\"],\"stages\":[\"cache\"],\"weights\":\"rough\",\"discovery\":\"automatic\","
             "\"family\":\"cache\",\"familyInfo\":{\"mode\":\"through\",\"originKind\":-1},"
             "\"limits\":{\"cancel\":true,\"probes\":true,\"mayTell\":false,\"retryAfter\":true,"
             "\"maxRetryAfterMs\":2000.0,\"maxExecutions\":4,\"secondCopies\":false,\"dialTimeoutMs\":250.0,"
             "\"connIdleMs\":5000.0,\"maxStreams\":1,\"maxOpen\":20000},"
             "\"rules\":{\"answerSlackMs\":20.0,\"startCapacity\":0.2,\"coldMs\":20000.0,\"drainGraceMs\":%.1f,"
             "\"fallMs\":2000.0,\"fallMultiple\":4.0,\"mustAskInMs\":10000.0},"
             "\"fees\":{\"crossZone\":0.0,\"origin\":0.0,\"probe\":0.0099,\"waste\":0.021},\"excessImportance\":0.2,"
             "\"tenants\":[{\"name\":\"hoteles-plata\",\"quotaRps\":400.0,\"share\":0.6},"
             "{\"name\":\"posadas-sur\",\"quotaRps\":300.0,\"share\":0.4}],"
             "\"useCases\":[{\"name\":\"ver-lote\",\"effect\":\"idempotent\",\"group\":\"all\",\"windowMs\":5000.0,"
             "\"sloTimeMs\":1200.0,\"statementTimeoutMs\":3000.0,\"importance\":1.0,\"tardyImportance\":0.3,"
             "\"streaming\":false},"
             "{\"name\":\"alta-retiro\",\"effect\":\"deduplicated\",\"group\":\"all\",\"windowMs\":10000.0,"
             "\"sloTimeMs\":1200.0,\"statementTimeoutMs\":3000.0,\"importance\":3.0,\"tardyImportance\":0.5,"
             "\"streaming\":false},"
             "{\"name\":\"cierre-entrega\",\"effect\":\"at_most_once\",\"group\":\"all\",\"windowMs\":5000.0,"
             "\"sloTimeMs\":2500.0,\"statementTimeoutMs\":3000.0,\"importance\":3.0,\"tardyImportance\":0.3,"
             "\"streaming\":false}]}}\n",
             d.zones.c_str(), d.drain_grace_ms);
    return head + known + settings;
}

inline void write_file(const string &path, const string &text) {
    const string temporary = path + ".new";
    FILE *file = fopen(temporary.c_str(), "w");
    if (file == nullptr || fwrite(text.data(), 1, text.size(), file) != text.size() || fclose(file) != 0 ||
        rename(temporary.c_str(), path.c_str()) != 0)
        give_up("cannot write " + path);
}

// One call, with an answer read until the time limit; status 0: no whole answer.
inline int call(int port, const string &method, const string &target, double limit, string *body = nullptr) {
    const int fd = dial(port);
    if (fd < 0)
        return 0;
    message answer;
    const bool sent = write_whole(fd, method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    const got what = sent ? reader(fd).read(answer, now() + limit) : got::reset;
    close(fd);
    if (body != nullptr)
        *body = answer.body;
    return what == got::whole ? answer.status() : 0;
}
inline void await_healthy(int port, const char *path = "/_health") {
    for (const double until = now() + 10; call(port, "GET", path, 1) != 200; pause_for(0.02))
        if (now() > until)
            give_up("the proxy is not ready within 10 s");
}

// ---- The frame of a case

struct frame {
    string run_command; // from the deploy file
    string folder;      // temporary, empty at the start
    string case_folder;
    bool trouble = true;
};
inline frame begin(int count, char **values) {
    if (count != 4) {
        fprintf(stderr, "usage: %s RUN-COMMAND TEMPORARY-FOLDER CASE-FOLDER\n", values[0]);
        _exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    frame result{values[1], values[2], values[3], true};
    const char *trouble = getenv("TROUBLE");
    result.trouble = trouble == nullptr || string(trouble) != "0";
    record_file = fopen((result.case_folder + "/record.txt").c_str(), "w");
    if (record_file == nullptr)
        _exit(2);
    for (const int signal_number : {SIGTERM, SIGINT})
        signal(signal_number, [](int) { leave(2); });
    record("begin trouble=%d run=\"%s\"", result.trouble, result.run_command.c_str());
    return result;
}

} // namespace stage
