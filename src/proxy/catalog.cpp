// SPDX-License-Identifier: Apache-2.0
#include "proxy/catalog.hpp"

#include "net/exchange.hpp"
#include "proxy/snapshot_file.hpp"
#include "setup/setup.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iomanip>
#include <sstream>
#include <unordered_set>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t list_limit = 1024UL * 1024; // bytes; some 8,000 entries
constexpr double long_warm = 3600;                // s; no server is cold for longer
constexpr double nap = 0.02;                      // s between looks whether the router asks again ...
constexpr double least_saving = 1;                // s between two writings of the snapshot
constexpr double long_nap = 0.1;                  // ... or, where it has no say, whether a call is due

// Seconds, whole or decimal; 0 for what is none, as a date.
double retry_after(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value > 0 ? value : 0;
}

} // namespace

server_list read_list(const json &from, const configuration &names) {
    server_list made;
    const json *members = from.find("members");
    if (members == nullptr || members->is != json::kind::list)
        throw bad_text{"the list has no members"};
    made.revision = parse_number<std::uint64_t>(from.text_at("revision"), "the list's revision is no number");
    made.whole = from.text_at("complete") == "true";
    for (const json &each : members->items) {
        server_list::item one;
        one.id = each.text_at("id");
        one.host_port = each.text_at("host_port");
        const auto phase = each.text_at("phase");
        if (one.id.empty() || (phase != "active" && phase != "leaving" && phase != "left"))
            continue;
        one.as.state = phase == "active"    ? listing::ready
                       : phase == "leaving" ? listing::draining
                                            : listing::gone;
        one.as.started = each.number_at("up_since_ms", 0) / 1000;
        one.as.zone = place_of(names.zones, each.text_at("locality"));
        one.as.kind = place_of(names.kinds, each.text_at("flavor"));
        const double cell = each.number_at("cell", -1);
        one.as.cell = cell < 0 || cell > 1e9 ? none : static_cast<index>(cell);
        one.as.weight = each.number_at("size", 1);
        made.items.push_back(std::move(one));
    }
    return made;
}

catalog::catalog(desk &decides, upstream &servers, counters &count, log &lines)
    : desk_(decides), upstream_(servers), counters_(count), log_(lines), given_(decides.given()),
      where_(parse_address(given_->discovery)), buffer_(list_limit) {
    if (!where_)
        throw bad_text{"discovery has no usable address"};
}

void catalog::use_known() {
    std::optional<server_list> list;
    const auto take = [&](const json &from, const char *what) {
        try {
            server_list read = read_list(from, *given_);
            if (!list || read.revision > list->revision)
                list = std::move(read);
        } catch (const bad_text &bad) { // discovery's own list is on its way
            log_.warning("list-unusable ", what, "=1 reason=", bad.why);
        }
    };
    if (given_->known.is == json::kind::object)
        take(given_->known, "known");
    if (!given_->snapshot.empty()) {
        const auto found = read_snapshot_of(*given_, desk_.now());
        if (found.fault == nullptr)
            take(found.list, "snapshot");
        log_.info("snapshot used=", found.fault == nullptr,
                  found.fault == nullptr ? " age=" + std::to_string(found.age)
                                         : std::string(" reason=") + found.fault);
    }
    if (!list)
        return;
    tell(*list, list_kind::cached);
    if (!list->items.empty())
        known_revision_ = list->revision;
}

// The list as it stands, in discovery's form.
std::string catalog::list_text() {
    const std::lock_guard hold(members_);
    const auto quoted = [](std::string_view text) {
        std::ostringstream made;
        made << '"';
        for (const char each : text)
            if (each == '"' || each == '\\')
                made << '\\' << each;
            else if (static_cast<unsigned char>(each) < 0x20)
                made << "\\u00" << std::hex << std::setw(2) << std::setfill('0') << int{each} << std::dec;
            else
                made << each;
        made << '"';
        return made.str();
    };
    const auto name = [](const std::vector<std::string> &names, index at) {
        return at < names.size() ? std::string_view(names[at]) : std::string_view();
    };
    std::ostringstream made;
    made << std::setprecision(17) << "{\"revision\":" << calls_->revision()
         << ",\"complete\":true,\"members\":[";
    const char *border = "";
    for (const auto &[id, entry] : listed_) {
        made << std::exchange(border, ",") << "{\"id\":" << quoted(id)
             << ",\"host_port\":" << quoted(places_of_[id])
             << ",\"locality\":" << quoted(name(given_->zones, entry.zone))
             << ",\"flavor\":" << quoted(name(given_->kinds, entry.kind))
             << ",\"cell\":" << (entry.cell == none ? -1.0 : static_cast<double>(entry.cell))
             << ",\"phase\":" << (entry.state == listing::ready ? "\"active\"" : "\"leaving\"")
             << ",\"size\":" << entry.weight << ",\"up_since_ms\":" << entry.started * 1000 << '}';
    }
    made << "]}";
    return made.str();
}

