// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/faulty_proxy.hpp"

#include "testbed/loop/channel.hpp"
#include "testbed/model/random.hpp"
#include "testbed/processes/answers.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sys/epoll.h>
#include <sys/signalfd.h>

namespace harrierpass::testbed {
namespace {

using nlohmann::json;

constexpr int fault_interval = 20;   // chances to a planted fault
constexpr double list_period = 0.05; // s between calls for the whole list
constexpr double late_by = 0.5;      // s after a client's end

class faulty_proxy {
public:
    faulty_proxy(injected_violation breaks, const json &given)
        : breaks_(breaks), random_(7), discovery_(*parse_address(given.at("discovery").get<std::string>())),
          listening_(must_listen(*parse_address(given.at("listen").get<std::string>()))) {
        for (const auto &each : given.at("settings").at("useCases"))
            if (each.at("effect") == "at_most_once")
                at_most_once_classes_.insert(each.at("name").get<std::string>());
        sigset_t taken;
        sigemptyset(&taken);
        sigaddset(&taken, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &taken, nullptr);
        signals_ = tcp_socket(signalfd(-1, &taken, SFD_CLOEXEC | SFD_NONBLOCK));
        loop_.watch(signals_.get(), EPOLLIN, [this](std::uint32_t) { over_ = true; });
        loop_.watch(listening_.get(), EPOLLIN, [this](std::uint32_t) { accept(); });
        std::cerr << "started name=" << given.at("name").get<std::string>()
                  << " listen=" << to_text(local_address(listening_)) << " plant=" << name_of(breaks)
                  << std::endl;
        poll_list();
    }
    void run() {
        loop_.run([this] { return over_; });
    }

private:
    struct server {
        address at;
        bool ready = true;
        double started = 0;
    };
    struct proxied_request {
        std::string text, id;
        double end = 0;
        bool at_most_once = false;
    };
    using link = std::shared_ptr<channel>;

    bool breaks_now(injected_violation which) {
        return breaks_ == which && ++opportunities_ % fault_interval == 0;
    }

    link connect(const address &to, const std::function<void(const http_reader &)> &on_response,
                 const std::function<void(bool reached)> &failed) {
        auto made = std::make_shared<channel>(loop_, start_dial(to), http_reader::message_kind::response);
        made->tag = next_++;
        open_[made->tag] = made;
        made->on_message = [this, on_response](const link &on, const http_reader &answer) {
            on_response(answer);
            drop(on);
        };
        made->on_end = [this, failed](const link &on, channel::ending how) {
            failed(how != channel::ending::failed);
            drop(on);
        };
        made->start(true);
        return made;
    }
    void drop(const link &on) {
        on->end(false);
        loop_.clock.after(0, [this, tag = on->tag] { open_.erase(tag); });
    }

    void poll_list() {
        const auto again = [this] { loop_.clock.after(list_period, [this] { poll_list(); }); };
        connect(
            discovery_,
            [this, again](const http_reader &answer) {
                servers_.clear();
                const json list = json::parse(answer.body());
                for (const auto &each : list.at("members"))
                    servers_.push_back({*parse_address(each.at("host_port").get<std::string>()),
                                        each.at("phase") == "active",
                                        each.at("up_since_ms").get<double>() / 1000});
                again();
            },
            [again](bool) { again(); })
            ->send("GET /catalog/members HTTP/1.1\r\nHost: list\r\n\r\n");
    }

    const server *choose() {
        std::vector<const server *> ready;
        for (const auto &each : servers_) {
            if (breaks_ == injected_violation::ignore_drain && !each.ready && opportunities_++ % 4 == 0)
                return &each;
            if (breaks_ == injected_violation::overload_cold && each.ready &&
                each.started > loop_.clock.now() - 5)
                return &each;
            if (each.ready)
                ready.push_back(&each);
        }
        return ready.empty() ? nullptr : ready[random_.below(static_cast<std::uint32_t>(ready.size()))];
    }

    void send(const proxied_request &what, const std::function<void(const http_reader &)> &on_response,
              const std::function<void(bool)> &failed) {
        const server *const to = choose();
        if (to == nullptr)
            return failed(false);
        connect(to->at, on_response, failed)->send(what.text);
    }
    void send_ignoring_response(const proxied_request &what) {
        send(
            what, [](const http_reader &) {}, [](bool) {});
    }

    void accept() {
        address peer;
        for (tcp_socket one; (one = accept_on(listening_, peer));) {
            const auto made =
                std::make_shared<channel>(loop_, std::move(one), http_reader::message_kind::request);
            made->tag = next_++;
            open_[made->tag] = made;
            made->on_message = [this](const link &on, const http_reader &request) { take(on, request); };
            made->on_end = [this](const link &on, channel::ending) { drop(on); };
            made->start(false);
        }
    }

    void take(const link &on, const http_reader &request) {
        const auto &head = request.head();
        if (head.target == "/_health")
            return on->send(text_answer(servers_.empty() ? 503 : 200, {}, {}));
        proxied_request what;
        what.id = head.header("X-Request-Id");
        what.end = loop_.clock.now() + parse_timeout(head.header("X-Deadline"));
        what.at_most_once = at_most_once_classes_.contains(std::string(head.header("X-Class")));
        what.text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\nHost: lab\r\n");
        for (const auto &each : head.fields)
            if (!is_hop_by_hop(head, each.name) && !equals_ignoring_case(each.name, "Host") &&
                !equals_ignoring_case(each.name, "Content-Length"))
                what.text.append(each.name).append(": ").append(each.value).append("\r\n");
        if (!request.body().empty())
            what.text.append("Content-Length: ").append(std::to_string(request.body().size())).append("\r\n");
        what.text.append("\r\n").append(request.body());
        if (breaks_now(injected_violation::concurrent_attempts))
            send_ignoring_response(what);
        const std::weak_ptr<channel> client = on;
        const auto say = [client](int status, std::string_view body) {
            if (const auto to = client.lock(); to && to->open())
                to->send(text_answer(status, {}, body));
        };
        send(
            what,
            [this, what, say](const http_reader &answer) {
                const int status = answer.head().status == 503   ? 503
                                   : answer.head().status == 200 ? 200
                                                                 : 502;
                std::string body(answer.body());
                if (status == 200 && breaks_now(injected_violation::lose_response))
                    return;
                if (status == 200 && breaks_now(injected_violation::wrong_body))
                    body = "{\"query\":\"q0-9\"}\n";
                say(status, body);
                if (breaks_now(injected_violation::answer_twice))
                    say(status, body);
                if (status == 200 && what.at_most_once && breaks_ == injected_violation::execute_twice)
                    send_ignoring_response(what);
                if (breaks_now(injected_violation::late_attempt))
                    loop_.clock.at(what.end + late_by, [this, what] { send_ignoring_response(what); });
            },
            [say](bool reached) { say(reached ? 502 : 503, {}); });
    }

    const injected_violation breaks_;
    loop loop_;
    random_generator random_;
    const address discovery_;
    tcp_socket listening_, signals_;
    std::set<std::string> at_most_once_classes_; // use cases that must not run again
    std::vector<server> servers_;
    std::map<std::uint64_t, link> open_;
    std::uint64_t next_ = 1;
    int opportunities_ = 0;
    bool over_ = false;
};

} // namespace

int run_faulty_proxy(injected_violation breaks, const std::string &configuration) {
    std::ifstream in(configuration);
    if (!in)
        throw experiment_error(configuration + ": cannot be read");
    faulty_proxy(breaks, json::parse(in)).run();
    return 0;
}

} // namespace harrierpass::testbed
