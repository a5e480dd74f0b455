// SPDX-License-Identifier: Apache-2.0
// Relays TCP links on loopback. Each link has an address at which the near end reaches the far end. The relay
// opens one connection to the far end for each connection of the near end, and forwards ends, half-closes and
// resets. It applies the table of conditions to the bytes and decides nothing else.
//
// Effects of the conditions:
// - dropped: The relay does not read that direction. A filter at the listener drops new connections, so that
//   the system does not respond to them. Afterwards the relay forwards the queued bytes, or resets the
//   receiver's connection if their sender has ended meanwhile.
// - resets: The relay resets both ends, and new connections while the condition lasts.
// - half open: The relay resets the far end. The near end notices nothing until the condition ends, and then
//   gets a reset.
// - delay, rate: The relay delays each chunk of bytes and keeps their order.
// - far end refuses: The listener is closed, so that the system refuses connections.
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

// How the far end of a link treats new connections: accepts them, refuses them, or does not respond.
enum class far_state : std::uint8_t { up, refuses, silent };

// All links of a run. The event loop and the table outlive it.
class relay {
public:
    // `seed`: for jitter.
    relay(loop &event_loop, const link_table &table, std::uint32_t seed);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    // Opens a link to a far end and returns the address at which the near end reaches it. Throws
    // std::system_error if it cannot listen, as when there are no descriptors.
    address open(const link_id &id, const address &far);
    // Changes the far end's address, as after a restart.
    void set_far_address(const link_id &id, const address &far);
    // Sets the state of a far end, for all links of this kind.
    void set_far_state(link_kind kind, index far, far_state state);
    // For the table's on_change.
    void on_conditions_changed(const link_id &id, const link_conditions &before, const link_conditions &now);
    std::size_t connections() const { return connections_.size(); }
    std::uint64_t forwarded_bytes() const { return forwarded_bytes_; }

private:
    // Bytes that may be written from `due` on (seconds of the loop's clock).
    struct chunk {
        double due;
        std::string bytes;
    };
    // One direction of a connection.
    struct byte_stream {
        std::deque<chunk> chunks; // in the order of `due`
        std::size_t queued_bytes = 0;
        double last_due = 0; // of the last bytes read
        bool sender_ended = false, end_forwarded = false;
    };
    struct side {
        tcp_socket socket;
        bool connecting = false, watched = false,
             broken = false; // failed while the other end could not be notified
    };
    struct proxied_connection {
        std::uint64_t tag;
        link_id id;
        side near, far;
        byte_stream streams[2];    // by direction
        bool far_end_dead = false; // while half open
    };
    struct link_entry {
        link_id id;
        address near_address, far_address;
        tcp_socket listener;
        bool filtered = false; // a filter at the listener drops new connections
    };

    link_entry &find(const link_id &id) { return links_.at(key(id)); }
    static std::uint64_t key(const link_id &id);
    void listen(link_entry &link);
    void close_listener(link_entry &link);
    void update_listener(link_entry &link);
    far_state far_state_of(const link_id &id) const;

    void accept(const link_id &id);
    void on_events(std::uint64_t tag, bool near, std::uint32_t events);
    void on_connected(proxied_connection &connection);
    void read_from_sender(proxied_connection &connection, direction flow);
    double due_time(const proxied_connection &connection, direction flow, std::size_t bytes);
    void write_to_receiver(std::uint64_t tag, direction flow);
    void forward_end(proxied_connection &connection, direction flow);
    void update_interest(proxied_connection &connection);
    void update_interest_of(proxied_connection &connection, bool near);
    void finish(std::uint64_t tag, bool reset_near, bool reset_far);

    void apply_conditions(std::uint64_t tag, const link_conditions &before, const link_conditions &now);
    void kill_far_end(proxied_connection &connection);
    void resume(proxied_connection &connection, const link_conditions &before, const link_conditions &now);

    loop &loop_;
    const link_table &table_;
    random_generator random_;
    std::map<std::uint64_t, link_entry> links_;
    std::map<std::uint64_t, std::unique_ptr<proxied_connection>> connections_; // by tag
    std::map<std::pair<link_kind, index>, far_state> far_states_;
    std::uint64_t next_tag_ = 1, forwarded_bytes_ = 0;
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace harrierpass::testbed
