// SPDX-License-Identifier: Apache-2.0
// Stand-ins for the cases 6 to 10: clients, cache nodes, discovery, and the platform that starts the proxy.
// Everything is on loopback and on the real clock. No dependency beyond the C++ library.
#pragma once

#include <algorithm>
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
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stage {

constexpr int rule_held = 0, rule_broken = 1, could_not_run = 2;

inline double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline void sleep_for(double seconds) {
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline bool with_trouble() {
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// What was sent, answered and run: one line each, with the seconds since the start.
class record_file {
public:
    record_file() : file_(std::fopen(std::getenv("RECORD"), "w")), start_(now()) {
        if (file_ == nullptr)
            throw std::runtime_error("no RECORD");
    }
    __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard guard(lock_);
        std::fprintf(file_, "%9.4f %s\n", now() - start_, text);
        std::fflush(file_);
    }

private:
    std::FILE *file_;
    double start_;
    std::mutex lock_;
};
inline record_file &record() {
    static record_file file;
    return file;
}

// ---- Sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline void no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
inline int port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}
inline int listen_on(int port = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
        throw std::runtime_error("no port");
    return fd;
}
// A port that nobody listens on now.
inline int free_port() {
    const int fd = listen_on();
    const int port = port_of(fd);
    ::close(fd);
    return port;
}
inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    no_delay(fd);
    return fd;
}
inline bool write_all(int fd, const std::string &text) {
    for (std::size_t done = 0; done < text.size();) {
        const auto written = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        done += static_cast<std::size_t>(written);
    }
    return true;
}
inline bool is_readable(int fd, double seconds) {
    pollfd polled{fd, POLLIN, 0};
    return ::poll(&polled, 1, std::max(0, static_cast<int>(seconds * 1000 + 0.999))) > 0;
}

// ---- HTTP/1.1, as a plain sound implementation reads it

struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    std::string field(const std::string &name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const { return first_line.size() > 11 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const auto start = first_line.find(' ') + 1;
        return first_line.substr(start, first_line.find(' ', start) - start);
    }
    std::string class_name() const {
        const auto path = target().substr(1);
        return path.substr(0, path.find('/'));
    }
};

enum class read_result { complete, closed, reset, late, malformed };

// One end of a connection that reads messages.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    bool send(const std::string &text) { return write_all(fd_, text); }
    bool has_buffered() const { return !buffer_.empty(); }

    read_result read_head(message &result, double seconds) {
        const double deadline = now() + seconds;
        for (;;) {
            while (buffer_.starts_with("\r\n")) // a robust server passes over empty lines before a message
                buffer_.erase(0, 2);
            const auto end = buffer_.find("\r\n\r\n");
            if (end != std::string::npos) {
                const bool is_valid = parse_head(buffer_.substr(0, end + 2), result);
                buffer_.erase(0, end + 4);
                return is_valid ? read_result::complete : read_result::malformed;
            }
            if (buffer_.size() > 65536)
                return read_result::malformed;
            if (const auto failed = fill(deadline))
                return *failed;
        }
    }
    // Reads the body that the head announces by Content-Length or as chunks, or, of an answer, up to the end.
    read_result read_body(message &result, double seconds, bool is_answer = false) {
        const double deadline = now() + seconds;
        if (result.field("transfer-encoding") == "chunked")
            return read_chunks(result, deadline);
        const auto length = result.field("content-length");
        if (length.empty() && !is_answer)
            return read_result::complete;
        const std::size_t size = length.empty() ? std::string::npos : std::strtoull(length.c_str(), nullptr, 10);
        while (buffer_.size() < size)
            if (const auto failed = fill(deadline)) {
                if (length.empty() && *failed == read_result::closed)
                    break;
                return *failed;
            }
        result.body = buffer_.substr(0, size);
        buffer_.erase(0, result.body.size());
        return read_result::complete;
    }
    read_result read(message &result, double seconds, bool is_answer = false) {
        const double deadline = now() + seconds;
        const auto head = read_head(result, seconds);
        return head == read_result::complete ? read_body(result, deadline - now(), is_answer) : head;
    }

