// SPDX-License-Identifier: Apache-2.0
// Configurations that reach the polling thread of the discovery client in quick succession. Each test forces
// the order of the steps: it passes the next configuration while the polling thread is in the middle of a
// step.
#include "support/stand.hpp"

#include "net/threads.hpp"
#include "proxy/discovery/discovery_client.hpp"

#include <sstream>

namespace harrierpass::proxy {
namespace {

constexpr double apply_limit = 5; // s for a configuration to come into force; far more than it takes

// A log output that calls a function once, in the thread that writes a line with a certain text.
class line_hook : public std::stringbuf {
public:
    // Both are set before the line can be written, or in the thread that writes it.
    std::string expected_text;
    std::function<void()> on_line;

private:
    int sync() override {
        const bool found = str().find(expected_text) != std::string::npos;
        str("");
        if (found && on_line)
            std::exchange(on_line, nullptr)();
        return 0;
    }
};

// A discovery client with its polling thread, in front of the discovery service of a fixture.
struct polling_client {
    polling_client()
        : initial(make_configuration()), output(&hook), logger(output, log_level::info), routing(initial),
          upstreams(initial->connect_timeout, initial->upstream_idle_timeout, 64, counts, logger),
          client(routing, upstreams, counts, logger) {}
    polling_client(const polling_client &) = delete;
    polling_client &operator=(const polling_client &) = delete;
    ~polling_client() {
        stopped = true;
        if (thread)
            wake_thread(thread->id());
    }

    std::shared_ptr<const configuration> make_configuration() const {
        return std::make_shared<const configuration>(read_configuration(fixture.config));
    }
    // Starts the polling thread and waits until its watch is open.
    void start() {
        thread.emplace([this] { client.run([this] { return stopped.load(); }); });
        fixture.discovery.wait_for_requests(2); // the snapshot and the watch after it
    }
    void reconfigure(const std::shared_ptr<const configuration> &next) {
        client.reconfigure(next);
        wake_thread(thread->id());
    }
    bool comes_into_force(const std::shared_ptr<const configuration> &expected) {
        const double started = steady_now();
        while (routing.configuration_in_force() != expected && steady_now() < started + apply_limit)
            std::this_thread::yield();
        return routing.configuration_in_force() == expected;
    }

    proxy_fixture fixture{{.start_proxy = false}};
    std::shared_ptr<const configuration> initial;
    line_hook hook;
    std::ostream output;
    log logger;
    counters counts;
    dispatcher routing;
    upstream_pool upstreams;
    discovery_client client;
    std::atomic<bool> stopped = false;
    std::optional<joined_thread> thread; // joined before the members above are destroyed
};

} // namespace

// The proxy must not crash, nor lose a configuration, if a reload arrives while the polling thread takes over
// the configuration of the reload before.
TEST_CASE("discovery client: a configuration that arrives while another is taken over comes into force") {
    polling_client polling;
    const auto second = polling.make_configuration();
    const auto third = polling.make_configuration();
    const auto fourth = polling.make_configuration();
    polling.client.on_configuration_applied = [&](const configuration &applied) {
        if (&applied != second.get())
            return;
        // The connection to discovery is open now, so that taking over the third configuration writes a line.
        polling.hook.expected_text = "reason=moved";
        polling.hook.on_line = [&] { polling.client.reconfigure(fourth); };
        polling.client.reconfigure(third);
    };
    polling.start();
    polling.reconfigure(second);
    CHECK(polling.comes_into_force(fourth));
}

// The same while the configuration before it comes into force with its first list.
TEST_CASE("discovery client: a configuration that arrives while another comes into force is not lost") {
    polling_client polling;
    const auto second = polling.make_configuration();
    const auto third = polling.make_configuration();
    polling.client.on_configuration_applied = [&, is_first = true](const configuration &) mutable {
        if (std::exchange(is_first, false))
            polling.client.reconfigure(third);
    };
    polling.start();
    polling.reconfigure(second);
    CHECK(polling.comes_into_force(third));
}

} // namespace harrierpass::proxy
