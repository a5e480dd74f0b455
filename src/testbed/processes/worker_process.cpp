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

constexpr double heartbeat_period = 0.01; // s between a worker's words that it has seen nothing else
static_assert(std::is_trivially_copyable_v<worker_message>);

} // namespace

// ---- The pair of sockets

worker_connection::worker_connection(loop &in, tcp_socket socket, bool blocks)
    : loop_(in), socket_(std::move(socket)), blocks_(blocks) {
    loop_.watch(socket_.get(), EPOLLIN, [this](std::uint32_t events) { on_events(events); });
}

worker_connection::~worker_connection() {
    if (socket_)
        loop_.forget(socket_.get());
}

void worker_connection::send(const worker_message &what) {
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
        if (!blocks_)
            return loop_.change(socket_.get(), EPOLLIN | EPOLLOUT);
        pollfd room{socket_.get(), POLLOUT, 0};
        ::poll(&room, 1, -1);
    }
}

void worker_connection::on_events(std::uint32_t events) {
    if ((events & EPOLLOUT) != 0 && !out_.empty()) {
        const auto wrote = ::send(socket_.get(), out_.data(), out_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote > 0)
            out_.erase(0, static_cast<std::size_t>(wrote));
        if (out_.empty())
            loop_.change(socket_.get(), EPOLLIN);
    }
    drain();
}