// Keeps the list for the next start. Guards the disk against a list that changes all the time.
void catalog::save(bool at_end) {
    if (given_->snapshot.empty() || !unsaved_ || (!at_end && desk_.now() < saved_at_ + least_saving))
        return;
    saved_at_ = desk_.now();
    const std::string text = startup::to_text({given_->name, given_->discovery, saved_at_, list_text()});
    unsaved_ = !write_snapshot(given_->snapshot, text);
    counters_.add(unsaved_ ? count::snapshots_failed : count::snapshots_written);
    if (unsaved_)
        log_.warning("snapshot-failed file=", given_->snapshot, " error=", std::strerror(errno));
}

void catalog::tell(const server_list &list, list_kind kind, std::shared_ptr<const configuration> next) {
    const std::lock_guard hold(members_);
    std::vector<list_entry> entries;
    if (is_whole(kind)) {
        listed_.clear();
        places_of_.clear();
    }
    for (const auto &each : list.items) {
        const bool known = index_of_.contains(each.id);
        if (each.as.state == listing::gone && !known)
            continue; // nothing was ever heard of it
        const index at = index_for(each.id);
        if (each.as.state != listing::gone) {
            upstream_.place(at, each.id, each.host_port, each.as.started, desk_.now());
            if (!known) // its place may have been another's; the others' gates follow the operators' calls
                upstream_.set_out(at, hands_.out.contains(each.id));
        }
        auto entry = each.as;
        entry.server = at;
        if (entry.state == listing::gone) {
            listed_.erase(each.id);
            places_of_.erase(each.id);
        } else {
            listed_[each.id] = entry;
            places_of_[each.id] = each.host_port;
        }
        entries.push_back(as_used(each.id, entry));
        entries.back().id = each.id;
    }
    if (next)
        desk_.adopt(std::move(next), entries);
    else
        desk_.listed(kind, entries);
    bury(list, kind);
}

// What the router is told of a server: one that is out by hand drains, one that came back by hand started
// then.
list_entry catalog::as_used(const std::string &id, list_entry listed) const {
    if (hands_.out.contains(id) && listed.state == listing::ready)
        listed.state = listing::draining;
    if (const auto back = hands_.back.find(id); back != hands_.back.end())
        listed.started = std::max(listed.started, back->second);
    return listed;
}

void catalog::tell_again(const std::string &id) {
    const auto found = listed_.find(id);
    if (found == listed_.end())
        return;
    auto entry = as_used(id, found->second);
    entry.id = id;
    desk_.listed(list_kind::own, {&entry, 1}); // guards the calls for a list that was lost
}

bool catalog::take_out(const std::string &id, bool unknown_too) {
    const std::lock_guard hold(members_);
    const auto at = index_of_.find(id);
    if (at == index_of_.end() && !unknown_too)
        return hands_.out.contains(id);
    if (!hands_.out.insert(id).second || at == index_of_.end())
        return true;
    upstream_.set_out(at->second, true);
    tell_again(id);
    upstream_.end_kept(at->second, desk_.now(), "out");
    log_.info("taken-out server=", id);
    return true;
}

bool catalog::take_back(const std::string &id) {
    const std::lock_guard hold(members_);
    const auto at = index_of_.find(id);
    if (hands_.out.erase(id) == 0)
        return at != index_of_.end();
    const double now = desk_.now();
    std::erase_if(hands_.back, [&](const auto &each) { return now - each.second > long_warm; });
    hands_.back[id] = now;
    if (at != index_of_.end())
        upstream_.set_out(at->second, false);
    tell_again(id);
    log_.info("taken-back server=", id);
    return true;
}

catalog::by_hand catalog::hands() {
    const std::lock_guard hold(members_);
    return hands_;
}

void catalog::came_back(const std::string &id, double at) {
    const std::lock_guard hold(members_);
    hands_.back[id] = at;
}

