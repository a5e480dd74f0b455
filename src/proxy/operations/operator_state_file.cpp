// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/operator_state_file.hpp"

#include "base/files.hpp"
#include "net/sockets.hpp" // tcp_socket can own any descriptor

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t max_file_size = 4UL * 1024 * 1024; // bytes; far more than one line for each endpoint
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

std::optional<std::string> read_whole(int fd, std::size_t size) {
    std::string text(size, '\0');
    for (std::size_t done = 0; done < size;) {
        const ssize_t received = ::read(fd, text.data() + done, size - done);
        if (received < 0 && errno == EINTR)
            continue;
        if (received <= 0)
            return std::nullopt;
        done += static_cast<std::size_t>(received);
    }
    return text;
}

} // namespace

// A release whose file has another form uses another name.
operator_state_file::operator_state_file(const std::string &directory, const std::string &listen,
                                         std::uint32_t slot)
    : path_(directory + "/harrierpass-" + listen + ".state1"),
      temporary_path_(path_ + "." + std::to_string(slot)) {}

operator_state_file::file_identity operator_state_file::identity_of(const struct stat &status) {
    return {status.st_ino, status.st_size,
            status.st_mtim.tv_sec * nanoseconds_per_second + status.st_mtim.tv_nsec};
}

std::optional<std::string> operator_state_file::read_if_changed() {
    struct stat status {};
    if (::stat(path_.c_str(), &status) != 0 || identity_of(status) == known_)
        return std::nullopt;
    const tcp_socket file(::open(path_.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
    if (!file || ::fstat(file.get(), &status) != 0 || !is_own_file(status) ||
        static_cast<std::size_t>(status.st_size) > max_file_size)
        return std::nullopt;
    auto text = read_whole(file.get(), static_cast<std::size_t>(status.st_size));
    if (text)
        known_ = identity_of(status);
    return text;
}

bool operator_state_file::write(const std::string &text) {
    ::unlink(temporary_path_.c_str()); // of a killed process with the same number
    const tcp_socket file(::open(temporary_path_.c_str(),
                                 O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR));
    struct stat status {};
    if (file && write_whole(file.get(), text) && ::fstat(file.get(), &status) == 0 &&
        std::rename(temporary_path_.c_str(), path_.c_str()) == 0) {
        known_ = identity_of(status);
        return true;
    }
    const int error = errno;
    ::unlink(temporary_path_.c_str()); // frees its space, as the disk may be full
    errno = error;
    return false;
}

} // namespace harrierpass::proxy
