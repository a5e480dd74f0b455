// SPDX-License-Identifier: Apache-2.0
#include "testbed/processes/list_port.hpp"

#include "testbed/model/ids.hpp"
#include "testbed/processes/answers.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>

namespace harrierpass::testbed {

list_port::list_port(loop &in, const experiment &given, member_list &list, list_service &service,
                     observer &checker, index proxy, const address &at, const server_address_lookup &where)
    : loop_(in), experiment_(given), list_(list), service_(service), observer_(checker), proxy_(proxy),
      server_address_(where), listening_(must_listen(at)), at_(local_address(listening_)),
      random_(proxy + 17) {
    loop_.watch(listening_.get(), EPOLLIN, [this](std::uint32_t) { accept(); });
}

list_port::~list_port() {
    loop_.forget(listening_.get());
}

void list_port::accept() {
    address peer;
    for (tcp_socket one; (one = accept_on(listening_, peer));) {
        const auto made =
            std::make_shared<channel>(loop_, std::move(one), http_reader::message_kind::request);
        made->tag = next_++;
        made->on_message = [this](const auto &on, const http_reader &request) { on_request(on, request); };
        made->on_end = [this](const auto &on, channel::ending) {
            if (const auto poll = polls_.find(on->tag); poll != polls_.end()) {
                service_.cancel(poll->second);
                polls_.erase(poll);
            }
            open_.erase(on->tag);
        };
        open_[made->tag] = made;
        made->start(false);
    }
}

void list_port::on_request(const std::shared_ptr<channel> &on, const http_reader &request) {
    const auto target = request.head().target;
    if (!target.starts_with("/catalog/members"))
        return on->send(text_answer(404, {}, {}));
    if (!list_.responding() || random_.happens(experiment_.list.lose))
        return; // silent, or lost on its way
    const long since = number_in(target, "since=");
    const double wait = static_cast<double>(number_in(target, "timeout_ms=")) / 1000;
    const auto revision = since < 0 ? std::nullopt : std::optional(static_cast<std::uint64_t>(since));
    const auto done = [this, here = std::weak_ptr(lifetime_),
                       weak = std::weak_ptr(on)](const list_response &with) {
        const auto to = weak.lock();
        if (!here.expired() && to && to->open())
            send_list(to, with);
    };
    polls_[on->tag] = service_.poll(revision, wait, done);
}

std::string list_port::entry(const experiment &of, const member_list::member &each, bool is_origin,
                             const std::string &host) {
    static constexpr std::array<const char *, 3> phases = {"active", "leaving", "left"};
    nlohmann::json made = {{"id", is_origin ? "origin" : server_id(each.server)},
                           {"host_port", host},
                           {"locality", of.fleet.zones[zone_of(of, each.server)]},
                           {"flavor", is_origin ? "origin" : "cache"},
                           {"cell", each.server},
                           {"phase", phases[static_cast<std::size_t>(each.state)]},
                           {"size", 1.0},
                           {"up_since_ms", static_cast<std::uint64_t>(each.started * 1000)}};
    return made.dump();
}

void list_port::send_list(const std::shared_ptr<channel> &to, const list_response &with) {
    if (with.refused) {
        if (on_poll)
            on_poll(list_poll::rejected, 0);
        return to->send(text_answer(503, "Retry-After: " + std::to_string(with.retry_after) + "\r\n", {}));
    }
    std::string text = "{\"revision\":" + std::to_string(with.revision) +
                       ",\"complete\":" + (with.is_snapshot ? "true" : "false") + ",\"members\":[";
    for (const auto &each : with.members)
        text +=
            (text.back() == '[' ? "" : ",") + entry(experiment_, each, each.server + 1 == list_.all().size(),
                                                    server_address_(proxy_, each.server));
    text = text_answer(200, {}, text + "]}");
    if (on_poll)
        on_poll(with.is_snapshot ? list_poll::snapshot : list_poll::watch, text.size());
    // Told is what is written: taken down first, so that nothing is forgotten if this process ends now.
    if (with.is_snapshot)
        for (const auto &each : list_.all())
            observer_.endpoint_state_notified(proxy_, each.server, each.state);
    else
        for (const auto &each : with.members)
            observer_.endpoint_state_notified(proxy_, each.server, each.state);
    to->send(text);
}

} // namespace harrierpass::testbed
