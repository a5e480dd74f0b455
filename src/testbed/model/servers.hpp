// SPDX-License-Identifier: Apache-2.0
// Model of the cache servers and their origin: received attempts, their service times and responses. Does no
// I/O; runs in virtual time and runs on sockets share it.
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

// One attempt that a server receives.
struct job {
    operation op = 0;
    index attempt = 0, use_case = 0;
    bool write = false, keyed = false;
    std::uint64_t key = 0;
    // For fetches from the origin in cache-aside mode: the server that had the cache miss.
    index missed_at = none;
};

// The cache status that a response reports.
enum class note : std::uint8_t { none, hit, miss, pending };

// Outcome of an attempt at a server. There is none if a fault drops the attempt.
struct result {
    enum class kind : std::uint8_t { completed, error, queue_full, missed, malformed };
    kind outcome = kind::completed;
    note cache = note::none;
};
using response_callback = std::function<void(const result &)>;

class fleet;

// One cache server: its cores, its cache, its faults.
class cache_server {
public:
    cache_server(fleet &owner, index number, std::uint32_t seed);

    // Handles an attempt that was read completely. Calls `done` at most once; a fault may drop the response.
    void receive(const job &received, const response_callback &done);

    // Faults; several can be in force at a time.
    void crash(bool begins); // its end starts a new process with an empty cache, which warms up
    void hang(bool begins);
    void vanish(bool begins);
    void one_way(bool begins);
    void slow(double factor, bool begins);
    void errors(double share, index use_case, bool begins);
    void malformed(double share, bool begins);
    void set_draining(bool begins) { draining_ = begins; }

    void on_connection_opened(); // uses a core for fleet_settings::connect_work

    void fail_overloaded(); // stops the server after an overload during its warm-up
    void start_cold(double started);
    void fill(std::uint64_t key); // stores the key, as a read does
    // Fills the cache as at a warm start; the most popular key is the most recently used.
    void fill_most_popular();
    void drop(std::uint64_t key);

    bool up() const { return crashed_ == 0 && !overloaded_; }
    bool silent() const { return vanished_ > 0; }
    bool hanging() const { return hung_ > 0; }
    bool drops_responses() const { return one_way_ > 0; } // responses are lost
    bool answers_health_checks() const { return up() && !silent() && !hanging() && !drops_responses(); }
    // Start time (seconds) of the faults that a proxy has to detect by itself; 0 if there are none.
    double faulty_since() const { return faulty_since_; }
    void set_faulty(bool begins);
    double started() const { return started_; }
    double warm_up_progress() const;
    std::size_t active_and_queued() const { return cores_.busy() + cores_.queue_length(); }
    std::size_t cached_key_count() const { return cache_index_.size(); }
    std::uint64_t incarnation() const { return incarnation_; } // number of earlier processes

    std::function<void()> on_change; // up(), silent(), hanging() or incarnation() changed

private:
    void begin(const job &received, const response_callback &done);
    void work_done(const job &received, const response_callback &done);
    void reply_with(const response_callback &done, result response);
    bool has_cached(const job &received);
    void changed();

    fleet &fleet_;
    const index number_;
    random_generator random_;
    cores cores_;
    index crashed_ = 0, hung_ = 0, vanished_ = 0, one_way_ = 0;
    bool overloaded_ = false, draining_ = false;
    double work_factor_ = 1, speed_ = 1;
    struct response_fault {
        double share;
        index use_case;
        bool malforms;
    };
    std::vector<response_fault> response_faults_;
    double started_ = 0; // 0 for a server that is warm from the start
    double faulty_since_ = 0;
    index open_faults_ = 0;
    std::uint64_t incarnation_ = 0;
    // While warming up: receive time and work of each attempt, in seconds.
    std::deque<std::pair<double, double>> warm_up_work_;
    std::list<std::uint64_t> cached_keys_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_index_;
    std::unordered_map<std::uint64_t, std::vector<std::function<void(bool)>>> fetching_; // by key
};

// Applies a fault to the server's model. The endpoint list is changed elsewhere.
void apply_server_fault(cache_server &server, const fault_settings &fault, bool begins);

// All servers, their origin and the deduplication records.
class fleet {
public:
    fleet(timeline &run_clock, const experiment &run_settings, observer &run_observer, std::uint32_t seed);

    cache_server &at(index number) { return servers_[number]; }
    index size() const { return static_cast<index>(servers_.size()); }
    origin &source() { return origin_; }
    const origin &source() const { return origin_; }
    // Origin access of a server. fetch() reads a value. write() executes a write at the origin, once within
    // the deduplication window and scope, and invalidates all cached copies; `seen` is true for a duplicate.
    // `fetched` is false if the origin's queue was full.
    void fetch(const std::function<void(bool fetched)> &done);
    void write(const job &received, index server, std::function<void(bool seen, bool fetched)> done);
    void invalidate(std::uint64_t key); // drops the key from all caches
    // Set if the origin and the deduplication records are in another process; called instead of the local
    // ones.
    std::function<void(std::function<void(bool fetched)>)> remote_fetch;
    std::function<void(const job &, index server, std::function<void(bool seen, bool fetched)>)> remote_write;
    std::function<void(std::uint64_t key)> on_invalidated; // for caches in other processes

    // Handles an origin fetch or write in cache-aside mode.
    void receive_at_origin(const job &received, const response_callback &done);

    timeline &clock;
    const experiment &settings;
    observer &event_observer;

private:
    friend class cache_server;
    bool seen_before(const job &received, index server); // also records the operation

    origin origin_;
    std::deque<cache_server> servers_;
    struct deduplication_record {
        double time;
        index group;
    };
    std::unordered_map<operation, std::vector<deduplication_record>> deduplication_records_; // never iterated
    std::deque<std::pair<double, operation>> operations_by_age_; // with the time of the record
};

} // namespace harrierpass::testbed