void worker_connection::drain() {
    std::array<char, 65536> part;
    while (socket_) {
        const auto got = ::recv(socket_.get(), part.data(), part.size(), MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (got <= 0)
            return end();
        in_.append(part.data(), static_cast<std::size_t>(got));
        std::size_t at = 0;
        for (; in_.size() - at >= sizeof(worker_message); at += sizeof(worker_message)) {
            worker_message what;
            std::memcpy(&what, in_.data() + at, sizeof what);
            if (on_message)
                on_message(what);
        }
        in_.erase(0, at);
    }
}

void worker_connection::end() {
    loop_.forget(socket_.get());
    socket_.close();
    if (on_end)
        on_end();
}

// ---- The run's side

worker_process::worker_process(loop &in, event_merge &events, std::vector<std::string> command,
                               const std::string &log)
    : loop_(in), events_(events), process_(in, std::move(command), log, true), source_(events.add_source()) {
    process_.on_exit = [this] {
        link_->drain();
        if (!ends_ && on_death)
            on_death();
    };
}

void worker_process::start() {
    ready_ = ends_ = false;
    unsent_.clear();
    events_.reopen_source(source_, loop_.clock.now());
    process_.start();
    link_ = std::make_unique<worker_connection>(loop_, process_.take_control(), false);
    link_->on_message = [this](const worker_message &what) { handle_message(what); };
    // Once it is gone nothing holds the judging up, until its successor starts.
    link_->on_end = [this] { events_.close_source(source_); };
}

void worker_process::handle_message(const worker_message &what) {
    if (what.is == worker_message::kind::event) {
        last_ = std::max(last_, what.event.observed_at);
        events_.add(source_, what.event);
    }
    if (what.is == worker_message::kind::heartbeat)
        return events_.advance_source(source_, what.x);
    if (what.is == worker_message::kind::ready) {
        ready_ = true;
        for (const auto &each : unsent_)
            link_->send(each);
        unsent_.clear();
        if (on_ready)
            on_ready();
        return;
    }
    if (on_message)
        on_message(what);
}

void worker_process::send(const worker_message &what) {
    if (ready_ && link_)
        link_->send(what);
    else
        unsent_.push_back(what);
}

void worker_process::kill() {
    ends_ = true;
    process_.kill();
    if (link_)
        link_->drain();
    ready_ = false;
    unsent_.clear();
}

void worker_process::stop(bool begins) {
    process_.signal(begins ? SIGSTOP : SIGCONT);
}

void worker_process::end() {
    ends_ = true;
    process_.signal(SIGCONT);
    process_.signal(SIGTERM);
}

// ---- The worker

namespace {

using nlohmann::json;

class worker_program {
public:
    worker_program(const json &setup, const experiment &given)
        : experiment_(given), loop_(setup.at("offset").get<double>()),
          link_(loop_, tcp_socket(child_process::control_place), true),
          recorder_([this] { return loop_.precise_now(); },
                    [this](const observed_event &what) {
                        worker_message made;
                        made.is = worker_message::kind::event;
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
        link_.on_message = [this](const worker_message &what) { handle_message(what); };
        if (setup.at("role") == "list")
            start_list_service(setup, total_server_count(given));
        else
            start_servers(setup);
    }

    void run() {
        worker_message up;
        up.is = worker_message::kind::ready;
        send(up);
        send_heartbeat();
        loop_.run([this] { return over_; });
    }

private:
    void send(const worker_message &what) { link_.send(what); }
    void send_heartbeat() {
        worker_message made;
        made.x = loop_.clock.now();
        send(made);
        loop_.clock.after(heartbeat_period, [this] { send_heartbeat(); });
    }

    void start_servers(const json &setup) {
        fleet_ = std::make_unique<fleet>(loop_.clock, experiment_, recorder_,
                                         setup.at("seed").get<std::uint32_t>());
        fleet_->remote_fetch = [this](std::function<void(bool)> done) {
            worker_message made;
            made.is = worker_message::kind::fetch;
            made.number = next_;
            pending_fetches_[next_++] = std::move(done);
            send(made);
        };
        fleet_->remote_write = [this](const job &what, index server, std::function<void(bool, bool)> done) {
            worker_message made;
            made.is = worker_message::kind::write;
            made.number = next_;
            made.a = server;
            made.key = what.key;
            made.flag = what.keyed;
            made.event.op = what.op;
            made.event.a = what.attempt;
            made.event.b = what.use_case;
            pending_writes_[next_++] = std::move(done);
            send(made);
        };
        const bool cold = setup.at("cold");
        for (index i = 0; i < fleet_->size(); ++i) {
            if (host_of(experiment_, i) != setup.at("host").get<index>())
                continue;
            auto &server = fleet_->at(i);
            if (!cold && experiment_.fleet.starts_warm && i < experiment_.fleet.servers)
                server.fill_most_popular();
            if (cold && server.up())
                server.start_cold(loop_.clock.now());
            const auto at = parse_address(setup.at("addresses").at(i).get<std::string>());
            ports_.push_back(std::make_unique<server_port>(loop_, *fleet_, i, *at));
            ports_.back()->on_connection = [this](index which, bool begins) {
                worker_message made;
                made.is = worker_message::kind::connection;
                made.a = which;
                made.flag = begins;
                send(made);
            };
        }
    }

    void start_list_service(const json &setup, index servers) {
        list_ = std::make_unique<member_list>(experiment_, servers);
        service_ = std::make_unique<list_service>(loop_.clock, experiment_.list, *list_);
        for (const auto &each : setup.at("addresses"))
            hosts_.push_back(each);
        hosts_.resize(servers + 1);
        for (const auto &each : setup.at("links"))
            link_addresses_[{each.at(0), each.at(1)}] = each.at(2);
        server_address_ = [this](index proxy, index server) {
            const auto link = link_addresses_.find({proxy, server});
            return link == link_addresses_.end() ? hosts_.at(server) : link->second;
        };
        index proxy = 0;
        for (const auto &each : setup.at("lists")) {
            lists_.push_back(std::make_unique<list_port>(loop_, experiment_, *list_, *service_, recorder_,
                                                         proxy++, *parse_address(each.get<std::string>()),
                                                         server_address_));
            lists_.back()->on_poll = [this](list_poll as, std::size_t bytes) {
                worker_message made;
                made.is = worker_message::kind::poll;
                made.small = static_cast<std::uint8_t>(as);
                made.number = bytes;
                send(made);
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

    void handle_message(const worker_message &what) {
        switch (what.is) {
        case worker_message::kind::fault: {
            fault_settings fault;
            fault.kind = static_cast<fault_kind>(what.small);
            fault.factor = what.x;
            fault.use_case = what.b;
            return apply_server_fault(fleet_->at(what.a), fault, what.flag != 0);
        }
        case worker_message::kind::fetched:
            if (const auto done = take(pending_fetches_, what.number))
                done(what.flag != 0);
            return;
        case worker_message::kind::written:
            if (const auto done = take(pending_writes_, what.number))
                done(what.flag != 0, what.flag2 != 0);
            return;
        case worker_message::kind::void_copy:
            return fleet_->invalidate(what.key);
        case worker_message::kind::load:
        case worker_message::kind::publish:
            list_->load({what.a, static_cast<endpoint_state>(what.small), what.x, what.number});
            if (what.is == worker_message::kind::publish)
                service_->on_list_changed();
            return;
        case worker_message::kind::silent:
            return list_->set_silent(what.flag != 0);
        default:
            return;
        }
    }

    const experiment &experiment_;
    loop loop_;
    worker_connection link_;
    event_recorder recorder_;
    tcp_socket signals_;
    bool over_ = false;
    std::unique_ptr<fleet> fleet_;
    std::vector<std::unique_ptr<server_port>> ports_;
    std::map<std::uint64_t, std::function<void(bool)>> pending_fetches_;
    std::map<std::uint64_t, std::function<void(bool, bool)>> pending_writes_;
    std::uint64_t next_ = 1;
    std::unique_ptr<member_list> list_;
    std::unique_ptr<list_service> service_;
    std::vector<std::string> hosts_;
    std::map<std::pair<index, index>, std::string> link_addresses_;
    server_address_lookup server_address_;
    std::vector<std::unique_ptr<list_port>> lists_;
};

} // namespace

int run_worker_process(const std::string &path) {
    std::ifstream in(path);
    const json setup = json::parse(in);
    const experiment given = read_experiment(setup.at("experiment").get<std::string>());
    worker_program(setup, given).run();
    return 0;
}

} // namespace harrierpass::testbed
