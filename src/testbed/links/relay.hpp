// SPDX-License-Identifier: Apache-2.0
// The named TCP links on loopback. Each pair of ends has an address of its own,
// where the near end finds the far one; one connection in is one connection
// out, and ends, half ends and resets go through as they came. What is made of
// the bytes follows the table of conditions; there is no policy here.
//
//   condition        what the relay does
//   dropped          reads nothing in that direction; the listener's filter
//   drops what would connect, so the
//                    system here answers nothing. What was queued goes on when
//                    it is over, or, where its sender has ended meanwhile, the
//                    receiver's connection is reset
//   resets           both ends get a reset, also what connects while it lasts
//   half open        the far end gets a reset; the near end hears nothing until
//   it is over, then a reset delay, rate      each chunk waits, in its order
//   far end refuses  the listener is closed, so the system here refuses
//
// Used from the loop's thread only.
#pragma once

#include "net/sockets.hpp"
#include "testbed/links/conditions.hpp"
#include "testbed/loop/loop.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace harrierpass::testbed {

// What the far end of a link does with new connections: accepts them, refuses
// them, or does not answer.
enum class far_state : std::uint8_t { up, refuses, silent };

class relay {
public:
    // `seed`: of jitter.
    relay(loop &in, const link_table &table, std::uint32_t seed);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    // Opens the link before a far end and returns the address where the near end
    // finds it. Throws std::system_error where there are no descriptors.
    address open(const link_id &which, const address &far);
    // The far end is elsewhere from now on, as after a restart.
    void set_far_address(const link_id &which, const address &far);
    // All links of this kind to this far end.
    void set_far_state(link_kind kind, index far, far_state is);
    // For the table's on_change.
    void on_conditions_changed(const link_id &which, const link_conditions &before,
                               const link_conditions &now);
    std::size_t connections() const { return connections_.size(); }
    std::uint64_t forwarded_bytes() const { return forwarded_bytes_; }

private:
    // Bytes that may be written from `due` on (s, the loop's clock).
    struct chunk {
        double due;
        std::string bytes;
    };
    // One direction of a connection.
    struct byte_stream {
        std::deque<chunk> chunks; // in the order of `due`
        std::size_t queued_bytes = 0;
        double last_due = 0; // of all that was read
        bool sender_ended = false, end_forwarded = false;
    };
    struct side {
        tcp_socket socket;
        bool connecting = false, watched = false,
             gone = false; // gone: broke while nobody could be told
    };
    struct proxied_connection {
        std::uint64_t tag;
        link_id of;
        side near, far;
        byte_stream streams[2];    // by direction
        bool far_end_dead = false; // half open
    };
    struct link {
        link_id id;
        address at, far;
        tcp_socket listening;
        bool filtered = false; // the listener drops what connects
    };

    link &find(const link_id &which) { return links_.at(key(which)); }
    static std::uint64_t key(const link_id &which);
    void listen(link &on);
    void close_listener(link &on);
    void update_listener(link &on);
    far_state far_state_of(const link_id &which) const;

    void accept(const link_id &which);
    void on_events(std::uint64_t tag, bool near, std::uint32_t events);
    void on_connected(proxied_connection &of);
    void read_from_sender(proxied_connection &of, direction to);
    double due_time(const proxied_connection &of, direction to, std::size_t bytes);
    void write_to_receiver(std::uint64_t tag, direction to);
    void forward_end(proxied_connection &of, direction to);
    void update_interest(proxied_connection &of);
    void update_interest_of(proxied_connection &of, bool near);
    void finish(std::uint64_t tag, bool reset_near, bool reset_far);

    void apply_conditions(std::uint64_t tag, const link_conditions &before, const link_conditions &now);
    void kill_far_end(proxied_connection &of);
    void resume(proxied_connection &of, const link_conditions &before, const link_conditions &now);

    loop &loop_;
    const link_table &table_;
    random_generator random_;
    std::map<std::uint64_t, link> links_;
    std::map<std::uint64_t, std::unique_ptr<proxied_connection>> connections_; // by tag
    std::map<std::pair<link_kind, index>, far_state> far_;
    std::uint64_t next_ = 1, forwarded_bytes_ = 0;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
