// SPDX-License-Identifier: Apache-2.0
// Numbers that tell the running processes of one proxy apart. Each process holds a lock on the byte of a file
// that stands for its number; the system releases the lock when the process ends, however it ends.
#pragma once

#include "net/sockets.hpp" // tcp_socket can own any descriptor

#include <cstdint>
#include <optional>
#include <utility>

namespace harrierpass::proxy {

// The number of this process. Movable; the number is free again once the object is destroyed.
class process_slot {
public:
    // Claims the lowest number from 1 to `max_number` that no running process has claimed in the file. The
    // file must not be mapped: a mapping would hold the lock for some time after its process has ended.
    // Returns nothing, with errno set, if there is none.
    [[nodiscard]] static std::optional<process_slot> claim(tcp_socket file, std::uint32_t max_number);

    [[nodiscard]] std::uint32_t number() const { return number_; }

    // Whether no running process has claimed the number. Where the lock cannot be read, the process counts as
    // running.
    [[nodiscard]] bool is_free(std::uint32_t number) const;

private:
    process_slot(tcp_socket file, std::uint32_t number) : file_(std::move(file)), number_(number) {}

    tcp_socket file_; // the descriptor that holds the lock
    std::uint32_t number_;
};

} // namespace harrierpass::proxy
