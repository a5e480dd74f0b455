// SPDX-License-Identifier: Apache-2.0
#include "proxy/query.hpp"

#include "net/exchange.hpp"
#include "proxy/messages.hpp"
#include "proxy/relay.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <sys/socket.h>

namespace harrierpass::proxy {
namespace {

using std::string_view;

constexpr double head_time = 2.3;   // s from a query's first byte to its head's last; clients may take 2 s
constexpr double first_limit = 2.9; // s from a connection's start to the end of its first head
constexpr double body_wait = 2;     // s that a body may take ...
constexpr double body_rate = 32768; // ... beyond so many bytes a second; clients send 64 kB at least
constexpr double write_limit = 5;   // s to take an answer that was held whole
constexpr std::size_t longest_body = 64UL * 1024 * 1024; // bytes; twice what occurs
constexpr double upload_limit = 2100;                    // s that the longest body takes at that rate
constexpr std::size_t early_size = 16384; // bytes from which on an answer of unknown length is long ...
constexpr double early_time = 0.1;        // ... or s since its head came, if it goes on
constexpr double source_pause = 15;       // s that a server may pause in a long answer; it may swap
constexpr double sink_pause = 30;         // s that a side may take for a window of a long body
constexpr double answer_margin = 0.05;    // s before the client's end in which no dial goes on
constexpr double stop_look = 0.05;  // s between looks whether a stop leaves no time for the rest of a request
constexpr double own_margin = 0.01; // s after the client's end; the router gives its final answer before
constexpr double stall_share =
    0.25; // of the SLO time; a lost packet's delay, where that is a second and more
// After a connection's last answer; more bytes would cost more than they are worth.
constexpr linger_terms last_linger = {0.2, 512UL * 1024};
constexpr double stop_linger = 0.1; // s after a stop's last answer; a third of what is left until the kill
// A client may read why its long body was turned off.
constexpr linger_terms upload_linger = {2, longest_body};
// Answers to a request that a failure of our own ends; whole texts, as there may be no memory.
constexpr string_view failed_unsent =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr string_view failed_sent =
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr index most_refused = 16;     // on a connection; then it ends, as its client does not learn
constexpr double refuse_pause = 0.005; // s before what follows is read; guards the CPU against the same again

// What one execution came to; its answer, if whole, is in the reader.
struct execution_end {
    outcome result;
    const char *reason = nullptr; // why its connection ended; null: it is kept
    bool given_up = false;        // the query had its final answer before
    bool passed_on = false;       // the answer, or its beginning, is the client's already
    bool cut = false;             // ... and its rest is missing, by no fault of the server's
};

class life {
public:
    life(engine &with, client &from) : with_(with), from_(from), guard_(with.invariants) {}
    // Guards "no query is lost" and the router's count against a failure half way, as for want of memory.
    ~life() {
        if (arrived_)
            let_go();
    }

    const char *run();
    // After a failure of our own half way: the answer that is owed, without any memory. Why the connection
    // ends.
    const char *fail(const char *reason);
    // One line for the request: what it was answered, after how many attempts, and what became of its
    // connection.
    void log_end(const char *connection_reason) const;

private:
    const char *read(http_reader &asked);
    const char *refuse_text(int status, const char *reason, string_view fields = {});
    const char *refuse(int status, string_view fields, string_view why);
    bool left_unsent();
    execution_end execute(const orders &now, http_reader &asked, http_reader &answer);
    execution_end upload(const tcp_socket &to, http_reader &asked);
    bool is_long(const http_reader &answer, http_reader::state state, double head_at) const;
    execution_end pass_on(const tcp_socket &from, http_reader &answer);
    const char *answer(int status, string_view fields, string_view body);
    const char *answered_last(); // the client has the last answer of its connection
    const char *answer_framed(int status, string_view fields, string_view framing, string_view body);
    // The router is owed nothing more: what is still held or out for the query ends. No harm where it is
    // over.
    void let_go() {
        with_.decides.left(ticket_);
        with_.decides.dropped(ticket_, outcome::canceled);
    }
    // The final answer. Counted before it is written: whoever has the answer finds it counted.
    const char *final_answer(verdict how, int status, string_view fields = {}, string_view body = {}) {
        count_end(how);
        return answer(status, fields, body);
    }
    void count_end(verdict how) {
        take_count();
        shown_.ended(use_case_, how);
    }
    // It counts as taken once it is there; one with a long body when that has passed, or when it ends before.
    void take_count() {
        if (!std::exchange(counted_, true))
            shown_ = with_.shown.taken();
    }
    bool may_keep() const {
        return keeps_ && !from_.last && !with_.ending() && !with_.away() && !with_.handed_over &&
               (!uploads_ || body_came_);
    }
    double stop_by() const { return with_.answer_by.load(); }
    double patience() const { return std::min(statement_end_, stop_by()); }

