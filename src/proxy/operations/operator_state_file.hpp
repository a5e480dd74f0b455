// SPDX-License-Identifier: Apache-2.0
// The file through which the processes of one proxy share what operators have told it. It stays when they
// end, so that a process needs no answer of another one, which may be stopped or gone. It is written under a
// temporary name and renamed, so that a process that is killed at any time leaves a complete file, old or
// new.
//
// Processes do not wait for each other: of two that write at the same time one may overwrite the other's
// file. The content has to be such that it can be merged, and each process writes again when it reads a file
// that lacks something it knows.
#pragma once

#include <cstdint>
#include <ctime>
#include <optional>
#include <string>
#include <sys/stat.h>
#include <sys/types.h>

namespace harrierpass::proxy {

// One per process; used by one thread at a time.
class operator_state_file {
public:
    // `listen` is the listening address, which identifies the proxy; `slot` is this process's number.
    operator_state_file(const std::string &directory, const std::string &listen, std::uint32_t slot);

    // The content, if the file is not the one that was read or written last. Empty if it is the same or
    // cannot be read.
    [[nodiscard]] std::optional<std::string> read_if_changed();

    // Replaces the file. On failure, returns false, sets errno and keeps the old file.
    [[nodiscard]] bool write(const std::string &text);

private:
    // What tells one file from another that has replaced it.
    struct file_identity {
        ino_t inode = 0;
        off_t size = 0;
        std::int64_t modified_at = 0; // ns
        bool operator==(const file_identity &) const = default;
    };
    [[nodiscard]] static file_identity identity_of(const struct stat &status);

    const std::string path_, temporary_path_;
    file_identity known_;
};

} // namespace harrierpass::proxy
