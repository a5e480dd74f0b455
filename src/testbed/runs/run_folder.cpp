// SPDX-License-Identifier: Apache-2.0
#include "testbed/runs/run_folder.hpp"

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <system_error>
#include <utility>

namespace harrierpass::testbed {

run_folder::run_folder(std::string path) : path_(std::move(path)) {
    if (path_.empty()) {
        std::string name = (std::filesystem::temp_directory_path() / "harrierpass_testbed-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::system_error(errno, std::generic_category(), "no temporary folder");
        path_ = name;
        temporary_ = true;
    }
    std::filesystem::create_directories(path_);
}

run_folder::~run_folder() {
    std::error_code failed;
    if (temporary_)
        std::filesystem::remove_all(path_, failed);
}

} // namespace harrierpass::testbed