private:
    std::optional<read_result> fill(double deadline) {
        const double left = deadline - now();
        if (left <= 0 || !is_readable(fd_, left))
            return read_result::late;
        char bytes[65536];
        const auto received = ::recv(fd_, bytes, sizeof bytes, 0);
        if (received == 0)
            return read_result::closed;
        if (received < 0)
            return read_result::reset;
        buffer_.append(bytes, static_cast<std::size_t>(received));
        return std::nullopt;
    }
    read_result read_chunks(message &result, double deadline) {
        for (;;) {
            auto end = buffer_.find("\r\n");
            for (; end == std::string::npos; end = buffer_.find("\r\n"))
                if (const auto failed = fill(deadline))
                    return *failed;
            const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2)
                if (const auto failed = fill(deadline))
                    return *failed;
            result.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0)
                return read_result::complete;
        }
    }
    static bool parse_head(const std::string &text, message &result) {
        result = {};
        bool is_first = true;
        for (std::size_t at = 0; at < text.size();) {
            const auto end = text.find("\r\n", at);
            const std::string line = text.substr(at, end - at);
            at = end + 2;
            if (std::exchange(is_first, false)) {
                result.first_line = line;
                const bool is_request = line.size() > 9 && line.compare(line.size() - 9, 9, " HTTP/1.1") == 0;
                if (!is_request && !line.starts_with("HTTP/1."))
                    return false;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            std::string name = line.substr(0, colon), value = line.substr(colon + 1);
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            value.erase(0, value.find_first_not_of(' '));
            result.fields[name] = value;
        }
        return !is_first;
    }

    int fd_;
    std::string buffer_;
};

inline std::string answer(int status, const std::string &body, const std::string &fields = "") {
    const char *reason = status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Error";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

// A listening socket with a thread for each connection. Socket and threads live as long as the process; they own
// what they use, so that the objects here may go before them.
class server {
public:
    explicit server(std::function<void(connection &)> serve, int port = 0) : port_(start(std::move(serve), port)) {}
    int port() const { return port_; }

private:
    static int start(std::function<void(connection &)> serve, int port) {
        const int listener = listen_on(port);
        const auto shared = std::make_shared<std::function<void(connection &)>>(std::move(serve));
        std::thread([listener, shared] {
            for (;;) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                no_delay(fd);
                std::thread([fd, shared] {
                    connection accepted(fd);
                    (*shared)(accepted);
                }).detach();
            }
        }).detach();
        return port_of(listener);
    }
    int port_;
};

// Discovery: whole lists and watches, as an agent on the proxy's machine gives them.
class discovery {
public:
    discovery() : server_([state = state_](connection &caller) { state->serve(caller); }) {}
    int port() const { return server_.port(); }
    // Each answer is sent so many seconds late from now on.
    void be_slow(double seconds) { state_->slowness = seconds; }
    void set(const std::string &id, int node_port, const std::string &phase = "active") {
        const std::lock_guard guard(state_->lock);
        char entry[300];
        std::snprintf(entry, sizeof entry,
                      R"({"id":"%s","host_port":"127.0.0.1:%d","locality":"barracas","flavor":"caja-a",)"
                      R"("cell":0,"phase":"%s","size":1.0,"up_since_ms":0})",
                      id.c_str(), node_port, phase.c_str());
        state_->entries[id] = entry;
        ++state_->revision;
        state_->changed.notify_all();
    }

private:
    struct shared_state {
        std::mutex lock;
        std::condition_variable changed;
        std::map<std::string, std::string> entries; // by id
        unsigned long long revision = 1;
        std::atomic<double> slowness = 0;

        void serve(connection &caller) {
            message call;
            while (caller.read(call, 600) == read_result::complete) {
                unsigned long long since = 0;
                int timeout = 0;
                const bool is_watch =
                    std::sscanf(call.target().c_str(), "/catalog/members?since=%llu&timeout_ms=%d", &since,
                                &timeout) == 2;
                std::unique_lock guard(lock);
                if (is_watch)
                    changed.wait_for(guard, std::chrono::milliseconds(timeout), [&] { return revision > since; });
                const bool is_whole = !is_watch || revision > since;
                std::string list = "{\"revision\":" + std::to_string(revision) +
                                   ",\"complete\":" + (is_whole ? "true" : "false") + ",\"members\":[";
                if (is_whole)
                    for (const auto &[id, entry] : entries)
                        list += (list.back() == '[' ? "" : ",") + entry;
                guard.unlock();
                sleep_for(slowness);
                if (!caller.send(answer(200, list + "]}")))
                    return;
            }
        }
    };
    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
    server server_;
};

// ---- The platform

