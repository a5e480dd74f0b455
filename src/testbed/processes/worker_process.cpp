// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/worker_process.hpp"

#include "testbed/model/experiment_reader.hpp"
#include "testbed/processes/list_port.hpp"
#include "testbed/processes/server_port.hpp"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <type_traits>

namespace harrierpass::testbed {
namespace {

constexpr double beat_period = 0.01; // s between a part's words that it has seen nothing else
static_assert(std::is_trivially_copyable_v<part_message>);

} // namespace

// ---- The pair of sockets

part_link::part_link(loop &in, tcp_socket socket, bool waits)
    : loop_(in), socket_(std::move(socket)), waits_(waits) {
    loop_.watch(socket_.get(), EPOLLIN, [this](std::uint32_t events) { came(events); });
}

part_link::~part_link() {
    if (socket_)
        loop_.forget(socket_.get());
}

void part_link::send(const part_message &what) {
    if (!socket_)
        return;
    out_.append(reinterpret_cast<const char *>(&what), sizeof what);
    while (!out_.empty()) {
        const auto wrote = ::send(socket_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote > 0) {
            out_.erase(0, static_cast<std::size_t>(wrote));
            continue;
        }
        if (wrote < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
            return; // the other side is gone: its end is read
        if (!waits_)
            return loop_.change(socket_.get(), EPOLLIN | EPOLLOUT);
        pollfd room{socket_.get(), POLLOUT, 0};
        ::poll(&room, 1, -1);
    }
}

void part_link::came(std::uint32_t events) {
    if ((events & EPOLLOUT) != 0 && !out_.empty()) {
        const auto wrote = ::send(socket_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote > 0)
            out_.erase(0, static_cast<std::size_t>(wrote));
        if (out_.empty())
            loop_.change(socket_.get(), EPOLLIN);
    }
    drain();
}

void part_link::drain() {
    std::array<char, 65536> part;
    while (socket_) {
        const auto got = ::recv(socket_.get(), part.data(), part.size(), MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (got <= 0)
            return end();
        in_.append(part.data(), static_cast<std::size_t>(got));
        std::size_t at = 0;
        for (; in_.size() - at >= sizeof(part_message); at += sizeof(part_message)) {
            part_message what;
            std::memcpy(&what, in_.data() + at, sizeof what);
            if (on_message)
                on_message(what);
        }
        in_.erase(0, at);
    }
}

void part_link::end() {
    loop_.forget(socket_.get());
    socket_.close();
    if (on_end)
        on_end();
}

// ---- The run's side

part_process::part_process(loop &in, event_merge &events, std::vector<std::string> command,
                           const std::string &log)
    : loop_(in), events_(events), process_(in, std::move(command), log, true), source_(events.add_source()) {
    process_.on_exit = [this] {
        link_->drain();
        if (!ends_ && on_death)
            on_death();
    };
}

void part_process::start() {
    ready_ = ends_ = false;
    early_.clear();
    events_.returns(source_, loop_.clock.now());
    process_.start();
    link_ = std::make_unique<part_link>(loop_, process_.take_control(), false);
    link_->on_message = [this](const part_message &what) { heard(what); };
    // Once it is gone nothing holds the judging up, until its successor starts.
    link_->on_end = [this] { events_.gone(source_); };
}

void part_process::heard(const part_message &what) {
    if (what.is == part_message::kind::event) {
        last_ = std::max(last_, what.event.when);
        events_.put(source_, what.event);
    }
    if (what.is == part_message::kind::beat)
        return events_.heard(source_, what.x);
    if (what.is == part_message::kind::ready) {
        ready_ = true;
        for (const auto &each : early_)
            link_->send(each);
        early_.clear();
        if (on_ready)
            on_ready();
        return;
    }
    if (on_message)
        on_message(what);
}

void part_process::send(const part_message &what) {
    if (ready_ && link_)
        link_->send(what);
    else
        early_.push_back(what);
}

void part_process::kill() {
    ends_ = true;
    process_.kill();
    if (link_)
        link_->drain();
    ready_ = false;
    early_.clear();
}

void part_process::stop(bool begins) {
    process_.signal(begins ? SIGSTOP : SIGCONT);
}

void part_process::end() {
    ends_ = true;
    process_.signal(SIGCONT);
    process_.signal(SIGTERM);
}

// ---- The part

namespace {

using nlohmann::json;

class part_here {
public:
    part_here(const json &setup, const experiment &given)
        : given_(given), loop_(setup.at("offset").get<double>()),
          link_(loop_, tcp_socket(child_process::control_place), true),
          sees_([this] { return loop_.exact(); },
                [this](const seen &what) {
                    part_message made;
                    made.is = part_message::kind::event;
                    made.event = what;
                    link_.send(made);
                }) {
        sigset_t taken;
        sigemptyset(&taken);
        sigaddset(&taken, SIGTERM);
        sigaddset(&taken, SIGINT);
        pthread_sigmask(SIG_BLOCK, &taken, nullptr);
        signals_ = tcp_socket(signalfd(-1, &taken, SFD_CLOEXEC | SFD_NONBLOCK));
        loop_.watch(signals_.get(), EPOLLIN, [this](std::uint32_t) { over_ = true; });
        link_.on_end = [this] { over_ = true; };
        link_.on_message = [this](const part_message &what) { heard(what); };
        if (setup.at("role") == "list")
            be_list(setup, total_server_count(given));
        else
            be_servers(setup);
    }

    void run() {
        part_message up;
        up.is = part_message::kind::ready;
        say(up);
        beat();
        loop_.run([this] { return over_; });
    }

private:
    void say(const part_message &what) { link_.send(what); }
    void beat() {
        part_message made;
        made.x = loop_.clock.now();
        say(made);
        loop_.clock.after(beat_period, [this] { beat(); });
    }

    void be_servers(const json &setup) {
        fleet_ = std::make_unique<fleet>(loop_.clock, given_, sees_, setup.at("seed").get<std::uint32_t>());
        fleet_->remote_fetch = [this](std::function<void(bool)> done) {
            part_message made;
            made.is = part_message::kind::fetch;
            made.number = next_;
            fetching_[next_++] = std::move(done);
            say(made);
        };
        fleet_->remote_write = [this](const job &what, index server, std::function<void(bool, bool)> done) {
            part_message made;
            made.is = part_message::kind::write;
            made.number = next_;
            made.a = server;
            made.key = what.key;
            made.flag = what.keyed;
            made.event.op = what.op;
            made.event.a = what.attempt;
            made.event.b = what.use_case;
            writing_[next_++] = std::move(done);
            say(made);
        };
        const bool cold = setup.at("cold");
        for (index i = 0; i < fleet_->size(); ++i) {
            if (host_of(given_, i) != setup.at("host").get<index>())
                continue;
            auto &server = fleet_->at(i);
            if (!cold && given_.fleet.starts_warm && i < given_.fleet.servers)
                server.fill_most_popular();
            if (cold && server.up())
                server.start_cold(loop_.clock.now());
            const auto at = parse_address(setup.at("addresses").at(i).get<std::string>());
            ports_.push_back(std::make_unique<server_port>(loop_, *fleet_, i, *at));
            ports_.back()->on_connection = [this](index which, bool begins) {
                part_message made;
                made.is = part_message::kind::connection;
                made.a = which;
                made.flag = begins;
                say(made);
            };
        }
    }

    void be_list(const json &setup, index servers) {
        list_ = std::make_unique<member_list>(given_, servers);
        service_ = std::make_unique<list_service>(loop_.clock, given_.list, *list_);
        for (const auto &each : setup.at("addresses"))
            hosts_.push_back(each);
        hosts_.resize(servers + 1);
        for (const auto &each : setup.at("links"))
            linked_[{each.at(0), each.at(1)}] = each.at(2);
        where_ = [this](index proxy, index server) {
            const auto link = linked_.find({proxy, server});
            return link == linked_.end() ? hosts_.at(server) : link->second;
        };
        index proxy = 0;
        for (const auto &each : setup.at("lists")) {
            lists_.push_back(std::make_unique<list_port>(loop_, given_, *list_, *service_, sees_, proxy++,
                                                         *parse_address(each.get<std::string>()), where_));
            lists_.back()->on_call = [this](list_call as, std::size_t bytes) {
                part_message made;
                made.is = part_message::kind::call;
                made.small = static_cast<std::uint8_t>(as);
                made.number = bytes;
                say(made);
            };
        }
    }

    template <typename Map> auto take(Map &from, std::uint64_t number) {
        const auto found = from.find(number);
        typename Map::mapped_type made;
        if (found != from.end()) {
            made = std::move(found->second);
            from.erase(found);
        }
        return made;
    }

    void heard(const part_message &what) {
        switch (what.is) {
        case part_message::kind::fault: {
            fault_settings fault;
            fault.kind = static_cast<fault_kind>(what.small);
            fault.factor = what.x;
            fault.use_case = what.b;
            return apply_server_fault(fleet_->at(what.a), fault, what.flag != 0);
        }
        case part_message::kind::fetched:
            if (const auto done = take(fetching_, what.number))
                done(what.flag != 0);
            return;
        case part_message::kind::written:
            if (const auto done = take(writing_, what.number))
                done(what.flag != 0, what.flag2 != 0);
            return;
        case part_message::kind::void_copy:
            return fleet_->wrote(what.key);
        case part_message::kind::load:
        case part_message::kind::publish:
            list_->load({what.a, static_cast<endpoint_state>(what.small), what.x, what.number});
            if (what.is == part_message::kind::publish)
                service_->changed();
            return;
        case part_message::kind::silent:
            return list_->silent(what.flag != 0);
        default:
            return;
        }
    }

    const experiment &given_;
    loop loop_;
    part_link link_;
    writer sees_;
    tcp_socket signals_;
    bool over_ = false;
    std::unique_ptr<fleet> fleet_;
    std::vector<std::unique_ptr<server_port>> ports_;
    std::map<std::uint64_t, std::function<void(bool)>> fetching_;
    std::map<std::uint64_t, std::function<void(bool, bool)>> writing_;
    std::uint64_t next_ = 1;
    std::unique_ptr<member_list> list_;
    std::unique_ptr<list_service> service_;
    std::vector<std::string> hosts_;
    std::map<std::pair<index, index>, std::string> linked_;
    server_places where_;
    std::vector<std::unique_ptr<list_port>> lists_;
};

} // namespace

int run_part(const std::string &path) {
    std::ifstream in(path);
    const json setup = json::parse(in);
    const experiment given = read_experiment(setup.at("experiment").get<std::string>());
    part_here(setup, given).run();
    return 0;
}

} // namespace harrierpass::testbed
