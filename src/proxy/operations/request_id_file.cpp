// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/request_id_file.hpp"

#include "base/files.hpp"

#include <cerrno>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

namespace harrierpass::proxy {
namespace {

constexpr std::size_t file_size = request_id_table::slot_count * sizeof(std::uint64_t);
// A release whose table has another layout uses another name.
constexpr const char *name_suffix = ".ids1";

bool is_own_descriptor(const tcp_socket &file) {
    struct stat status {};
    if (::fstat(file.get(), &status) != 0)
        return false;
    const bool is_own = is_own_file(status);
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
    if (!file || !is_own_descriptor(file) ||
        ::fallocate(file.get(), 0, 0, static_cast<off_t>(file_size)) != 0)
        return nullptr;
    // Opened a second time: a mapping keeps its file open for some time after its process has ended, and with
    // it the file's locks.
    tcp_socket lock(::open(path.c_str(), O_RDWR | O_CLOEXEC | O_NOFOLLOW));
    auto owner = lock ? process_slot::claim(std::move(lock), request_id_table::max_owner) : std::nullopt;
    if (!owner)
        return nullptr;
    void *const memory = ::mmap(nullptr, file_size, PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
    if (memory == MAP_FAILED)
        return nullptr;
    return std::unique_ptr<request_id_file>(
        new request_id_file(std::move(*owner), static_cast<std::uint64_t *>(memory)));
}

request_id_file::~request_id_file() {
    ::munmap(words_, file_size);
}

request_id_storage request_id_file::storage() {
    return {{words_, request_id_table::slot_count}, owner_.number(), [this](request_id_owner owner) {
                return owner_.is_free(owner);
            }};
}

} // namespace harrierpass::proxy