// The settings of a small deployment, as the operators' first site has them.
inline std::string small_settings() {
    return R"({"peersTotal":3,"me":0,"tickMs":5,"locality":0,"zones":["barracas","avellaneda","san-martin"],
"shapes":["caja-a","caja-b"],"weights":"rough","discovery":"automatic","family":"cache",
"familyInfo":{"mode":"through","originKind":-1},
"limits":{"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":2000,"maxExecutions":4,
"secondCopies":false,"dialTimeoutMs":250,"connIdleMs":5000},
"rules":{"startCapacity":0.13,"coldMs":24000,"drainGraceMs":2000,"fallMs":2000,"fallMultiple":4,
"mustAskInMs":10000,"answerSlackMs":20},
"fees":{"crossZone":0.03,"origin":0.0,"handshake":0.0},"excessImportance":0.2,
"tenants":[{"name":"hoteles-plata","quotaRps":410,"share":0.48},{"name":"posadas-sur","quotaRps":250,"share":0.3}],
"useCases":[
{"name":"ver-lote","effect":"idempotent","group":"all","windowMs":5000,"sloTimeMs":1200,"statementTimeoutMs":4000,
"importance":1,"tardyImportance":0.3},
{"name":"alta-retiro","effect":"deduplicated","group":"all","windowMs":10000,"sloTimeMs":1200,
"statementTimeoutMs":5000,"importance":3,"tardyImportance":0.5},
{"name":"cierre-entrega","effect":"at_most_once","group":"all","windowMs":5000,"sloTimeMs":2500,
"statementTimeoutMs":5000,"importance":3,"tardyImportance":0.3}]})";
}

// One proxy, started with the run command of the deploy file.
class proxy {
public:
    // `control_port` 0: none. `beside`: a proxy to be replaced, whose address and $TMPDIR are shared.
    proxy(int discovery_port, const std::string &settings, const std::string &name = "n0", int control_port = 0,
          const proxy *beside = nullptr)
        : port_(beside != nullptr ? beside->port_ : free_port()),
          temporary_(beside != nullptr ? beside->temporary_ : std::string(std::getenv("SCRATCH")) + "/" + name + ".tmp") {
        const std::string directory = std::getenv("SCRATCH");
        const std::string path = directory + "/" + name + ".json";
        const std::string listen = "127.0.0.1:" + std::to_string(port_);
        const std::string list = "127.0.0.1:" + std::to_string(discovery_port);
        std::FILE *file = std::fopen(path.c_str(), "w");
        std::fprintf(file,
                     R"({"name":"%s","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",)"
                     R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s})",
                     name.c_str(), listen.c_str(), list.c_str(), settings.c_str());
        std::fclose(file);
        const std::string log = directory + "/" + name + ".log";
        const std::string control = "127.0.0.1:" + std::to_string(control_port);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::mkdir(temporary_.c_str(), 0700);
            ::setenv("TMPDIR", temporary_.c_str(), 1);
            if (control_port != 0)
                ::setenv("BALANCER_CONTROL", control.c_str(), 1);
            ::setenv("BALANCER_NAME", name.c_str(), 1);
            ::setenv("BALANCER_LISTEN", listen.c_str(), 1);
            ::setenv("BALANCER_DISCOVERY", list.c_str(), 1);
            ::setenv("BALANCER_CONFIG", path.c_str(), 1);
            ::execl("/bin/sh", "sh", "-c", std::getenv("RUN"), nullptr);
            ::_exit(127);
        }
        const int asked = control_port != 0 ? control_port : port_;
        for (const double until = now() + 10; now() < until && is_running(); sleep_for(0.05))
            if (call(asked, control_port != 0 ? "GET /ready" : "GET /_health") == 200 && is_running())
                return;
        throw std::runtime_error("the proxy is not ready");
    }
    // One call to an address; returns its status, 0 without an answer.
    static int call(int port, const std::string &method_and_path) {
        connection caller(connect_to(port));
        message reply;
        const bool answered = caller.fd() >= 0 && caller.send(method_and_path + " HTTP/1.1\r\nHost: a\r\n\r\n") &&
                              caller.read(reply, 2, true) == read_result::complete;
        return answered ? reply.status() : 0;
    }
    ~proxy() { stop(); }
    int port() const { return port_; }
    const std::string &temporary() const { return temporary_; }
    pid_t pid() const { return pid_; }
    bool is_running() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    void stop() {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

private:
    int port_;
    std::string temporary_;
    pid_t pid_ = 0;
};

inline std::string request(const std::string &method, const std::string &class_name, const std::string &key,
                           const std::string &id, int timeout_ms, const std::string &fields = "",
                           const std::string &body = "") {
    std::string text = method + " /" + class_name + "/" + key + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " +
                       id + "\r\nX-Class: " + class_name + "\r\nX-Tenant: hoteles-plata\r\nX-Deadline: " +
                       std::to_string(timeout_ms) + "m\r\n" + fields;
    if (method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// Runs a case; ends the process at once, as its threads never end.
inline int run(const std::function<int()> &body) {
    std::signal(SIGPIPE, SIG_IGN);
    record().line("start, TROUBLE=%d", with_trouble() ? 1 : 0);
    int result = could_not_run;
    try {
        result = body();
    } catch (const std::exception &error) {
        record().line("could not run: %s", error.what());
    }
    record().line("exit %d (0 the rule held, 1 it was broken, 2 could not run)", result);
    std::fflush(nullptr);
    ::_exit(result);
}

} // namespace stage
