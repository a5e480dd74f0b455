// SPDX-License-Identifier: Apache-2.0
#include "proxy/request/request_session.hpp"

#include "net/http_call.hpp"
#include "proxy/client/body_relay.hpp"
#include "proxy/client/response_writer.hpp"
#include "proxy/request/protocol.hpp"

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
constexpr lingering_close last_linger = {0.2, 512UL * 1024};
constexpr double stop_linger = 0.1; // s after a stop's last answer; a third of what is left until the kill
// A client may read why its long body was turned off.
constexpr lingering_close upload_linger = {2, longest_body};
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
    life(proxy_context &with, client_connection &from) : with_(with), from_(from), guard_(with.invariants) {}
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
    execution_end execute(const routing_decision &now, http_reader &asked, http_reader &answer);
    execution_end upload(const tcp_socket &to, http_reader &asked);
    bool is_long(const http_reader &answer, http_reader::state state, double head_at) const;
    execution_end pass_on(const tcp_socket &from, http_reader &answer);
    const char *answer(int status, string_view fields, string_view body);
    const char *answered_last(); // the client has the last answer of its connection
    const char *answer_framed(int status, string_view fields, string_view framing, string_view body);
    // The router is owed nothing more: what is still held or out for the query ends. No harm where it is
    // over.
    void let_go() {
        with_.routing.client_disconnected(ticket_);
        with_.routing.request_finished(ticket_, outcome::canceled);
    }
    // The final answer. Counted before it is written: whoever has the answer finds it counted.
    const char *final_answer(request_result how, int status, string_view fields = {}, string_view body = {}) {
        count_end(how);
        return answer(status, fields, body);
    }
    void count_end(request_result how) {
        take_count();
        shown_.finish(use_case_, how);
    }
    // It counts as taken once it is there; one with a long body when that has passed, or when it ends before.
    void take_count() {
        if (!std::exchange(counted_, true))
            shown_ = with_.metrics.start_request();
    }
    bool may_keep() const {
        return keeps_ && !from_.closes_after_response && !with_.is_closing() && !with_.is_disabled() &&
               !with_.handed_over && (!uploads_ || body_came_);
    }
    double stop_by() const { return with_.respond_by.load(); }
    double patience() const { return std::min(statement_end_, stop_by()); }

    // The client has closed its connection: nothing is owed to it, and nothing more is sent for it.
    void client_left() {
        from_.socket.close();
        guard_.on_client_disconnected();
        with_.counts.add(counter::client_disconnects);
        with_.routing.client_disconnected(ticket_);
    }

    proxy_context &with_;
    client_connection &from_;
    request_handle ticket_;
    std::shared_ptr<const configuration> given_; // by which the query was understood
    active_request_ids::id_lease id_;
    request_metrics::scoped_request shown_; // as taken, to operators
    std::string use_case_;                  // its name
    buffer_pool::buffer_handle buffer_;     // the query's
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
    auto &desk = with_.routing;
    auto &count = with_.counts;
    buffer_ = from_.buffer ? std::move(from_.buffer) : with_.buffers.acquire();
    http_reader asked(whole_buffer(buffer_), http_reader::message_kind::request,
                      std::exchange(from_.filled, 0));
    if (const char *why = read(asked))
        return why;
    keeps_ = asked.head().keeps_alive();
    head_only_ = asked.head().method == "HEAD";
    client_minor_ = asked.head().minor;
    // Bytes of a next query, which come before this one's answer only from a client that does not wait.
    const auto done = [&](const char *why) {
        if (uploads_ && !body_came_ && from_.lingering.max_bytes > 0)
            from_.lingering = upload_linger;
        if (why == nullptr && !asked.pipelined_bytes().empty()) {
            from_.filled = asked.pipelined_bytes().size();
            std::memmove(buffer_.get(), asked.pipelined_bytes().data(), from_.filled);
            from_.buffer = std::move(buffer_);
        }
        return why;
    };

    if (asked.head().target == "/_health")
        return done(answer(
            with_.ready() && (!with_.draining() || with_.handed_over) && !with_.is_disabled() ? 200 : 503, {},
            {}));
    if (asked.head().method != "GET" && asked.head().method != "PUT" && !head_only_)
        return done(refuse(405, "Allow: GET, HEAD, PUT\r\n", "a query is a GET, a HEAD or a PUT\n"));
    given_ = desk.configuration_in_force();
    auto wanted = parse_request(asked.head(), *given_);
    if (wanted.fault != nullptr)
        return done(refuse(400, {}, wanted.fault));
    const double came = read_at_ = desk.now();
    request_id_ = asked.head().header("X-Request-Id");
    const auto guard_by = [&] {
        guard_.request_read(request_id_, given_->router.request_classes[wanted.info.class_id],
                            came + wanted.client_timeout + (uploads_ ? upload_limit : 0));
    };
    guard_by();
    if (!uploads_)
        take_count();
    use_case_ = given_->request_classes[wanted.info.class_id];
    // Guards "no effect twice" and whoever asked first: two with one id cannot be told apart at the servers.
    if (!(id_ = with_.ids.acquire(std::string(asked.head().header("X-Request-Id"))))) {
        count_end(request_result::failed);
        refused_for_ = "id_in_use";
        return done(refuse(409, {}, "a query with this X-Request-Id is open\n"));
    }
    count.add(counter::requests);
    if (from_.over_capacity) {
        count.add(counter::rejected_too_many_connections);
        refused_for_ = "too_many_connections";
        keeps_ = false;
        return done(final_answer(request_result::rejected, 503,
                                 retry_after_header(given_->router.constraints.max_retry_after)));
    }
    // Nothing of it was sent anywhere, and the stop leaves no time for it.
    if (came >= stop_by()) {
        count.add(counter::rejected);
        refused_for_ = "stopping";
        keeps_ = false;
        return done(final_answer(request_result::rejected, 503,
                                 retry_after_header(given_->router.constraints.max_retry_after)));
    }
    const auto bounded = [&] {
        patience_ = wanted.client_timeout;
        wanted.info.streams_body = uploads_;
        wanted.info.deadline = statement_end_ =
            std::min(came + wanted.client_timeout + (uploads_ ? upload_limit : 0), stop_by());
        stall_limit_ = given_->router.request_classes[wanted.info.class_id].latency_objective * stall_share;
    };

    buffer_pool::buffer_handle space; // for the server's answer, from the first execution on
    // Guards a query that crosses a switch of the configuration: it is understood anew, by the one in force.
    for (bounded(); !desk.submit(ticket_, wanted.info, given_); bounded()) {
        given_ = desk.configuration_in_force();
        wanted = parse_request(asked.head(), *given_);
        if (wanted.fault != nullptr)
            return done(refuse(400, {}, wanted.fault));
        guard_by();
    }
    arrived_ = true;
    for (bool gone = false;;) {
        const routing_decision now = desk.next_decision(ticket_);
        if (now.kind_of == routing_decision::kind::reject || now.kind_of == routing_decision::kind::fail) {
            if (!desk.is_released(ticket_)) // it was about to be sent, or is out and given up
                desk.request_finished(ticket_, outcome::canceled);
            if (gone)
                return "client_left";
            if (now.kind_of == routing_decision::kind::fail) {
                count.add(counter::aborted);
                refused_for_ = "router_aborted";
                return done(
                    final_answer(request_result::failed, desk.now() < statement_end_ - 0.1 ? 502 : 504));
            }
            count.add(counter::rejected);
            refused_for_ = "router_rejected";
            return done(final_answer(request_result::rejected, 503, retry_after_header(now.retry_after)));
        }
        // Guards against a planned end that would cut it off, and against a held query that nobody ends.
        if (desk.now() >= patience() + own_margin) {
            let_go();
            refused_for_ = desk.now() >= stop_by() ? "stopping" : "out_of_time";
            if (!guard_.possibly_executed()) {
                count.add(counter::rejected);
                return done(final_answer(request_result::rejected, 503,
                                         retry_after_header(given_->router.constraints.max_retry_after)));
            }
            count.add(counter::aborted);
            return done(final_answer(request_result::failed, 504));
        }
        if (now.kind_of == routing_decision::kind::queued) {
            pollfd in{from_.socket.get(), POLLRDHUP, 0};
            if (wait_on({&in, 1}, std::min(missed_wakeup_limit, patience() + own_margin - desk.now())) > 0) {
                client_left();
                return "client_left";
            }
            continue;
        }

        if (!space)
            space = with_.buffers.acquire();
        http_reader answered(whole_buffer(space), http_reader::message_kind::response);
        answered.stream_body(longest_body);
        if (head_only_)
            answered.expect_no_body();
        const execution_end end = execute(now, asked, answered);
        const auto &head = answered.head();
        if (end.passed_on) { // the client has it, or its beginning, and what is missing shows
            desk.request_finished(ticket_, end.result);
            const bool whole = end.result == outcome::completed && !end.cut;
            count_end(whole ? request_result::succeeded : request_result::failed);
            count.add(whole ? counter::completed : counter::aborted);
            return done(!whole || !from_.socket ? "answer_cut" : keeps_ ? nullptr : answered_last());
        }
        if (end.given_up) {
            desk.request_finished(ticket_, end.result);
        } else {
            gone = gone || !from_.socket;
            desk.attempt_finished(ticket_, end.result, is_cache_miss(head));
        }
        gone = gone || !from_.socket;
        if (gone && desk.is_released(ticket_))
            return "client_left";
        if (guard_.was_violated()) { // the router wanted what must not be: the request ends here
            let_go();
            if (gone)
                return "client_left";
            const bool harmless = !guard_.possibly_executed();
            count.add(harmless ? counter::rejected : counter::aborted);
            refused_for_ = "invariant";
            return done(harmless
                            ? final_answer(request_result::rejected, 503,
                                           retry_after_header(given_->router.constraints.max_retry_after))
                            : final_answer(request_result::failed, 502));
        }
        // What is gone of a long body can't be sent again: the query ends here, harmlessly if it never ran.
        if (uploads_ && end.result != outcome::completed && asked.released_bytes() > 0) {
            let_go();
            if (gone)
                return "client_left";
            const bool harmless = !counted_ || known_not_executed(end.result);
            count.add(harmless ? counter::rejected : counter::aborted);
            return done(harmless
                            ? final_answer(request_result::rejected, 503,
                                           retry_after_header(given_->router.constraints.max_retry_after))
                            : final_answer(request_result::failed, 502));
        }
        if (end.result == outcome::completed) {
            count.add(counter::completed);
            if (!head_only_)
                return done(
                    final_answer(request_result::succeeded, 200, forwarded_headers(head), answered.body()));
            count_end(request_result::succeeded);
            return done(answer_framed(
                200, forwarded_headers(head),
                answered.content_length() ? content_length_header(*answered.content_length()) : "", {}));
        }
    }
}

