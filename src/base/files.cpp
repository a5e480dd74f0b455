// SPDX-License-Identifier: Apache-2.0
#include "base/files.hpp"

#include <cerrno>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass {

bool write_whole(int fd, std::string_view text) {
    while (!text.empty()) {
        const ssize_t written = ::write(fd, text.data(), text.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool is_own_file(const struct stat &status) {
    return S_ISREG(status.st_mode) && status.st_uid == ::geteuid();
}

} // namespace harrierpass