    // The client has closed its connection: nothing is owed to it, and nothing more is sent for it.
    void client_left() {
        from_.socket.close();
        guard_.client_left();
        with_.count.add(count::left);
        with_.decides.left(ticket_);
    }

    engine &with_;
    client &from_;
    ticket ticket_;
    std::shared_ptr<const configuration> given_; // by which the query was understood
    open_ids::holder id_;
    figures::holder shown_;     // as taken, to operators
    std::string use_case_;      // its name
    buffer_pool::lease buffer_; // the query's
    bool arrived_ = false;
    bool counted_ = false;
    bool head_only_ = false; // the query is a HEAD
    int client_minor_ = 1;   // of its HTTP version
    bool body_came_ = false; // whole, where it is long
    bool uploads_ = false;   // its body is long: it goes to the server while it comes
    double patience_ = 0;    // s that the client waits from the query's last byte on
    bool keeps_ = true;      // the client's connection, after this query
    double statement_end_ = 0;
    double stall_limit_ = 0; // s in which an answer that has begun must go on

    std::string request_id_;            // as the client gave it
    request_guard guard_;               // knows the request by that
    double read_at_ = 0;                // Unix time, s, when its last byte was read; 0: it never was
    int status_ = 0;                    // of the answer that was begun; 0: none was
    index attempts_ = 0;                // begun at servers
    const char *refused_for_ = nullptr; // why it was turned away here, where it was
};

// The whole of it: read, told to the router, held, executed as often as the router says, answered.
const char *life::run() {
    auto &desk = with_.decides;
    auto &count = with_.count;
    buffer_ = from_.buffer ? std::move(from_.buffer) : with_.buffers.take();
    http_reader asked(whole(buffer_), http_reader::side::request, std::exchange(from_.filled, 0));
    if (const char *why = read(asked))
        return why;
    keeps_ = asked.head().keeps_alive();
    head_only_ = asked.head().method == "HEAD";
    client_minor_ = asked.head().minor;
    // Bytes of a next query, which come before this one's answer only from a client that does not wait.
    const auto done = [&](const char *why) {
        if (uploads_ && !body_came_ && from_.lingers.most > 0)
            from_.lingers = upload_linger;
        if (why == nullptr && !asked.rest().empty()) {
            from_.filled = asked.rest().size();
            std::memmove(buffer_.get(), asked.rest().data(), from_.filled);
            from_.buffer = std::move(buffer_);
        }
        return why;
    };

    if (asked.head().target == "/_health")
        return done(answer(
            with_.ready() && (!with_.draining() || with_.handed_over) && !with_.away() ? 200 : 503, {}, {}));
    if (asked.head().method != "GET" && asked.head().method != "PUT" && !head_only_)
        return done(refuse(405, "Allow: GET, HEAD, PUT\r\n", "a query is a GET, a HEAD or a PUT\n"));
    given_ = desk.given();
    auto wanted = understand(asked.head(), *given_);
    if (wanted.fault != nullptr)
        return done(refuse(400, {}, wanted.fault));
    const double came = read_at_ = desk.now();
    request_id_ = asked.head().value("X-Request-Id");
    const auto guard_by = [&] {
        guard_.read(request_id_, given_->decisions.use_cases[wanted.made.use_case],
                    came + wanted.patience + (uploads_ ? upload_limit : 0));
    };
    guard_by();
    if (!uploads_)
        take_count();
    use_case_ = given_->use_cases[wanted.made.use_case];
    // Guards "no effect twice" and whoever asked first: two with one id cannot be told apart at the servers.
    if (!(id_ = with_.ids.take(std::string(asked.head().value("X-Request-Id"))))) {
        count_end(verdict::errored);
        refused_for_ = "id_in_use";
        return done(refuse(409, {}, "a query with this X-Request-Id is open\n"));
    }
    count.add(count::taken);
    if (from_.crowded) {
        count.add(count::crowded_out);
        refused_for_ = "too_many_connections";
        keeps_ = false;
        return done(final_answer(verdict::deferred, 503, come_back_in(given_->decisions.allow.max_advice)));
    }
    // Nothing of it was sent anywhere, and the stop leaves no time for it.
    if (came >= stop_by()) {
        count.add(count::rejected);
        refused_for_ = "stopping";
        keeps_ = false;
        return done(final_answer(verdict::deferred, 503, come_back_in(given_->decisions.allow.max_advice)));
    }
    const auto bounded = [&] {
        patience_ = wanted.patience;
        wanted.made.uploading = uploads_;
        wanted.made.statement_end = statement_end_ =
            std::min(came + wanted.patience + (uploads_ ? upload_limit : 0), stop_by());
        stall_limit_ = given_->decisions.use_cases[wanted.made.use_case].slo_time * stall_share;
    };

    buffer_pool::lease space; // for the server's answer, from the first execution on
    // Guards a query that crosses a switch of the configuration: it is understood anew, by the one in force.
    for (bounded(); !desk.arrived(ticket_, wanted.made, given_); bounded()) {
        given_ = desk.given();
        wanted = understand(asked.head(), *given_);
        if (wanted.fault != nullptr)
            return done(refuse(400, {}, wanted.fault));
        guard_by();
    }
    arrived_ = true;
    for (bool gone = false;;) {
        const orders now = desk.look(ticket_);
        if (now.what == orders::kind::reject || now.what == orders::kind::abort) {
            if (!desk.finished(ticket_)) // it was about to be sent, or is out and given up
                desk.dropped(ticket_, outcome::canceled);
            if (gone)
                return "client_left";
            if (now.what == orders::kind::abort) {
                count.add(count::aborted);
                refused_for_ = "router_aborted";
                return done(final_answer(verdict::errored, desk.now() < statement_end_ - 0.1 ? 502 : 504));
            }
            count.add(count::rejected);
            refused_for_ = "router_rejected";
            return done(final_answer(verdict::deferred, 503, come_back_in(now.come_back)));
        }
        // Guards against a planned end that would cut it off, and against a held query that nobody ends.
        if (desk.now() >= patience() + own_margin) {
            let_go();
            refused_for_ = desk.now() >= stop_by() ? "stopping" : "out_of_time";
            if (!guard_.may_have_run()) {
                count.add(count::rejected);
                return done(
                    final_answer(verdict::deferred, 503, come_back_in(given_->decisions.allow.max_advice)));
            }
            count.add(count::aborted);
            return done(final_answer(verdict::errored, 504));
        }
        if (now.what == orders::kind::hold) {
            pollfd in{from_.socket.get(), POLLRDHUP, 0};
            if (wait_on({&in, 1}, std::min(call_lost, patience() + own_margin - desk.now())) > 0) {
                client_left();
                return "client_left";
            }
            continue;
        }

        if (!space)
            space = with_.buffers.take();
        http_reader answered(whole(space), http_reader::side::answer);
        answered.let_through(longest_body);
        if (head_only_)
            answered.without_body();
        const execution_end end = execute(now, asked, answered);
        const auto &head = answered.head();
        if (end.passed_on) { // the client has it, or its beginning, and what is missing shows
            desk.dropped(ticket_, end.result);
            const bool whole = end.result == outcome::completed && !end.cut;
            count_end(whole ? verdict::answered : verdict::errored);
            count.add(whole ? count::completed : count::aborted);
            return done(!whole || !from_.socket ? "answer_cut" : keeps_ ? nullptr : answered_last());
        }
        if (end.given_up) {
            desk.dropped(ticket_, end.result);
        } else {
            gone = gone || !from_.socket;
            desk.ended(ticket_, end.result, was_fetched(head));
        }
        gone = gone || !from_.socket;
        if (gone && desk.finished(ticket_))
            return "client_left";
        if (guard_.refused()) { // the router wanted what must not be: the request ends here
            let_go();
            if (gone)
                return "client_left";
            const bool harmless = !guard_.may_have_run();
            count.add(harmless ? count::rejected : count::aborted);
            refused_for_ = "invariant";
            return done(harmless ? final_answer(verdict::deferred, 503,
                                                come_back_in(given_->decisions.allow.max_advice))
                                 : final_answer(verdict::errored, 502));
        }
        // What is gone of a long body can't be sent again: the query ends here, harmlessly if it never ran.
        if (uploads_ && end.result != outcome::completed && asked.released() > 0) {
            let_go();
            if (gone)
                return "client_left";
            const bool harmless = !counted_ || never_ran(end.result);
            count.add(harmless ? count::rejected : count::aborted);
            return done(harmless ? final_answer(verdict::deferred, 503,
                                                come_back_in(given_->decisions.allow.max_advice))
                                 : final_answer(verdict::errored, 502));
        }
        if (end.result == outcome::completed) {
            count.add(count::completed);
            if (!head_only_)
                return done(final_answer(verdict::answered, 200, passed_on(head), answered.body()));
            count_end(verdict::answered);
            return done(answer_framed(200, passed_on(head),
                                      answered.length() ? length_field(*answered.length()) : "", {}));
        }
    }
}

const char *life::fail(const char *reason) {
    if (!guard_.owes_answer() || !guard_.may_answer())
        return reason;
    const bool harmless = !guard_.may_have_run() && attempts_ == 0;
    with_.count.add(harmless ? count::rejected : count::aborted);
    status_ = harmless ? 503 : 502;
    refused_for_ = reason;
    write_all(from_.socket, harmless ? failed_unsent : failed_sent, {}, write_limit);
    from_.lingers = last_linger;
    return reason;
}

void life::log_end(const char *connection_reason) const {
    const double now = with_.decides.now();
    const bool unanswered = read_at_ > 0 && status_ == 0;
    const level how = with_.request_level();
    if (!with_.lines.writes(how) || (read_at_ == 0 && status_ == 0))
        return;
    with_.lines.at(how, "request-end id=", request_id_, " use-case=", use_case_, " status=", status_,
                   " attempts=", attempts_, " took=", read_at_ > 0 ? now - read_at_ : 0,
                   " left=", statement_end_ > 0 ? statement_end_ - now : 0,
                   " stopping-for=", with_.stopping_for(),
                   " refused-for=", refused_for_ != nullptr ? refused_for_ : "-",
                   " connection=", connection_reason != nullptr ? connection_reason : "kept",
                   unanswered ? " unanswered=1" : "");
}

const char *life::read(http_reader &asked) {
    const double now = with_.decides.now();
    double end = from_.queries > 1 ? now + head_time : std::min(now + head_time, from_.since + first_limit);
    double head_at = 0;
    asked.let_through(longest_body);
    auto state = asked.look();
    bool expects = true;
    while (state == http_reader::state::more) {
        // Guards the request of a client that writes slowly: the stop ends before its last byte may come.
        if (with_.decides.now() >= stop_by())
            return refuse_text(503, "draining",
                               come_back_in(with_.decides.given()->decisions.allow.max_advice));
        if (expects && asked.has_head() && same_name(asked.head().value("Expect"), "100-continue")) {
            expects = false;
            write_all(from_.socket, "HTTP/1.1 100 Continue\r\n\r\n", {}, write_limit);
        }
        const long got = read_some(from_.socket, asked.room().data(), asked.room().size());
        if (got == 0)
            return "client_cut";
        if (got == -1)
            return "client_reset";
        if (got > 0) {
            state = asked.took(static_cast<std::size_t>(got));
            if (asked.has_head()) {
                head_at = head_at > 0 ? head_at : with_.decides.now();
                end = head_at + body_wait + static_cast<double>(asked.body().size()) / body_rate;
            }
            continue;
        }
        pollfd in{from_.socket.get(), POLLIN, 0};
        const double left = end - with_.decides.now();
        if (left <= 0)
            return refuse_text(408, "client_slow");
        wait_on({&in, 1}, std::min(stop_look, left));
    }
    uploads_ = state == http_reader::state::full;
    if (state == http_reader::state::whole || uploads_)
        return nullptr;
    return refuse_text(state == http_reader::state::too_large ? 413 : 400, "bad_request");
}

// For bytes that are no query.
const char *life::refuse_text(int status, const char *reason, string_view fields) {
    with_.count.add(count::bad_requests);
    keeps_ = false;
    answer(status, fields, {});
    return reason;
}

// For what can be read and is no query: the connection may go on, if it does not bring many of them.
const char *life::refuse(int status, string_view fields, string_view why) {
    with_.count.add(count::bad_requests);
    keeps_ = keeps_ && ++from_.refused < most_refused;
    const char *const ends = answer(status, fields, why);
    if (ends == nullptr)
        wait_on({}, refuse_pause);
    return ends;
}

// Guards servers against what nobody waits for: a proxy that stood still, or dialled one server after another
// that was cut off, would send queries whose clients had left long before.
bool life::left_unsent() {
    pollfd in{from_.socket.get(), POLLRDHUP, 0};
    if (!from_.socket || wait_on({&in, 1}, 0) <= 0)
        return false;
    client_left();
    return true;
}

// One execution at the server the router chose. Whatever fails before the query's last byte is written
// never ran; after that it may have.
execution_end life::execute(const orders &now, http_reader &asked, http_reader &answer) {
    static constexpr std::array<count, 9> kinds = {
        count::ended_completed, count::ended_error,         count::ended_queue_full,
        count::ended_timed_out, count::ended_connect_error, count::ended_reset,
        count::ended_canceled,  count::ended_miss,          count::ended_miss};
    auto &desk = with_.decides;
    // Guards the answer's time: nothing ends a dial, neither the client's end nor what is decided meanwhile.
    const double dial_by = patience() - answer_margin;
    server_connection to;
    execution_end come{outcome::ignored, "client_left"};
    if (!left_unsent()) {
        to = with_.servers.take(now.server, desk.now(), dial_by - desk.now());
        if (!to.socket && desk.now() >= dial_by) // cut short, it says nothing of the server
            come = {outcome::ignored, "out_of_time"};
        else if (!to.socket && to.own_shortage) // nor does a want of ours
            come = {outcome::ignored, "own_shortage"};
        else if (!to.socket)
            come = {outcome::connect_error, "dial_failed"};
        else if (to.executions == 0 && left_unsent())
            with_.servers.keep(std::exchange(to, {}), desk.now());
    }
    if (to.socket) {
        const double left = uploads_ ? patience_ : statement_end_ - desk.now();
        const std::string head = forwarded(asked, left, !uploads_);
        string_view rest = head, body = uploads_ ? string_view{} : asked.body();
        long wrote = 0;
        double by = 0; // when the write must be over
        bool begins = false;
        // Guards against a decision that the dial made old: asked for again where the first byte goes out.
        const bool in_use = with_.servers.unless_out(now.server, [&] {
            by = std::min(desk.write_by(ticket_), patience());
            const double written_at = desk.now();
            begins = written_at < by && guard_.may_send(written_at, left);
            if (begins)
                wrote = write_some(to.socket, rest, body);
        });
        if (begins) {
            with_.count.add(count::sent);
            ++attempts_;
            ++to.executions;
        }
        if (!in_use) {
            come = {outcome::ignored, "out"};
        } else if (!begins) {
            come = {outcome::ignored, "outdated", desk.look(ticket_).what != orders::kind::running};
        } else if (wrote < 0 || !write_all(to.socket, rest, body, by - desk.now())) {
            come = {outcome::connect_error, "write_failed"};
        } else if (uploads_) {
            come = upload(to.socket, asked);
        } else {
            come = {outcome::timed_out, "timed_out"};
            with_.shown.sent();
        }
    }
    auto state = come.result == outcome::timed_out ? http_reader::state::more : http_reader::state::cut;
    double heard = desk.now(), head_at = 0;
    while (state == http_reader::state::more) {
        // Looked at before each wait: a call may have ended a wait of the writing, too.
        const orders next = desk.look(ticket_);
        double left = patience() - desk.now();
        if (next.call_off)
            come = {outcome::canceled, "called_off"};
        come.given_up = next.what != orders::kind::running;
        if (next.call_off || come.given_up || left <= 0)
            break;
        // Guards a query's time and the server's good name: half an answer and then silence is no dead
        // server, but an answer whose length is wrong.
        if (answer.begun())
            left = std::min(left, heard + stall_limit_ - desk.now());
        if (left <= 0) {
            come = {outcome::error, "stalled"};
            with_.count.add(count::ended_spoilt);
            break;
        }
        std::array<pollfd, 2> both = {{{to.socket.get(), POLLIN, 0}, {from_.socket.get(), POLLRDHUP, 0}}};
        if (wait_on(both, std::min(call_lost, left)) <= 0)
            continue;
        if (both[1].revents != 0) { // guards the router's count of what the server has in hand: that goes on
            client_left();
        }
        if (both[0].revents == 0)
            continue;
        state = read_into(answer, to.socket);
        heard = desk.now();
        if (head_at == 0 && answer.has_head())
            head_at = heard;
        if (is_long(answer, state, head_at)) {
            come = pass_on(to.socket, answer);
            break;
        }
        if (state == http_reader::state::whole)
            come = {outcome_of(answer.head(), desk.given()->decisions.origin_kind != none), nullptr};
        else if (state == http_reader::state::cut)
            come = {outcome::reset, "reset"};
        else if (state == http_reader::state::full) // an error's text, or nobody's: it needs no more
            come = {outcome_of(answer.head(), false), "long"};
        else if (state != http_reader::state::more) { // guards the server's good name: it did answer
            come = {outcome::error, "spoilt"};
            with_.count.add(count::ended_spoilt);
        }
    }
    guard_.attempt_over(come.result);
    with_.count.add(kinds[static_cast<std::size_t>(come.result)]);
    if (const level how = with_.request_level(); with_.lines.writes(how))
        with_.lines.at(how, "execution-end id=", request_id_, " server=", with_.servers.id_of(now.server),
                       " number=", now.execution, " stopping-for=", with_.stopping_for(),
                       " status=", answer.head().status, " note=", answer.head().value("X-Cache"),
                       " reason=", come.reason != nullptr ? come.reason : "answered");
    if (!to.socket)
        return come;
    if (come.reason == nullptr && answer.head().keeps_alive() && answer.rest().empty()) {
        with_.servers.keep(std::move(to), desk.now());
        return come;
    }
    // Guards later queries against the same fate: what idles at a silent server is likely as dead. Where a
    // process died, its other connections show it themselves.
    if (come.result == outcome::canceled)
        with_.servers.end_kept(now.server, desk.now(), "suspect");
    with_.servers.end(std::move(to), desk.now(), come.reason != nullptr ? come.reason : "server_closes");
    return come;
}

// A long body, to the server as it comes. Until its last byte is out nothing has run.
execution_end life::upload(const tcp_socket &to, http_reader &asked) {
    auto &desk = with_.decides;
    bool given_up = false;
    const auto called = [&] {
        const orders next = desk.look(ticket_);
        given_up = next.what != orders::kind::running;
        return next.call_off || given_up || desk.now() >= stop_by();
    };
    switch (relay_body(
        asked, from_.socket, to, asked.length() ? framing::counted : framing::chunked,
        {.source = body_wait,
         .source_rate = body_rate,
         .sink = sink_pause,
         .until = stop_by(),
         .watches_sink = true},
        [&] { return desk.now(); }, called)) {
    case relay_end::whole:
        with_.shown.sent();
        body_came_ = true;
        take_count();
        statement_end_ = std::min(desk.now() + patience_, stop_by());
        guard_.move_deadline(desk.now() + patience_);
        desk.written(ticket_, statement_end_);
        return {outcome::timed_out, "timed_out"};
    case relay_end::sink_spoke: // it is turned away before its end, as a rule
        return {outcome::timed_out, "timed_out"};
    case relay_end::sink_broke:
        return {outcome::connect_error, "write_failed"};
    case relay_end::called:
        return {outcome::canceled, "called_off", given_up};
    case relay_end::source_cut:
    case relay_end::source_slow:
    case relay_end::source_spoilt: // the client's fault
        break;
    }
    return {outcome::ignored, "client_cut"};
}

// Whether an answer goes on to the client as it comes, instead of being held whole.
bool life::is_long(const http_reader &answer, http_reader::state state, double head_at) const {
    if ((state != http_reader::state::more && state != http_reader::state::full) || !answer.has_head() ||
        answer.head().status != 200 || !from_.socket)
        return false;
    if (answer.length())
        return state == http_reader::state::full || *answer.length() > body_limit;
    return state == http_reader::state::full || answer.body().size() >= early_size ||
           (!answer.body().empty() && with_.decides.now() > head_at + early_time);
}

execution_end life::pass_on(const tcp_socket &from, http_reader &answer) {
    auto &desk = with_.decides;
    desk.begun(ticket_, was_fetched(answer.head()));
    const bool old_client = client_minor_ == 0;
    const auto how = answer.length() ? framing::counted : old_client ? framing::by_close : framing::chunked;
    keeps_ = may_keep() && how != framing::by_close;
    if (!guard_.may_answer())
        return {outcome::ignored, "invariant", false, true};
    status_ = 200;
    const std::string head = answer_head(200, passed_on(answer.head()),
                                         how == framing::counted   ? length_field(*answer.length())
                                         : how == framing::chunked ? std::string(chunked_field)
                                                                   : std::string(),
                                         keeps_);
    const auto end = write_all(from_.socket, head, {}, sink_pause)
                         ? relay_body(
                               answer, from, from_.socket, how,
                               {.source = source_pause, .sink = sink_pause, .until = stop_by()},
                               [&] { return desk.now(); }, [&] { return desk.now() >= stop_by(); })
                         : relay_end::sink_broke;
    if (end == relay_end::whole) {
        id_ = {};
        return {outcome::completed, nullptr, false, true};
    }
    keeps_ = false;
    // Guards a client that could take what came for all of it.
    if (how == framing::by_close && (end != relay_end::sink_broke || desk.now() >= stop_by())) {
        const struct ::linger at_once { 1, 0 };
        setsockopt(from_.socket.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    if (end == relay_end::sink_broke) { // the client's end; the server did what it should
        with_.count.add(count::answers_cut);
        from_.socket.close();
        return {outcome::completed, "client_left", false, true};
    }
    if (end == relay_end::called) // the server did what it should; the stop leaves no time for the rest
        return {outcome::completed, "draining", false, true, true};
    return {outcome::reset, end == relay_end::source_slow ? "stalled" : "reset", false, true};
}

const char *life::answer(int status, string_view fields, string_view body) {
    return answer_framed(status, fields, length_field(body.size()), body);
}

const char *life::answer_framed(int status, string_view fields, string_view framing, string_view body) {
    keeps_ = may_keep();
    if (!guard_.may_answer())
        return "answer_cut";
    status_ = status;
    id_ = {}; // guards a client that uses it again as soon as it has the answer
    const std::string head = answer_head(status, fields, framing, keeps_);
    if (!write_all(from_.socket, head, head_only_ ? string_view{} : body, write_limit)) {
        with_.count.add(count::answers_cut);
        return "answer_cut";
    }
    return keeps_ ? nullptr : answered_last();
}

const char *life::answered_last() {
    // Guards room for others: where the connection ends for want of it, only what is there is read away.
    from_.lingers = {from_.last || from_.crowded ? 0 : last_linger.limit, last_linger.most};
    return "answered_last";
}

} // namespace

const char *serve_query(engine &with, client &from) {
    const char *why = nullptr;
    {
        life request(with, from);
        try {
            why = request.run();
        } catch (const std::bad_alloc &) {
            why = request.fail("no_memory");
        } catch (const std::exception &failed) {
            with.lines.error("query-failed error=", failed.what());
            why = request.fail("failed");
        }
        request.log_end(why);
    } // its buffer is free while the connection lingers
    // Guards the last answers of a stop: the process has to be gone, by itself, before it may be killed.
    const double until_stop = std::max(0.0, with.answer_by + stop_linger - with.decides.now());
    if (why != nullptr && from.lingers.most > 0)
        release(from.socket, std::min(from.lingers.limit, until_stop), from.lingers.most);
    return why;
}

} // namespace harrierpass::proxy