std::pair<std::size_t, std::size_t> catalog::standing() {
    std::vector<index> in_use;
    std::size_t all = 0, out = 0;
    {
        const std::lock_guard hold(members_);
        const index origin = desk_.given()->decisions.origin_kind;
        for (const auto &[id, entry] : listed_) {
            if (origin != none && entry.kind == origin)
                continue;
            ++all;
            if (hands_.out.contains(id))
                ++out;
            else
                in_use.push_back(entry.server);
        }
    }
    return {all, out + desk_.avoided(in_use)};
}

// Its own, else one whose server is gone and to which nothing refers any more. Guards the memory, and all
// that walks the servers, where new ones come for as long as the proxy runs.
index catalog::index_for(const std::string &id) {
    if (const auto found = index_of_.find(id); found != index_of_.end()) {
        std::erase(gone_, id);
        return found->second;
    }
    index at = places_;
    const auto free = std::find_if(gone_.begin(), gone_.end(),
                                   [&](const auto &each) { return !desk_.refers(index_of_[each]); });
    if (free != gone_.end()) {
        at = index_of_[*free];
        index_of_.erase(*free);
        gone_.erase(free);
    } else {
        ++places_;
    }
    index_of_.emplace(id, at);
    return at;
}

// Those that the list told to be gone, by name or by leaving them out. Their indices are free from the next
// list on, when the router has taken them off its ring.
void catalog::bury(const server_list &list, list_kind kind) {
    std::unordered_set<std::string_view> here;
    for (const auto &each : list.items)
        if (each.as.state != listing::gone)
            here.insert(each.id);
    const std::unordered_set<std::string_view> before(gone_.begin(), gone_.end());
    std::vector<std::string> ended;
    for (const auto &each : list.items)
        if (each.as.state == listing::gone && index_of_.contains(each.id) && !before.contains(each.id))
            ended.push_back(each.id);
    if (is_whole(kind))
        for (const auto &[id, at] : index_of_)
            if (!here.contains(id) && !before.contains(id))
                ended.push_back(id);
    for (auto &id : ended) {
        upstream_.end_kept(index_of_[id], desk_.now(), "gone");
        gone_.push_back(std::move(id));
    }
}

// One call on the kept connection, which is made anew where it is not there.
catalog::answer catalog::fetch(const std::string &target, double limit, const std::function<bool()> &over) {
    answer made;
    if (socket_ && peek(socket_) != waiting::nothing)
        end_connection("stale");
    if (!socket_)
        socket_ =
            dial(*where_, std::min(limit, calls_->paced().answer_limit), std::exchange(spare_, tcp_socket()));
    if (!spare_)
        spare_ = socket_for(*where_);
    if (!socket_)
        return made;
    const std::string asks = "GET " + target + " HTTP/1.1\r\nHost: " + to_text(*where_) + "\r\n\r\n";
    http_reader reader(buffer_, http_reader::side::answer);
    const bool whole = exchange(socket_, asks, reader, limit, over);
    const auto &head = reader.head();
    if (whole && head.status == 200)
        made.list = read_json(reader.body());
    made.refused = whole && (head.status == 503 || head.status == 429);
    if (made.refused)
        made.come_back = retry_after(head.value("Retry-After"));
    if (!(made.list || made.refused) || !head.keeps_alive())
        end_connection(made.list ? "server_closes" : moved_ ? "moved" : "list_lost");
    return made;
}

// An answer beside what stands.
startup::list_facts catalog::facts_of(const server_list &list) {
    const std::lock_guard hold(members_);
    startup::list_facts made{list.whole, list.revision, calls_->revision(), listed_.size(), 0, 0};
    for (const auto &each : list.items) {
        made.named += each.as.state != listing::gone;
        made.common += listed_.contains(each.id);
    }
    return made;
}

// Whether it was believed; what is not stands aside, but for the drains that it names.
bool catalog::told(const server_list &list, std::shared_ptr<const configuration> &next) {
    const auto before = calls_->at();
    if (!calls_->came(desk_.now(), facts_of(list))) {
        counters_.add(count::lists_doubted);
        log_.warning("list-doubted as=", startup::name_of(calls_->doubted()), " revision=", list.revision,
                     " known=", calls_->revision(), " servers=", list.items.size());
        if (calls_->doubted() == startup::doubt::shrunk) {
            server_list drains = list;
            std::erase_if(drains.items, [](const auto &each) { return each.as.state != listing::draining; });
            tell(drains, list_kind::own);
        }
        return say_state(before), false;
    }
    counters_.add(count::lists);
    // An empty answer to a watch tells the router nothing.
    if (list.whole || !list.items.empty()) {
        tell(list, list.whole ? list_kind::whole : list_kind::changes, next);
        unsaved_ = true;
    }
    if (next && on_adopted)
        on_adopted(*next);
    if (std::exchange(next, nullptr)) {
        const std::lock_guard hold(lock_);
        waiting_ = nullptr;
    }
    say_state(before);
    return true;
}

