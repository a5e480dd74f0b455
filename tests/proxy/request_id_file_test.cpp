// SPDX-License-Identifier: Apache-2.0
#include "proxy/operations/request_id_file.hpp"
#include "support/stand.hpp"

#include <unistd.h>

namespace harrierpass::proxy {

TEST_CASE("request id file: processes share the memory and know whether another one has ended") {
    const temporary_directory directory;
    const auto first = request_id_file::open(directory.path, "127.0.0.1:1");
    auto second = request_id_file::open(directory.path, "127.0.0.1:1");
    const auto other_proxy = request_id_file::open(directory.path, "127.0.0.1:2");
    REQUIRE((first && second && other_proxy));
    first->storage().words[7] = 5;
    CHECK(second->storage().words[7] == 5);
    CHECK(other_proxy->storage().words[7] == 0);
    const request_id_owner owner = second->storage().owner;
    CHECK(owner != first->storage().owner);
    CHECK_FALSE(first->storage().has_ended(owner));
    second.reset();
    CHECK(first->storage().has_ended(owner));
    const auto third = request_id_file::open(directory.path, "127.0.0.1:1");
    REQUIRE(third);
    CHECK(third->storage().words[7] == 5); // the content stays
}

TEST_CASE("request id file: a file that cannot be shared is reported") {
    CHECK(request_id_file::open("/nonexistent", "127.0.0.1:1") == nullptr);
    const temporary_directory directory;
    REQUIRE(::symlink("/dev/null", (directory.path / "harrierpass-127.0.0.1:1.ids1").c_str()) == 0);
    CHECK(request_id_file::open(directory.path, "127.0.0.1:1") == nullptr);
}

TEST_CASE("request id file: a proxy that cannot share its ids serves and says so") {
    const temporary_directory directory;
    const int port = free_port();
    std::filesystem::create_directory(directory.path /
                                      ("harrierpass-127.0.0.1:" + std::to_string(port) + ".ids1"));
    proxy_fixture fixture({.port = port, .with_control_server = true, .start_proxy = false});
    proxy_process proxy(fixture, "unshared.json");
    CHECK(proxy.process.output().find("request-ids-not-shared") != std::string::npos);
    CHECK(status_and_body(test_client(port).request(make_request("bill", "1"))) == "HTTP/1.1 200 [value]");
    proxy.stop();
}

} // namespace harrierpass::proxy
