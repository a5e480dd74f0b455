// SPDX-License-Identifier: Apache-2.0
// The file through which the processes of one proxy share the table of request ids. It is mapped into the
// memory of each of them and stays when they end, so that a process that starts after a killed one knows its
// ids. Each process holds a lock on one byte of the file, which the system releases when the process ends.
#pragma once

#include "net/sockets.hpp"
#include "proxy/request/request_id_table.hpp"

#include <memory>
#include <string>

namespace harrierpass::proxy {

// An open and mapped file. Must outlive the table that uses it.
class request_id_file {
public:
    // Opens or creates the file. `listen` is the listening address, which identifies the proxy. Returns null
    // with errno set if the file cannot be shared.
    static std::unique_ptr<request_id_file> open(const std::string &directory, const std::string &listen);
    ~request_id_file();
    request_id_file(const request_id_file &) = delete;
    request_id_file &operator=(const request_id_file &) = delete;

    // The memory and the owner of this process; refers to this object.
    request_id_storage storage();

private:
    request_id_file(tcp_socket lock, std::uint64_t *words, request_id_owner owner)
        : lock_(std::move(lock)), words_(words), owner_(owner) {}
    bool has_ended(request_id_owner owner) const;

    tcp_socket lock_; // the descriptor that holds the lock of this process
    std::uint64_t *words_;
    request_id_owner owner_;
};

} // namespace harrierpass::proxy
