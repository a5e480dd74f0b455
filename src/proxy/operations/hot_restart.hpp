// SPDX-License-Identifier: Apache-2.0
// Hot restart: a running process passes its listening socket to its successor over a local socket. Until one
// of them ends, all processes of the proxy exchange the commands of operators and their usage of shared
// limits. The commands are in a file as well, so that they reach a process whatever has ended or is stopped.
//
// Each running process has a number (its slot) and a local socket of its own, harrierpass-LISTEN.SLOT.sock. A
// successor asks all of them at once and takes the first response. Slots are used again, so the number of
// files does not grow. harrierpass-LISTEN.sock is the name that releases without slots look for: a link to
// the socket of a process that is running, or the socket of such a release.
#pragma once

#include "net/sockets.hpp"
#include "net/threads.hpp"
#include "proxy/operations/operator_state_file.hpp"
#include "proxy/operations/peer_message.hpp"
#include "proxy/operations/process_slot.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace harrierpass::proxy {

// Runs a thread of its own after run(). The functions that other threads may call say so.
class hot_restart {
public:
    // Called by the thread.
    struct callbacks {
        // The state for a successor that does not know the message `operator_state`.
        std::function<std::vector<peer_message>()> state_messages;
        // The commands that lead to this state, for a peer of such a release that has responded late.
        std::function<std::vector<peer_message>()> all_commands;
        // The commands since the last call, for peers that do not know the message `operator_state`.
        std::function<std::vector<peer_message>()> new_commands;
        // Changes with each change of the operators' state.
        std::function<std::uint64_t()> operator_state_version;
        // The operators' state, as a text of at most `max_size` bytes.
        std::function<std::string(std::size_t max_size)> operator_state;
        // Merges the state of a process of a release without `operator_state` that has responded late, so
        // that commands which this process knows are newer.
        std::function<void(const std::vector<peer_message> &state)> merge_older_state;
        // Merges the operators' state of another process into that of this one.
        std::function<void(const std::string &text)> merge_operator_state;
        // Processes a message of another kind.
        std::function<void(const peer_message &)> on_message;
        // Reports that the state file cannot be written, with its errno; once until it is written again.
        std::function<void(int error)> on_write_failed;
        std::function<shared_usage()> local_usage;               // the usage of this process
        std::function<void(const shared_usage &)> on_peer_usage; // receives the usage of all peers
    };
    // What a successor receives.
    struct handover {
        tcp_socket listener;
        std::vector<peer_message> state;
    };

    // `directory` has the local sockets; `listen` is the listening address, which identifies the proxy.
    hot_restart(std::string directory, const std::string &listen);
    // Stops the thread and closes the connections to the peers.
    ~hot_restart();
    hot_restart(const hot_restart &) = delete;
    hot_restart &operator=(const hot_restart &) = delete;

    // Whether this process can take over and be succeeded. If not, right after the construction, errno says
    // why.
    [[nodiscard]] bool is_available() const { return slot_.has_value(); }
    // The operators' state that the processes of this proxy have stored; empty if there is none. Call before
    // run().
    [[nodiscard]] std::optional<std::string> stored_operator_state();
    // Requests the listening socket and the state from all running processes; empty if none responds. Does
    // not wait for a process that is stopped. Call before run().
    [[nodiscard]] std::optional<handover> take_over();
    // Starts to exchange messages and accepts successors. `listener` is passed to them and must stay open
    // until withdraw_listener().
    void run(callbacks handlers, const tcp_socket &listener);
    // The listening socket is about to be closed and is not passed to successors any more. Any thread.
    void withdraw_listener();
    // This process accepts clients: notifies the processes that share its listening socket. Any thread.
    void start_serving();
    // Exchanges the operators' state with the other processes, through the file and by messages. Returns once
    // they have acknowledged it, or after a limited time. Any thread.
    void synchronize();
    // Whether a successor accepts clients. Any thread.
    [[nodiscard]] bool has_successor() const { return has_successor_.load(); }

private:
    // Another process of this proxy.
    struct peer {
        explicit peer(tcp_socket connection);
        tcp_socket socket;
        pid_t process;              // 0: not visible
        bool is_introduced = false; // a `hello` was received or answered; nothing else is sent before
        bool is_successor = false, ready = false; // `ready`: the successor accepts clients
        bool shares_listener = false;             // this process has its listening socket
        bool reads_operator_state = false;        // it knows the message `operator_state`
        double heard_at;                          // s of the steady clock; the latest message
        shared_usage usage = {};
        unsigned long sent = 0, acknowledged = 0; // numbers of messages that need an acknowledgement
    };

