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

constexpr std::size_t max_file_size = 4UL * 1024 * 1024; // bytes; four times the longest list

bool write_and_sync(int fd, std::string_view text) {
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

// Whether the file at a path is the open one; else errno is EBUSY.
bool is_at(int fd, const std::string &path) {
    struct stat opened {
    }, at_path{};
    if (::fstat(fd, &opened) == 0 && ::stat(path.c_str(), &at_path) == 0 && opened.st_ino == at_path.st_ino)
        return true;
    errno = EBUSY;
    return false;
}

} // namespace

bool write_snapshot(const std::string &path, const std::string &text) {
    const std::string temporary = path + ".new"; // one that a killed process left is overwritten
    const tcp_socket to(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644));
    // The other process of an upgrade may write, too: one at a time, and never into a file that was renamed.
    if (!to || ::flock(to.get(), LOCK_EX | LOCK_NB) != 0 || !is_at(to.get(), temporary))
        return false;
    if (::ftruncate(to.get(), 0) == 0 && write_and_sync(to.get(), text) &&
        std::rename(temporary.c_str(), path.c_str()) == 0)
        return true;
    const int error = errno;
    ::unlink(temporary.c_str()); // the disk may be full
    errno = error;
    return false;
}

snapshot_load_result load_snapshot(const configuration &settings, double now) {
    const tcp_socket from(::open(settings.snapshot_path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!from)
        return {errno == ENOENT ? "absent" : "unreadable", {}, 0};
    std::string text(max_file_size, '\0');
    std::size_t size = 0;
    for (ssize_t got; (got = ::read(from.get(), text.data() + size, max_file_size - size)) != 0;) {
        if (got < 0)
            return {"unreadable", {}, 0};
        size += static_cast<std::size_t>(got);
    }
    const auto read =
        discovery::read_snapshot(std::string_view(text).substr(0, size),
                                 {settings.name, settings.discovery, 0, {}}, now, settings.snapshot_max_age);
    if (read.fault != discovery::snapshot_fault::none)
        return {discovery::name_of(read.fault), {}, 0};
    try {
        return {nullptr, read_json(read.snapshot.endpoints), read.age};
    } catch (const parse_error &) { // its checksum holds, so it was written so
        return {"unusable", {}, 0};
    }
}

} // namespace harrierpass::proxy