const char *life::fail(const char *reason) {
    if (!guard_.owes_response() || !guard_.may_respond())
        return reason;
    const bool harmless = !guard_.possibly_executed() && attempts_ == 0;
    with_.counts.add(harmless ? counter::rejected : counter::aborted);
    status_ = harmless ? 503 : 502;
    refused_for_ = reason;
    write_fallback_response(from_.socket,
                            harmless ? fallback_response::unavailable : fallback_response::bad_gateway,
                            write_limit);
    from_.lingering = last_linger;
    return reason;
}

void life::log_end(const char *connection_reason) const {
    const double now = with_.routing.now();
    const bool unanswered = read_at_ > 0 && status_ == 0;
    const log_level how = with_.request_level();
    if (!with_.logger.writes(how) || (read_at_ == 0 && status_ == 0))
        return;
    with_.logger.at(how, "request-end id=", request_id_, " use-case=", use_case_, " status=", status_,
                    " attempts=", attempts_, " took=", read_at_ > 0 ? now - read_at_ : 0,
                    " left=", statement_end_ > 0 ? statement_end_ - now : 0,
                    " stopping-for=", with_.time_since_stop(),
                    " refused-for=", refused_for_ != nullptr ? refused_for_ : "-",
                    " connection=", connection_reason != nullptr ? connection_reason : "kept",
                    unanswered ? " unanswered=1" : "");
}

