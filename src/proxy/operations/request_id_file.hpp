// SPDX-License-Identifier: Apache-2.0
// The file through which the processes of one proxy share the table of request ids. It is mapped into the
// memory of each of them and stays when they end, so that a process that starts after a killed one knows its
// ids. Each process holds a lock on one byte of the file, which the system releases when the process ends.
#pragma once

#include "proxy/operations/process_slot.hpp"
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
    request_id_file(process_slot owner, std::uint64_t *words) : owner_(std::move(owner)), words_(words) {}

    process_slot owner_; // the number of this process
    std::uint64_t *words_;
};

} // namespace harrierpass::proxy
