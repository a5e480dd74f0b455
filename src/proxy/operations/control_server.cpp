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
constexpr double request_timeout = 4.5;        // s from accept to the complete request
constexpr double linger_timeout = 0.5;         // s for the client to read the response and close
constexpr double write_timeout = 0.1;          // s; a metrics page fits into the socket buffer
constexpr double accept_retry_pause = 0.005;   // s after a failed accept()
constexpr double check_interval = 0.25;        // s between checks for timeouts

// Returns the value of `target` in a query string. If there is not exactly one valid value, returns an empty
// text and sets `fault` to the reason.
std::string parse_target(string_view query, const char *&fault) {
    std::string id;
    std::size_t target_count = 0;
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const string_view part = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (!part.starts_with("target="))
            continue;
        ++target_count;
        constexpr std::size_t value_start = std::string_view("target=").size();
        for (string_view rest = part.substr(value_start); !rest.empty(); rest.remove_prefix(1)) {
            if (rest[0] != '%') {
                id += rest[0];
                continue;
            }
            unsigned value = 0;
            const auto digits = rest.substr(1, 2);
            const auto [end_of_digits, error] =
                std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
            if (digits.size() != 2 || error != std::errc{} || end_of_digits != digits.data() + 2) {
                fault = "target has a % without two hexadecimal digits\n";
                return {};
            }
            id += static_cast<char>(value);
            rest.remove_prefix(2);
        }
    }
    fault = target_count == 0  ? "target=ID is missing\n"
            : target_count > 1 ? "target stands twice\n"
            : id.empty()       ? "target is empty\n"
                               : nullptr;
    return id;
}

} // namespace

control_server::control_server(tcp_socket listener, control_handlers handlers)
    : listener_(std::move(listener)), handlers_(std::move(handlers)) {
    thread_.emplace([this] { run(); });
}

control_server::~control_server() {
    stopping_ = true;
    wake_thread(thread_->id());
    thread_.reset();
}

void control_server::run() {
    std::vector<pollfd> polled;
    while (!stopping_) {
        polled.assign(1, {listener_.get(), POLLIN, 0});
        for (const auto &connection : clients_)
            polled.push_back({connection.socket.get(), POLLIN, 0});
        wait_on(polled, check_interval);
        const double now = steady_now();
        auto polled_client = polled.begin() + 1;
        for (auto connection = clients_.begin(); connection != clients_.end(); ++polled_client) {
            const double timeout = connection->response_sent ? linger_timeout : request_timeout;
            bool keep = now - connection->timeout_start < timeout;
            try {
                keep = keep && (polled_client->revents == 0 || read_request(*connection));
            } catch (const std::bad_alloc &) { // drops this client alone
                keep = false;
            }
            connection = keep ? std::next(connection) : clients_.erase(connection);
        }
        if (polled.front().revents != 0)
            accept_clients();
    }
}

// Reads each new client immediately, as its request has usually arrived in full. At the limit the oldest
// client is closed, so that silent clients do not block others.
void control_server::accept_clients() {
    for (std::size_t count = 0; count < max_connections; ++count) {
        address peer;
        tcp_socket socket = accept_on(listener_, peer);
        if (!socket && is_local_shortage(errno) && !clients_.empty()) {
            clients_.pop_front();
            socket = accept_on(listener_, peer);
        }
        if (!socket) {
            // The connection still waits in the backlog: polling without a pause would spin.
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                wait_on({}, accept_retry_pause);
            return;
        }
        try {
            if (clients_.size() >= max_connections)
                clients_.pop_front();
            auto &accepted = clients_.emplace_back();
            accepted.socket = std::move(socket);
            accepted.timeout_start = steady_now();
            accepted.buffer.resize(max_request_size);
            accepted.reader.emplace(accepted.buffer, http_reader::message_kind::request);
            if (!read_request(accepted))
                clients_.pop_back();
        } catch (const std::bad_alloc &) {
            return;
        }
    }
}

bool control_server::read_request(client &connection) {
    if (connection.response_sent) {
        char discarded[512];
        const io_status status = read_some(connection.socket, discarded, sizeof discarded).status;
        return status == io_status::progressed || status == io_status::would_block;
    }
    const std::span<char> space = connection.reader->free_space();
    const io_result received = read_some(connection.socket, space.data(), space.size());
    if (received.status == io_status::would_block)
        return true;
    if (received.status != io_status::progressed)
        return false;
    auto state = connection.reader->received(received.size);
    if (state == http_reader::state::incomplete && connection.reader->free_space().empty())
        state = http_reader::state::too_large;
    switch (state) {
    case http_reader::state::incomplete:
        return true;
    case http_reader::state::complete:
        send_response(connection, handle(connection.reader->head()));
        return true;
    case http_reader::state::too_large:
        send_response(connection, {413, "the call is longer than 4096 bytes\n"});
        return true;
    default:
        send_response(connection, {400, "this is no HTTP/1.1 call\n"});
        return true;
    }
}

control_server::response control_server::handle(const http_head &request) const {
    const auto question_mark = request.target.find('?');
    const string_view path = request.target.substr(0, question_mark);
    const string_view query =
        question_mark == string_view::npos ? string_view{} : request.target.substr(question_mark + 1);
    static constexpr std::array<string_view, 2> get_paths = {"/ready", "/metrics"};
    static constexpr std::array<string_view, 4> post_paths = {"/cache-nodes/disable", "/cache-nodes/enable",
                                                              "/drain", "/undrain"};
    const bool is_get = std::ranges::find(get_paths, path) != get_paths.end();
    if (!is_get && std::ranges::find(post_paths, path) == post_paths.end())
        return {404, "no such call; there are /ready, /metrics, /cache-nodes/disable, /cache-nodes/enable, "
                     "/drain, /undrain\n"};
    if (request.method != (is_get ? "GET" : "POST"))
        return {405, is_get ? "this call is a GET\n" : "this call is a POST\n",
                is_get ? "Allow: GET\r\n" : "Allow: POST\r\n"};
    if (path == "/ready")
        return handlers_.ready() ? response{200, "ready\n"} : response{503, "not ready\n"};
    if (path == "/metrics")
        return {200, handlers_.metrics(), "Content-Type: text/plain; version=0.0.4\r\n"};
    if (path == "/drain" || path == "/undrain") {
        handlers_.set_draining(path == "/drain");
        return {200, "done\n"};
    }
    const char *fault = nullptr;
    const std::string id = parse_target(query, fault);
    if (fault != nullptr)
        return {400, fault};
    const bool known =
        path == "/cache-nodes/disable" ? handlers_.disable_endpoint(id) : handlers_.enable_endpoint(id);
    return known ? response{200, "done\n"} : response{404, "no cache node has that id\n"};
}

void control_server::send_response(client &connection, const response &content) {
    const std::string head =
        response_head(content.status, content.fields, content_length_header(content.body.size()), false);
    write_all(connection.socket, head, content.body, write_timeout);
    ::shutdown(connection.socket.get(), SHUT_WR);
    connection.response_sent = true;
    connection.timeout_start = steady_now();
}

} // namespace harrierpass::proxy
