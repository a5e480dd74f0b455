// SPDX-License-Identifier: Apache-2.0
// Endpoints whose process moves to another address, at a proxy that is a process of its own.
#include "support/stand.hpp"

namespace harrierpass::proxy {
namespace {

constexpr int request_count = 20;

void send_reads(int port, const std::string &key_prefix) {
    for (int i = 0; i < request_count; ++i)
        CHECK(status_and_body(test_client(port).request(
                  make_request("read", key_prefix + std::to_string(i)))) == "HTTP/1.1 200 [value]");
}

} // namespace

// Guards against work that goes to the wrong process: connections that were kept for an endpoint lead to its
// old address, where another process may serve by now (report 33b532).
TEST_CASE("moved endpoints: requests go to the new address once the list has it") {
    proxy_fixture fixture({.start_proxy = false});
    proxy_process proxy(fixture, "moved-endpoint.json");
    send_reads(proxy.port, "before");
    const std::size_t polls = fixture.discovery.request_count();
    const std::string member = R"(,"locality":"a","flavor":"m","cell":0,"size":1.0,"up_since_ms":0,"phase":)";
    fixture.discovery.push_response(
        ok_response(R"({"revision":42,"complete":false,"members":[{"id":"s0","host_port":")" +
                    fixture.servers[1].address() + "\"" + member + R"("active"},{"id":"s1","host_port":")" +
                    fixture.servers[1].address() + "\"" + member + R"("left"}]})"));
    fixture.discovery.wait_for_requests(polls + 1);
    const std::size_t at_old_address = fixture.servers[0].request_count();
    CHECK(at_old_address > 0); // there are connections to the old address
    send_reads(proxy.port, "after");
    CHECK(fixture.servers[0].request_count() == at_old_address);
}

} // namespace harrierpass::proxy