const char *life::read(http_reader &asked) {
    const double now = with_.routing.now();
    double end =
        from_.requests > 1 ? now + head_time : std::min(now + head_time, from_.connected_at + first_limit);
    double head_at = 0;
    asked.stream_body(longest_body);
    auto state = asked.parse_buffered();
    bool expects = true;
    while (state == http_reader::state::incomplete) {
        // Guards the request of a client that writes slowly: the stop ends before its last byte may come.
        if (with_.routing.now() >= stop_by())
            return refuse_text(
                503, "draining",
                retry_after_header(
                    with_.routing.configuration_in_force()->router.constraints.max_retry_after));
        if (expects && asked.has_head() &&
            equals_ignoring_case(asked.head().header("Expect"), "100-continue")) {
            expects = false;
            write_all(from_.socket, "HTTP/1.1 100 Continue\r\n\r\n", {}, write_limit);
        }
        const long got = read_some(from_.socket, asked.free_space().data(), asked.free_space().size());
        if (got == 0)
            return "client_cut";
        if (got == -1)
            return "client_reset";
        if (got > 0) {
            state = asked.received(static_cast<std::size_t>(got));
            if (asked.has_head()) {
                head_at = head_at > 0 ? head_at : with_.routing.now();
                end = head_at + body_wait + static_cast<double>(asked.body().size()) / body_rate;
            }
            continue;
        }
        pollfd in{from_.socket.get(), POLLIN, 0};
        const double left = end - with_.routing.now();
        if (left <= 0)
            return refuse_text(408, "client_slow");
        wait_on({&in, 1}, std::min(stop_look, left));
    }
    uploads_ = state == http_reader::state::window_full;
    if (state == http_reader::state::complete || uploads_)
        return nullptr;
    return refuse_text(state == http_reader::state::too_large ? 413 : 400, "bad_request");
}

