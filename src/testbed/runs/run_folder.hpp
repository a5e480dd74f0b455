// SPDX-License-Identifier: Apache-2.0
// The folder of one run for logs and configurations of its processes. A temporary one ends with the object.
#pragma once

#include <string>

namespace harrierpass::testbed {

class run_folder {
public:
    // Creates the folder if it is missing; an empty path stands for a temporary one. Throws
    // std::system_error.
    explicit run_folder(std::string path);
    ~run_folder();
    run_folder(const run_folder &) = delete;
    run_folder &operator=(const run_folder &) = delete;

    const std::string &path() const { return path_; }

private:
    std::string path_;
    bool temporary_ = false;
};

} // namespace harrierpass::testbed