    // The name of the local socket of the process with this number.
    [[nodiscard]] std::string socket_name(std::uint32_t slot) const;
    // The name that processes of releases without slots look for.
    [[nodiscard]] std::string common_name() const;
    // Connects to every running process and sends it a `hello`.
    void connect_to_peers();
    // Adds a connection on which a `hello` is sent, unless it is empty.
    void greet(tcp_socket connection);
    // Waits until one of the peers responds. Returns the response, or nothing if none can be expected.
    std::optional<handover> await_handover();
    // Reads the response of a peer if there is one; removes peers that have ended.
    std::optional<handover> read_handover();
    // Takes from the response to a `hello` what it tells of the peer itself.
    static void introduce(peer &sender, const std::vector<peer_message> &response);
    // Whether every peer is stopped.
    [[nodiscard]] bool all_stopped() const;

    // Opens the local socket of this process. If that fails, the thread retries.
    void listen_for_successors();
    // The body of the thread: accepts successors, reads messages, synchronizes the operators' state and sends
    // the usage of this process.
    void loop();
    // Whether an exchange of the operators' state is waited for.
    [[nodiscard]] bool is_round_requested();
    // Waits for messages and successors, and handles them.
    void poll_peers();
    // Handles the peers whose sockets are readable. `polled` has one entry for each peer, in their order.
    void read_peers(const std::vector<pollfd> &polled);
    void accept_successor();
    // Returns false if the peer has ended or sent a malformed message.
    bool read_messages(peer &sender);
    // Processes one message. Returns false if the peer has to be given up.
    bool handle_message(peer &sender, const peer_message &message);
    // Passes the listening socket and the state to a successor.
    bool hand_over(peer &successor, bool reads_operator_state);
    // A peer that was greeted has responded, after this process has started without its response.
    void on_late_handover(peer &sender, const tcp_socket &listener, const std::vector<peer_message> &state);
    // Recomputes the usage of all peers and whether a successor is serving.
    void on_peers_changed();
    // Merges the file into the operators' state, and the state into the file and the peers, where they
    // differ.
    void exchange_operator_state();
    void write_state_file();
    // Sends the operators' state, or the commands since the last call, to all peers.
    void announce_operator_state();
    void send_usage();
    // Makes harrierpass-LISTEN.sock lead to this process if it does not lead to a running one.
    void maintain_common_name();
    [[nodiscard]] bool is_common_name_in_use() const;
    // Sends messages that need an acknowledgement. The caller holds mutex_.
    static void send_command(peer &receiver, const std::vector<peer_message> &messages);
    // Waits, until `deadline` at most (s of the steady clock), until all peers that respond have acknowledged
    // what was sent to them.
    void await_acknowledgements(std::unique_lock<std::mutex> &guard, double deadline);

    const std::string directory_, name_;
    std::optional<process_slot> slot_;              // empty: no hot restart is possible
    std::optional<operator_state_file> state_file_; // set with slot_
    callbacks callbacks_;
    tcp_socket successor_socket_; // successors connect to it

    // Used by the thread only.
    std::string stored_text_;          // what the file is known to contain
    std::uint64_t merged_version_ = 0; // of the state that was written and announced
    bool is_written_ = true;           // the file has the state of merged_version_
    bool has_reported_failure_ = false;
    double usage_sent_at_ = 0, name_checked_at_ = 0; // s of the steady clock

    // Protects peers_ and their counters, listener_fd_ and the round numbers. Only the thread adds and
    // removes peers; it reads peers_ without the lock.
    std::mutex mutex_;
    std::condition_variable progress_; // acknowledgements and ended rounds
    std::list<peer> peers_;
    int listener_fd_ = -1; // not owned; -1: withdrawn
    // Exchanges of the operators' state that were requested and that have ended.
    unsigned long requested_rounds_ = 0, ended_rounds_ = 0;
    std::atomic<bool> stopping_ = false, is_serving_ = false, has_successor_ = false;
    std::optional<joined_thread> thread_;
};

} // namespace harrierpass::proxy
