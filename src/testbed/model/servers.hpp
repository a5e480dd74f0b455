// SPDX-License-Identifier: Apache-2.0
// Cache servers and their origin as a model without I/O: what comes in, what time it takes, what goes out.
// The same objects serve a run in virtual time and one on sockets.
#pragma once

#include "testbed/model/cores.hpp"
#include "testbed/model/experiment.hpp"
#include "testbed/model/observer.hpp"
#include "testbed/model/origin.hpp"
#include "testbed/model/random.hpp"
#include "testbed/model/timeline.hpp"

#include <deque>
#include <functional>
#include <list>
#include <unordered_map>

namespace harrierpass::testbed {

// One execution as it comes to a server.
struct job {
    operation op = 0;
    index attempt = 0, use_case = 0;
    bool write = false, keyed = false;
    std::uint64_t key = 0;
    index missed_at = none; // at the origin in aside mode: the server that lacked the key
};

// What a response says of the cache.
enum class note : std::uint8_t { none, hit, miss, pending };

// How an execution ends at a server; one that a fault swallows never ends.
struct result {
    enum class kind : std::uint8_t { completed, error, queue_full, missed, malformed };
    kind is = kind::completed;
    note says = note::none;
};
using answer_to = std::function<void(const result &)>;

class fleet;

// One cache server: its cores, its cache, its faults.
class cache_server {
public:
    cache_server(fleet &of, index number, std::uint32_t seed);

    // The last byte of an execution has come. `done` is called once, or never.
    void receive(const job &what, const answer_to &done);

    // Faults; each may begin while others hold.
    void crash(bool begins); // its end starts a new process: cold, and with nothing in its store
    void hang(bool begins);
    void vanish(bool begins);
    void one_way(bool begins);
    void slow(double factor, bool begins);
    void errors(double share, index use_case, bool begins);
    void malformed(double share, bool begins);
    void refuse(bool begins) { draining_ = begins; }

    void on_connection_opened(); // a new connection takes a core for its price

    void fall(); // pushed over, seen by the process that it is in
    void start_cold(double started);
    void fill(std::uint64_t key); // as after a read
    void fill_most_popular();     // what a warm store holds at the start, the most popular used last
    void drop(std::uint64_t key);

    bool up() const { return crashed_ == 0 && !fallen_; }
    bool silent() const { return vanished_ > 0; }
    bool stands() const { return hung_ > 0; }
    bool drops_responses() const { return one_way_ > 0; } // its answers are lost
    bool answers_probes() const { return up() && !silent() && !stands() && !drops_responses(); }
    // Since when it is in trouble that a proxy should find out by itself, s; 0: it is not.
    double troubled_since() const { return faulty_since_; }
    void set_trouble(bool begins);
    double started() const { return started_; }
    double warm_up_progress() const;
    std::size_t in_hand() const { return cores_.busy() + cores_.waiting(); }
    std::size_t kept() const { return place_.size(); }
    std::uint64_t incarnation() const { return incarnation_; } // processes before this one

    std::function<void()> on_change; // up(), silent(), stands() or life() did

private:
    void begin(const job &what, const answer_to &done);
    void work_done(const job &what, const answer_to &done);
    void reply_with(const answer_to &done, result with);
    bool has_cached(const job &what);
    void changed();

    fleet &of_;
    const index number_;
    random_generator random_;
    cores cores_;
    index crashed_ = 0, hung_ = 0, vanished_ = 0, one_way_ = 0;
    bool fallen_ = false, draining_ = false;
    double factor_ = 1, speed_ = 1;
    struct response_fault {
        double share;
        index use_case;
        bool malforms;
    };
    std::vector<response_fault> response_faults_;
    double started_ = 0; // 0: long ago
    double faulty_since_ = 0;
    index open_faults_ = 0;
    std::uint64_t incarnation_ = 0;
    std::deque<std::pair<double, double>> sent_; // while cold: when and how much work
    std::list<std::uint64_t> store_;             // the latest used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> place_;
    std::unordered_map<std::uint64_t, std::vector<std::function<void(bool)>>> fetching_; // by key
};

// A fault of a server as its model has it: all but what the list says of it.
void apply_server_fault(cache_server &of, const fault_settings &fault, bool begins);

// All servers, what they share, and what deduplication remembers.
class fleet {
public:
    fleet(timeline &with, const experiment &of, observer &by, std::uint32_t seed);

    cache_server &at(index number) { return servers_[number]; }
    index size() const { return static_cast<index>(servers_.size()); }
    origin &source() { return origin_; }
    const origin &source() const { return origin_; }
    // What all servers share, for one of them. A read's value is fetched; a write takes effect at the origin,
    // once where repeats are dropped, and voids all copies. `there`: the origin had room.
    void fetch(const std::function<void(bool there)> &done);
    void write(const job &what, index server, std::function<void(bool seen, bool there)> done);
    void wrote(std::uint64_t key); // the copies are void
    // Where origin and marks are in another process: these are asked instead.
    std::function<void(std::function<void(bool there)>)> remote_fetch;
    std::function<void(const job &, index server, std::function<void(bool seen, bool there)>)> remote_write;
    std::function<void(std::uint64_t key)> on_wrote; // for copies that other processes hold

    // At the origin itself, in aside mode.
    void receive_at_origin(const job &what, const answer_to &done);

    timeline &clock;
    const experiment &settings;
    observer &event_observer;

private:
    friend class cache_server;
    bool seen_before(const job &what, index server); // and remembers it

    origin origin_;
    std::deque<cache_server> servers_;
    struct mark {
        double when;
        index group;
    };
    std::unordered_map<operation, std::vector<mark>> marks_; // never iterated
    std::deque<std::pair<double, operation>> old_marks_;
};

} // namespace harrierpass::testbed
