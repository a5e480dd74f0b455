// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/control_server.hpp"

#include "proxy/request/protocol.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>

namespace harrierpass::proxy {
namespace {

using std::string_view;

constexpr std::size_t max_request_size = 4096; // bytes
constexpr double request_timeout = 4.5;        // s for a request to come whole
constexpr double linger_timeout = 0.5;         // s for the client to read its response and close
constexpr double write_timeout = 0.1;          // s; a page fits into the socket's buffer
constexpr double accept_retry_pause = 0.005;   // s until a connection is accepted again that could not be
constexpr double check_interval = 0.25;        // s between looks for timeouts

// The one value of `target` in a query string; empty, with the fault named, where it is not there once.
std::string target_of(string_view query, const char *&fault) {
    std::string id;
    std::size_t found = 0;
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const string_view part = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (!part.starts_with("target="))
            continue;
        ++found;
        for (string_view rest = part.substr(7); !rest.empty(); rest.remove_prefix(1)) {
            if (rest[0] != '%') {
                id += rest[0];
                continue;
            }
            unsigned value = 0;
            const auto digits = rest.substr(1, 2);
            const auto [at, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
            if (digits.size() != 2 || error != std::errc{} || at != digits.data() + 2) {
                fault = "target has a % without two hexadecimal digits\n";
                return {};
            }
            id += static_cast<char>(value);
            rest.remove_prefix(2);
        }
    }
    fault = found == 0   ? "target=ID is missing\n"
            : found > 1  ? "target stands twice\n"
            : id.empty() ? "target is empty\n"
                         : nullptr;
    return id;
}

} // namespace

control_server::control_server(tcp_socket listening, control_handlers handlers)
    : socket_(std::move(listening)), handlers_(std::move(handlers)) {
    thread_.emplace([this] { run(); });
}

control_server::~control_server() {
    over_ = true;
    wake_thread(thread_->id());
    thread_.reset();
}

void control_server::run() {
    std::vector<pollfd> polled;
    while (!over_) {
        polled.assign(1, {socket_.get(), POLLIN, 0});
        for (const auto &each : clients_)
            polled.push_back({each.socket.get(), POLLIN, 0});
        wait_on(polled, check_interval);
        const double now = steady_now();
        auto in = polled.begin() + 1;
        for (auto each = clients_.begin(); each != clients_.end(); ++in) {
            bool stays = now - each->since < (each->answered ? linger_timeout : request_timeout);
            try {
                stays = stays && (in->revents == 0 || read_request(*each));
            } catch (const std::bad_alloc &) { // it has no response, but the others have
                stays = false;
            }
            each = stays ? std::next(each) : clients_.erase(each);
        }
        if (polled.front().revents != 0)
            accept_all();
    }
}

// Each new client is read at once, as a whole request is mostly there already. When all places are taken the
// oldest client gives way, so that silent ones delay nobody.
void control_server::accept_all() {
    for (std::size_t taken = 0; taken < max_connections; ++taken) {
        address peer;
        tcp_socket from = accept_on(socket_, peer);
        if (!from && is_local_shortage(errno) && !clients_.empty()) {
            clients_.pop_front();
            from = accept_on(socket_, peer);
        }
        if (!from) {
            if (errno != EAGAIN &&
                errno != EWOULDBLOCK) // it still waits to be accepted, so accepting at once would spin
                wait_on({}, accept_retry_pause);
            return;
        }
        try {
            if (clients_.size() >= max_connections)
                clients_.pop_front();
            auto &accepted = clients_.emplace_back();
            accepted.socket = std::move(from);
            accepted.since = steady_now();
            accepted.buffer.resize(max_request_size);
            accepted.reader.emplace(accepted.buffer, http_reader::message_kind::request);
            if (!read_request(accepted))
                clients_.pop_back();
        } catch (const std::bad_alloc &) {
            return;
        }
    }
}

bool control_server::read_request(client &from) {
    if (from.answered) {
        char discarded[512];
        const io_status status = read_some(from.socket, discarded, sizeof discarded).status;
        return status == io_status::progressed || status == io_status::would_block;
    }
    const std::span<char> space = from.reader->free_space();
    const io_result received = read_some(from.socket, space.data(), space.size());
    if (received.status == io_status::would_block)
        return true;
    if (received.status != io_status::progressed)
        return false;
    auto state = from.reader->received(received.size);
    if (state == http_reader::state::incomplete && from.reader->free_space().empty())
        state = http_reader::state::too_large;
    switch (state) {
    case http_reader::state::incomplete:
        return true;
    case http_reader::state::complete:
        answer(from, handle(from.reader->head()));
        return true;
    case http_reader::state::too_large:
        answer(from, {413, "the call is longer than 4096 bytes\n"});
        return true;
    default:
        answer(from, {400, "this is no HTTP/1.1 call\n"});
        return true;
    }
}

control_server::response control_server::handle(const http_head &request) const {
    const auto mark = request.target.find('?');
    const string_view path = request.target.substr(0, mark);
    const string_view query = mark == string_view::npos ? string_view{} : request.target.substr(mark + 1);
    static constexpr std::array<string_view, 2> queries = {"/ready", "/metrics"};
    static constexpr std::array<string_view, 4> commands = {"/cache-nodes/disable", "/cache-nodes/enable",
                                                            "/drain", "/undrain"};
    const bool is_query = std::ranges::find(queries, path) != queries.end();
    if (!is_query && std::ranges::find(commands, path) == commands.end())
        return {404, "no such call; there are /ready, /metrics, /cache-nodes/disable, /cache-nodes/enable, "
                     "/drain, /undrain\n"};
    if (request.method != (is_query ? "GET" : "POST"))
        return {405, is_query ? "this call is a GET\n" : "this call is a POST\n",
                is_query ? "Allow: GET\r\n" : "Allow: POST\r\n"};
    if (path == "/ready")
        return handlers_.ready() ? response{200, "ready\n"} : response{503, "not ready\n"};
    if (path == "/metrics")
        return {200, handlers_.metrics(), "Content-Type: text/plain; version=0.0.4\r\n"};
    if (path == "/drain" || path == "/undrain") {
        handlers_.set_draining(path == "/drain");
        return {200, "done\n"};
    }
    const char *fault = nullptr;
    const std::string id = target_of(query, fault);
    if (fault != nullptr)
        return {400, fault};
    const bool known =
        path == "/cache-nodes/disable" ? handlers_.disable_endpoint(id) : handlers_.enable_endpoint(id);
    return known ? response{200, "done\n"} : response{404, "no cache node has that id\n"};
}

void control_server::answer(client &to, const response &content) {
    const std::string head =
        response_head(content.status, content.fields, content_length_header(content.body.size()), false);
    write_all(to.socket, head, content.body, write_timeout);
    ::shutdown(to.socket.get(), SHUT_WR);
    to.answered = true;
    to.since = steady_now();
}

} // namespace harrierpass::proxy
