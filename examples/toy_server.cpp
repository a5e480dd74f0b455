// SPDX-License-Identifier: Apache-2.0
// What a proxy needs around it, in one program on loopback: discovery at port 8500 and three cache servers
// at 9101 to 9103 with an origin behind them that is slow by 50 ms. It shows the protocol and is no more
// than that. Lines on standard input change the list: "leave 2", "join 2"; "quit" or the end ends it.
#include "net/exchange.hpp"
#include "net/threads.hpp"

#include <array>
#include <condition_variable>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace harrierpass;

constexpr int servers = 3;
constexpr double rest_limit = 60; // s that an idle connection is kept

std::string answer(int status, const std::string &body, const std::string &fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK\r\n" : " No\r\n") + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The number behind a name in a target such as "/catalog/members?since=41&timeout_ms=20000".
long number_in(std::string_view target, std::string_view name) {
    const auto at = target.find(name);
    return at == std::string_view::npos ? -1
                                        : std::atol(std::string(target.substr(at + name.size())).c_str());
}

class world {
public:
    // Discovery: the whole list, or a watch that waits for what is newer.
    std::string list(std::string_view target) {
        std::unique_lock hold(lock_);
        const long since = number_in(target, "since=");
        if (since >= 0)
            changed_.wait_for(
                hold, std::chrono::milliseconds(std::clamp(number_in(target, "timeout_ms="), 0L, 60000L)),
                [&] { return revision_ > since; });
        std::ostringstream text;
        text << R"({"revision":)" << revision_ << R"(,"complete":)"
             << (since < 0 || revision_ > since ? "true" : "false") << R"(,"members":[)";
        for (int i = 0; (since < 0 || revision_ > since) && i < servers; ++i)
            text << (i > 0 ? "," : "") << R"({"id":"toy-)" << i + 1 << R"(","host_port":"127.0.0.1:)"
                 << 9101 + i << R"(","locality":"here","flavor":"toy","cell":0,"phase":")"
                 << (leaving_[i] ? "leaving" : "active") << R"(","size":1.0,"up_since_ms":0})";
        text << "]}";
        return answer(200, text.str());
    }

    void change(int server, bool leaves) {
        const std::lock_guard hold(lock_);
        leaving_.at(static_cast<std::size_t>(server - 1)) = leaves;
        ++revision_;
        changed_.notify_all();
    }

    // A cache server: reads come from its cache or the origin, writes go to the origin and void the copies.
    std::string serve(int server, const http_reader &asked) {
        const std::string_view target = asked.head().target;
        if (target == "/ping")
            return answer(200, "");
        const std::string key(target.substr(target.rfind('/') + 1)); // what the query is about
        const bool write = asked.head().method == "PUT";
        {
            const std::lock_guard hold(lock_);
            auto &cache = caches_[static_cast<std::size_t>(server)];
            if (const auto found = cache.find(key); !write && found != cache.end())
                return answer(200, found->second, "X-Cache: hit\r\n");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const std::lock_guard hold(lock_);
        auto &stored = origin_.try_emplace(key, "value of " + key).first->second;
        if (write) {
            stored = asked.body();
            for (auto &each : caches_)
                each.erase(key);
            return answer(200, "written");
        }
        caches_[static_cast<std::size_t>(server)][key] = stored;
        return answer(200, stored, "X-Cache: miss\r\n");
    }

private:
    std::mutex lock_;
    std::condition_variable changed_;
    long revision_ = 1;
    std::array<bool, servers> leaving_{};
    std::array<std::map<std::string, std::string>, servers> caches_;
    std::map<std::string, std::string> origin_;
};

void talk(world &all, int server, const tcp_socket &with) {
    std::vector<char> buffer(buffer_size);
    for (;;) {
        http_reader asked(buffer, http_reader::side::request);
        auto state = http_reader::state::more;
        while (state == http_reader::state::more) {
            pollfd in{with.get(), POLLIN, 0};
            if (wait_on({&in, 1}, rest_limit) == 0)
                return;
            state = read_into(asked, with);
        }
        if (state != http_reader::state::whole)
            return;
        std::ostringstream line;
        line << (server < 0 ? "discovery" : "toy-" + std::to_string(server + 1)) << ": "
             << asked.head().method << ' ' << asked.head().target << '\n';
        std::cout << line.str() << std::flush;
        if (!write_all(with, server < 0 ? all.list(asked.head().target) : all.serve(server, asked), {}, 5))
            return;
    }
}

void listen_at(world &all, int server, const std::string &where) {
    const auto at = parse_address(where);
    auto listening = std::make_shared<tcp_socket>(listen_on(*at));
    if (!*listening) {
        std::perror(where.c_str());
        std::exit(1);
    }
    start_detached([&all, server, listening] {
        for (;;) {
            pollfd in{listening->get(), POLLIN, 0};
            wait_on({&in, 1}, forever);
            address peer;
            auto one = std::make_shared<tcp_socket>(accept_on(*listening, peer));
            if (*one)
                start_detached([&all, server, one] { talk(all, server, *one); });
        }
    });
}

} // namespace

int main() {
    static world all; // outlives the threads, which end with the program
    listen_at(all, -1, "127.0.0.1:8500");
    for (int i = 0; i < servers; ++i)
        listen_at(all, i, "127.0.0.1:" + std::to_string(9101 + i));
    std::cout << "discovery at 127.0.0.1:8500, servers at 127.0.0.1:9101 to 9103" << std::endl;
    for (std::string word; std::cin >> word && word != "quit";) {
        int server = 0;
        if ((word == "leave" || word == "join") && std::cin >> server && server >= 1 && server <= servers)
            all.change(server, word == "leave");
        else
            std::cout << "leave N, join N or quit, N from 1 to " << servers << std::endl;
    }
    std::_Exit(0); // the threads stand in the middle of their waits
}
