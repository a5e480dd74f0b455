// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/snapshot_file.hpp"

#include "base/files.hpp"
#include "base/text.hpp"
#include "net/sockets.hpp" // tcp_socket can own any descriptor

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t max_file_size = 4UL * 1024 * 1024; // bytes; four times the longest list

// Whether `path` still names the open file; otherwise sets errno to EBUSY.
bool is_open_file(int fd, const std::string &path) {
    struct stat open_file {
    }, path_file{};
    if (::fstat(fd, &open_file) == 0 && ::stat(path.c_str(), &path_file) == 0 &&
        open_file.st_ino == path_file.st_ino)
        return true;
    errno = EBUSY;
    return false;
}

} // namespace

bool write_snapshot(const std::string &path, const std::string &text) {
    const std::string temporary = path + ".new"; // overwrites the file of a killed process
    const tcp_socket file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644));
    // During a hot restart two processes may write. The lock admits one at a time, and the check of the path
    // prevents writes to a file that the other process has renamed.
    if (!file || ::flock(file.get(), LOCK_EX | LOCK_NB) != 0 || !is_open_file(file.get(), temporary))
        return false;
    if (::ftruncate(file.get(), 0) == 0 && write_whole(file.get(), text) && ::fsync(file.get()) == 0 &&
        std::rename(temporary.c_str(), path.c_str()) == 0)
        return true;
    const int error = errno;
    ::unlink(temporary.c_str()); // frees its space, as the disk may be full
    errno = error;
    return false;
}

snapshot_load_result load_snapshot(const configuration &settings, double now) {
    const tcp_socket file(::open(settings.snapshot_path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file)
        return {errno == ENOENT ? "absent" : "unreadable", {}, 0};
    std::string text(max_file_size, '\0');
    std::size_t size = 0;
    for (ssize_t received; (received = ::read(file.get(), text.data() + size, max_file_size - size)) != 0;) {
        if (received < 0)
            return {"unreadable", {}, 0};
        size += static_cast<std::size_t>(received);
    }
    const auto parsed = discovery::read_snapshot(std::string_view(text).substr(0, size),
                                                 {settings.name, settings.discovery_address, 0, {}}, now,
                                                 settings.snapshot_max_age);
    if (parsed.fault != discovery::snapshot_fault::none)
        return {discovery::name_of(parsed.fault), {}, 0};
    try {
        return {nullptr, read_json(parsed.snapshot.endpoints), parsed.age};
    } catch (const parse_error &) { // the checksum is valid, so the file was written with this content
        return {"unusable", {}, 0};
    }
}

} // namespace harrierpass::proxy
