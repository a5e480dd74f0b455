// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/process_slot.hpp"

#include <cerrno>
#include <fcntl.h>

namespace harrierpass::proxy {
namespace {

// The lock on the byte that stands for the number.
struct flock lock_of(std::uint32_t number) {
    struct flock lock {};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = static_cast<off_t>(number);
    lock.l_len = 1;
    return lock;
}

} // namespace

std::optional<process_slot> process_slot::claim(tcp_socket file, std::uint32_t max_number) {
    for (std::uint32_t number = 1; number <= max_number; ++number) {
        struct flock lock = lock_of(number);
        if (::fcntl(file.get(), F_OFD_SETLK, &lock) == 0)
            return process_slot(std::move(file), number);
        if (errno != EAGAIN && errno != EACCES)
            return std::nullopt;
    }
    return std::nullopt;
}

bool process_slot::is_free(std::uint32_t number) const {
    struct flock lock = lock_of(number);
    return ::fcntl(file_.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type == F_UNLCK;
}

} // namespace harrierpass::proxy