void catalog::say_state(startup::state before) {
    if (calls_->at() != before && given_->list_terms.service == startup::list_form::shared)
        log_.info("list-state from=", startup::name_of(before), " to=", startup::name_of(calls_->at()),
                  " revision=", calls_->revision());
}

void catalog::end_connection(const char *reason) {
    if (!socket_)
        return;
    socket_.close();
    log_.info("connection-end side=discovery reason=", reason);
}

void catalog::move_to(std::shared_ptr<const configuration> next) {
    if (!parse_address(next->discovery))
        throw bad_text{"discovery has no usable address"};
    {
        const std::lock_guard hold(lock_);
        next_ = std::move(next);
    }
    moved_.store(true);
}

std::shared_ptr<const configuration> catalog::next() {
    const std::lock_guard hold(lock_);
    return next_ ? next_ : waiting_;
}

void catalog::run(const std::function<bool()> &over) {
    std::shared_ptr<const configuration> next; // waits for its list
    const auto cut = [&] { return over() || moved_.load(); };
    const auto shared = [&] { return given_->list_terms.service == startup::list_form::shared; };
    calls_.emplace(given_->list_terms, given_->seed, desk_.now(), known_revision_);
    if (shared()) {
        ready_.store(calls_->at() != startup::state::empty);
        log_.info("list-state to=", startup::name_of(calls_->at()), " revision=", calls_->revision(),
                  " first-call-in=", calls_->due() - desk_.now());
    }
    while (!over()) {
        // Guards against a watch at the old address, which tells nothing any more and ends in silence.
        if (moved_.exchange(false)) {
            end_connection("moved");
            {
                const std::lock_guard hold(lock_);
                next = given_ = waiting_ = std::exchange(next_, nullptr);
            }
            where_ = parse_address(given_->discovery);
            spare_.close(); // it may be of another family of addresses
            calls_->moved(desk_.now(), given_->list_terms);
        }
        if (asked_.exchange(false))
            calls_->asked(desk_.now());
        save(false);
        if (const double wait = calls_->due() - desk_.now(); wait > 0) {
            wait_on({}, std::min(wait, shared() ? long_nap : nap));
            continue;
        }
        const startup::call now = calls_->begin(desk_.now());
        counters_.add(now.since ? count::list_calls_watch : count::list_calls_whole);
        const std::string target =
            now.since ? "/catalog/members?since=" + std::to_string(*now.since) +
                            "&timeout_ms=" + std::to_string(static_cast<int>(now.wait * 1000))
                      : "/catalog/members";
        bool answered = false; // in a way that says when to call again
        try {
            const answer came = fetch(target, now.limit, cut);
            if (came.list) {
                const server_list list = read_list(*came.list, *given_);
                // Guards the switch: what is not whole leaves servers known by the old names.
                if (next && !list.whole)
                    throw bad_text{"the first list after a reload is not whole"};
                answered = true;
                if (told(list, next))
                    ready_.store(true);
            } else if (came.refused && shared()) {
                answered = true;
                calls_->refused(desk_.now(), came.come_back);
                counters_.add(count::lists_refused);
                log_.warning("list-refused come-back=", came.come_back,
                             " next-call-in=", calls_->due() - desk_.now());
            }
        } catch (const bad_text &bad) {
            log_.warning("list-unusable reason=", bad.why);
            end_connection("list_unusable");
            answered = false;
        } catch (const std::bad_alloc &) { // lost as well; the router asks again
            end_connection("no_memory");
            calls_->moved(desk_.now(), given_->list_terms); // what was told of it is not known
            answered = false;
        }
        if (!answered && !cut()) {
            counters_.add(count::lists_lost);
            log_.warning("list-lost watching=", now.since.has_value());
            asked_.store(false);
            calls_->lost(desk_.now());
            desk_.listed(list_kind::lost, {});
        }
        if (!shared())
            ready_.store(true);
    }
    save(true);
}

} // namespace harrierpass::proxy
