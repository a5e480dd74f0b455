// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/request_id_file.hpp"

#include <cerrno>
#include <fcntl.h>
#include <optional>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t file_size = request_id_table::slot_count * sizeof(std::uint64_t);
// A release whose table has another layout uses another name.
constexpr const char *name_suffix = ".ids1";

// The lock on the byte that stands for the owner.
struct flock lock_of(request_id_owner owner) {
    struct flock lock {};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = static_cast<off_t>(owner);
    lock.l_len = 1;
    return lock;
}

// Locks the first byte that no running process has locked.
std::optional<request_id_owner> claim_owner(const tcp_socket &file) {
    for (request_id_owner owner = 1; owner <= request_id_table::max_owner; ++owner) {
        struct flock lock = lock_of(owner);
        if (::fcntl(file.get(), F_OFD_SETLK, &lock) == 0)
            return owner;
        if (errno != EAGAIN && errno != EACCES)
            return std::nullopt;
    }
    return std::nullopt;
}

bool is_own_file(const tcp_socket &file) {
    struct stat status {};
    if (::fstat(file.get(), &status) != 0)
        return false;
    const bool is_own = S_ISREG(status.st_mode) && status.st_uid == ::geteuid();
    if (!is_own)
        errno = EPERM;
    return is_own;
}

} // namespace

std::unique_ptr<request_id_file> request_id_file::open(const std::string &directory,
                                                       const std::string &listen) {
    const std::string path = directory + "/harrierpass-" + listen + name_suffix;
    tcp_socket file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, S_IRUSR | S_IWUSR));
    // Allocated in advance, as a write to mapped memory could not report that the disk is full.
    if (!file || !is_own_file(file) || ::fallocate(file.get(), 0, 0, static_cast<off_t>(file_size)) != 0)
        return nullptr;
    // Opened a second time: a mapping keeps its file open for some time after its process has ended, and with
    // it the file's locks.
    tcp_socket lock(::open(path.c_str(), O_RDWR | O_CLOEXEC | O_NOFOLLOW));
    const auto owner = lock ? claim_owner(lock) : std::nullopt;
    if (!owner)
        return nullptr;
    void *const memory = ::mmap(nullptr, file_size, PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
    if (memory == MAP_FAILED)
        return nullptr;
    return std::unique_ptr<request_id_file>(
        new request_id_file(std::move(lock), static_cast<std::uint64_t *>(memory), *owner));
}

request_id_file::~request_id_file() {
    ::munmap(words_, file_size);
}

request_id_storage request_id_file::storage() {
    return {{words_, request_id_table::slot_count}, owner_, [this](request_id_owner owner) {
                return has_ended(owner);
            }};
}

// Where the lock cannot be read, the process counts as running: its ids stay refused.
bool request_id_file::has_ended(request_id_owner owner) const {
    struct flock lock = lock_of(owner);
    return ::fcntl(lock_.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type == F_UNLCK;
}

} // namespace harrierpass::proxy
