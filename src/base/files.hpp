// SPDX-License-Identifier: Apache-2.0
// Helpers for files that are read and written by descriptor.
#pragma once

#include <string_view>

struct stat;

namespace harrierpass {

// Writes the whole text, however many calls it takes. On failure, returns false with errno set.
[[nodiscard]] bool write_whole(int fd, std::string_view text);

// Whether this is a regular file of this process's user.
[[nodiscard]] bool is_own_file(const struct stat &status);

} // namespace harrierpass