// For bytes that are no query.
const char *life::refuse_text(int status, const char *reason, string_view fields) {
    with_.counts.add(counter::bad_requests);
    keeps_ = false;
    answer(status, fields, {});
    return reason;
}

// For what can be read and is no query: the connection may go on, if it does not bring many of them.
const char *life::refuse(int status, string_view fields, string_view why) {
    with_.counts.add(counter::bad_requests);
    keeps_ = keeps_ && ++from_.malformed_requests < most_refused;
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
execution_end life::execute(const routing_decision &now, http_reader &asked, http_reader &answer) {
    static constexpr std::array<counter, 9> kinds = {
        counter::attempts_completed, counter::attempts_error,         counter::attempts_overloaded,
        counter::attempts_timed_out, counter::attempts_connect_error, counter::attempts_reset,
        counter::attempts_canceled,  counter::attempts_cache_miss,    counter::attempts_cache_miss};
    auto &desk = with_.routing;
    // Guards the answer's time: nothing ends a dial, neither the client's end nor what is decided meanwhile.
    const double dial_by = patience() - answer_margin;
    upstream_connection to;
    execution_end come{outcome::discarded_unread, "client_left"};
    if (!left_unsent()) {
        to = with_.upstreams.acquire(now.endpoint, desk.now(), dial_by - desk.now());
        if (!to.socket && desk.now() >= dial_by) // cut short, it says nothing of the server
            come = {outcome::discarded_unread, "out_of_time"};
        else if (!to.socket && to.local_shortage) // nor does a want of ours
            come = {outcome::discarded_unread, "own_shortage"};
        else if (!to.socket)
            come = {outcome::connect_error, "dial_failed"};
        else if (to.attempts == 0 && left_unsent())
            with_.upstreams.release(std::exchange(to, {}), desk.now());
    }
    if (to.socket) {
        const double left = uploads_ ? patience_ : statement_end_ - desk.now();
        const std::string head = forwarded_request(asked, left, !uploads_);
        string_view rest = head, body = uploads_ ? string_view{} : asked.body();
        long wrote = 0;
        double by = 0; // when the write must be over
        bool begins = false;
        // Guards against a decision that the dial made old: asked for again where the first byte goes out.
        const bool in_use = with_.upstreams.unless_disabled(now.endpoint, [&] {
            by = std::min(desk.attempt_write_deadline(ticket_), patience());
            const double written_at = desk.now();
            begins = written_at < by && guard_.may_start_attempt(written_at, left);
            if (begins)
                wrote = write_some(to.socket, rest, body);
        });
        if (begins) {
            with_.counts.add(counter::attempts_sent);
            ++attempts_;
            ++to.attempts;
        }
        if (!in_use) {
            come = {outcome::discarded_unread, "out"};
        } else if (!begins) {
            come = {outcome::discarded_unread, "outdated",
                    desk.next_decision(ticket_).kind_of != routing_decision::kind::attempt_running};
        } else if (wrote < 0 || !write_all(to.socket, rest, body, by - desk.now())) {
            come = {outcome::connect_error, "write_failed"};
        } else if (uploads_) {
            come = upload(to.socket, asked);
        } else {
            come = {outcome::timed_out, "timed_out"};
            with_.metrics.attempt_sent();
        }
    }
    auto state =
        come.result == outcome::timed_out ? http_reader::state::incomplete : http_reader::state::truncated;
    double heard = desk.now(), head_at = 0;
    while (state == http_reader::state::incomplete) {
        // Looked at before each wait: a call may have ended a wait of the writing, too.
        const routing_decision next = desk.next_decision(ticket_);
        double left = patience() - desk.now();
        if (next.cancel)
            come = {outcome::canceled, "called_off"};
        come.given_up = next.kind_of != routing_decision::kind::attempt_running;
        if (next.cancel || come.given_up || left <= 0)
            break;
        // Guards a query's time and the server's good name: half an answer and then silence is no dead
        // server, but an answer whose length is wrong.
        if (answer.has_begun())
            left = std::min(left, heard + stall_limit_ - desk.now());
        if (left <= 0) {
            come = {outcome::error, "stalled"};
            with_.counts.add(counter::attempts_malformed);
            break;
        }
        std::array<pollfd, 2> both = {{{to.socket.get(), POLLIN, 0}, {from_.socket.get(), POLLRDHUP, 0}}};
        if (wait_on(both, std::min(missed_wakeup_limit, left)) <= 0)
            continue;
        if (both[1].revents != 0) { // guards the router's count of what the server has in hand: that goes on
            client_left();
        }
        if (both[0].revents == 0)
            continue;
        state = read_available(answer, to.socket);
        heard = desk.now();
        if (head_at == 0 && answer.has_head())
            head_at = heard;
        if (is_long(answer, state, head_at)) {
            come = pass_on(to.socket, answer);
            break;
        }
        if (state == http_reader::state::complete)
            come = {outcome_of(answer.head(), desk.configuration_in_force()->router.origin_kind != none),
                    nullptr};
        else if (state == http_reader::state::truncated)
            come = {outcome::reset, "reset"};
        else if (state == http_reader::state::window_full) // an error's text, or nobody's: it needs no more
            come = {outcome_of(answer.head(), false), "long"};
        else if (state != http_reader::state::incomplete) { // guards the server's good name: it did answer
            come = {outcome::error, "spoilt"};
            with_.counts.add(counter::attempts_malformed);
        }
    }
    guard_.attempt_finished(come.result);
    with_.counts.add(kinds[static_cast<std::size_t>(come.result)]);
    if (const log_level how = with_.request_level(); with_.logger.writes(how))
        with_.logger.at(how, "execution-end id=", request_id_,
                        " server=", with_.upstreams.id_of(now.endpoint), " number=", now.attempt,
                        " stopping-for=", with_.time_since_stop(), " status=", answer.head().status,
                        " note=", answer.head().header("X-Cache"),
                        " reason=", come.reason != nullptr ? come.reason : "answered");
    if (!to.socket)
        return come;
    if (come.reason == nullptr && answer.head().keeps_alive() && answer.pipelined_bytes().empty()) {
        with_.upstreams.release(std::move(to), desk.now());
        return come;
    }
    // Guards later queries against the same fate: what idles at a silent server is likely as dead. Where a
    // process died, its other connections show it themselves.
    if (come.result == outcome::canceled)
        with_.upstreams.close_idle_of(now.endpoint, desk.now(), "suspect");
    with_.upstreams.close_connection(std::move(to), desk.now(),
                                     come.reason != nullptr ? come.reason : "server_closes");
    return come;
}

// A long body, to the server as it comes. Until its last byte is out nothing has run.
execution_end life::upload(const tcp_socket &to, http_reader &asked) {
    auto &desk = with_.routing;
    bool given_up = false;
    const auto called = [&] {
        const routing_decision next = desk.next_decision(ticket_);
        given_up = next.kind_of != routing_decision::kind::attempt_running;
        return next.cancel || given_up || desk.now() >= stop_by();
    };
    switch (relay_body(
        asked, from_.socket, to, asked.content_length() ? framing::counted : framing::chunked,
        {.source_timeout = body_wait,
         .source_rate = body_rate,
         .sink_timeout = sink_pause,
         .deadline = stop_by(),
         .watch_sink = true},
        [&] { return desk.now(); }, called)) {
    case relay_result::complete:
        with_.metrics.attempt_sent();
        body_came_ = true;
        take_count();
        statement_end_ = std::min(desk.now() + patience_, stop_by());
        guard_.move_deadline(desk.now() + patience_);
        desk.request_body_sent(ticket_, statement_end_);
        return {outcome::timed_out, "timed_out"};
    case relay_result::sink_responded: // it is turned away before its end, as a rule
        return {outcome::timed_out, "timed_out"};
    case relay_result::sink_broken:
        return {outcome::connect_error, "write_failed"};
    case relay_result::cancelled:
        return {outcome::canceled, "called_off", given_up};
    case relay_result::source_truncated:
    case relay_result::source_slow:
    case relay_result::source_malformed: // the client's fault
        break;
    }
    return {outcome::discarded_unread, "client_cut"};
}

// Whether an answer goes on to the client as it comes, instead of being held whole.
bool life::is_long(const http_reader &answer, http_reader::state state, double head_at) const {
    if ((state != http_reader::state::incomplete && state != http_reader::state::window_full) ||
        !answer.has_head() || answer.head().status != 200 || !from_.socket)
        return false;
    if (answer.content_length())
        return state == http_reader::state::window_full || *answer.content_length() > max_body_size;
    return state == http_reader::state::window_full || answer.body().size() >= early_size ||
           (!answer.body().empty() && with_.routing.now() > head_at + early_time);
}

execution_end life::pass_on(const tcp_socket &from, http_reader &answer) {
    auto &desk = with_.routing;
    desk.response_started(ticket_, is_cache_miss(answer.head()));
    const bool old_client = client_minor_ == 0;
    const auto how = answer.content_length() ? framing::counted
                     : old_client            ? framing::by_close
                                             : framing::chunked;
    keeps_ = may_keep() && how != framing::by_close;
    if (!guard_.may_respond())
        return {outcome::discarded_unread, "invariant", false, true};
    status_ = 200;
    const std::string head =
        response_head(200, forwarded_headers(answer.head()),
                      how == framing::counted   ? content_length_header(*answer.content_length())
                      : how == framing::chunked ? std::string(chunked_header)
                                                : std::string(),
                      keeps_);
    const auto end =
        write_all(from_.socket, head, {}, sink_pause)
            ? relay_body(
                  answer, from, from_.socket, how,
                  {.source_timeout = source_pause, .sink_timeout = sink_pause, .deadline = stop_by()},
                  [&] { return desk.now(); }, [&] { return desk.now() >= stop_by(); })
            : relay_result::sink_broken;
    if (end == relay_result::complete) {
        id_ = {};
        return {outcome::completed, nullptr, false, true};
    }
    keeps_ = false;
    // Guards a client that could take what came for all of it.
    if (how == framing::by_close && (end != relay_result::sink_broken || desk.now() >= stop_by())) {
        const struct ::linger at_once { 1, 0 };
        setsockopt(from_.socket.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    if (end == relay_result::sink_broken) { // the client's end; the server did what it should
        with_.counts.add(counter::truncated_responses);
        from_.socket.close();
        return {outcome::completed, "client_left", false, true};
    }
    if (end == relay_result::cancelled) // the server did what it should; the stop leaves no time for the rest
        return {outcome::completed, "draining", false, true, true};
    return {outcome::reset, end == relay_result::source_slow ? "stalled" : "reset", false, true};
}

const char *life::answer(int status, string_view fields, string_view body) {
    return answer_framed(status, fields, content_length_header(body.size()), body);
}

const char *life::answer_framed(int status, string_view fields, string_view framing, string_view body) {
    keeps_ = may_keep();
    if (!guard_.may_respond())
        return "answer_cut";
    status_ = status;
    id_ = {}; // guards a client that uses it again as soon as it has the answer
    const std::string head = response_head(status, fields, framing, keeps_);
    if (!write_all(from_.socket, head, head_only_ ? string_view{} : body, write_limit)) {
        with_.counts.add(counter::truncated_responses);
        return "answer_cut";
    }
    return keeps_ ? nullptr : answered_last();
}

const char *life::answered_last() {
    // Guards room for others: where the connection ends for want of it, only what is there is read away.
    from_.lingering = {from_.closes_after_response || from_.over_capacity ? 0 : last_linger.limit,
                       last_linger.max_bytes};
    return "answered_last";
}

} // namespace

const char *serve_request(proxy_context &with, client_connection &from) {
    const char *why = nullptr;
    {
        life request(with, from);
        try {
            why = request.run();
        } catch (const std::bad_alloc &) {
            why = request.fail("no_memory");
        } catch (const std::exception &failed) {
            with.logger.error("query-failed error=", failed.what());
            why = request.fail("failed");
        }
        request.log_end(why);
    } // its buffer is free while the connection lingers
    // Guards the last answers of a stop: the process has to be gone, by itself, before it may be killed.
    const double until_stop = std::max(0.0, with.respond_by + stop_linger - with.routing.now());
    if (why != nullptr && from.lingering.max_bytes > 0)
        close_gracefully(from.socket, std::min(from.lingering.limit, until_stop), from.lingering.max_bytes);
    return why;
}

} // namespace harrierpass::proxy
