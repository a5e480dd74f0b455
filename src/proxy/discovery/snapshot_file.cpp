// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/snapshot_file.hpp"

#include "base/text.hpp"
#include "net/sockets.hpp" // tcp_socket holds any descriptor

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t largest = 4UL * 1024 * 1024; // bytes; four times the longest list

bool write_whole(int fd, std::string_view text) {
    while (!text.empty()) {
        const ssize_t wrote = ::write(fd, text.data(), text.size());
        if (wrote < 0 && errno == EINTR)
            continue;
        if (wrote <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(wrote));
    }
    return ::fsync(fd) == 0;
}

// Whether the file at a path is the open one; else errno tells that it is busy.
bool is_at(int fd, const std::string &path) {
    struct stat open {
    }, there{};
    if (::fstat(fd, &open) == 0 && ::stat(path.c_str(), &there) == 0 && open.st_ino == there.st_ino)
        return true;
    errno = EBUSY;
    return false;
}

} // namespace

bool write_snapshot(const std::string &path, const std::string &text) {
    const std::string aside = path + ".new"; // what a killed process left is written over
    const tcp_socket to(::open(aside.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644));
    // Guards against the other process of an upgrade: one writes at a time, and never into what was renamed.
    if (!to || ::flock(to.get(), LOCK_EX | LOCK_NB) != 0 || !is_at(to.get(), aside))
        return false;
    if (::ftruncate(to.get(), 0) == 0 && write_whole(to.get(), text) &&
        std::rename(aside.c_str(), path.c_str()) == 0)
        return true;
    const int why = errno;
    ::unlink(aside.c_str()); // guards a full disk against what is of no use
    errno = why;
    return false;
}

snapshot_load_result load_snapshot(const configuration &given, double now) {
    const tcp_socket from(::open(given.snapshot_path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!from)
        return {errno == ENOENT ? "absent" : "unreadable", {}, 0};
    std::string text(largest, '\0');
    std::size_t size = 0;
    for (ssize_t got; (got = ::read(from.get(), text.data() + size, largest - size)) != 0;) {
        if (got < 0)
            return {"unreadable", {}, 0};
        size += static_cast<std::size_t>(got);
    }
    const auto read =
        discovery::read_snapshot(std::string_view(text).substr(0, size), {given.name, given.discovery, 0, {}},
                                 now, given.snapshot_max_age);
    if (read.fault != discovery::snapshot_fault::none)
        return {discovery::name_of(read.fault), {}, 0};
    try {
        return {nullptr, read_json(read.snapshot.endpoints), read.age};
    } catch (const parse_error &) { // its checksum holds, so it was written so
        return {"unusable", {}, 0};
    }
}

} // namespace harrierpass::proxy
