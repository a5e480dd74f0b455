// SPDX-License-Identifier: Apache-2.0
#include "proxy/program.hpp"

#include "base/text.hpp"
#include "proxy/operations/startup_preview.hpp"
#include "proxy/service.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string_view>

namespace harrierpass::proxy {
namespace {

struct program_options {
    bool preview_only = false;
    const char *configuration_path = nullptr; // null: neither the argument nor the variable is set
    const char *log_level = "info";
};

program_options parse_options(int argument_count, char **arguments) {
    program_options options;
    options.preview_only = argument_count > 1 && std::string_view(arguments[1]) == "--check";
    const int path_position = options.preview_only ? 2 : 1;
    options.configuration_path =
        argument_count > path_position ? arguments[path_position] : std::getenv("BALANCER_CONFIG");
    if (const char *level = std::getenv("BALANCER_LOG"))
        options.log_level = level;
    return options;
}

// Blocks the program's signals in this thread and in the threads that it starts; returns the signals that
// serve_until_stopped() waits for. SIGPIPE is blocked but not waited for: a log pipe without a reader must
// not end the process.
sigset_t block_signals() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGPIPE})
        sigaddset(&handled, signal);
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
    sigdelset(&handled, SIGPIPE);
    return handled;
}

configuration load_configuration(const char *path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        throw parse_error{"cannot read the configuration file"};
    return read_configuration(text.str());
}

// Keeps the configuration in force if the file is invalid.
void reload(service &proxy, const char *path) {
    try {
        proxy.reload(load_configuration(path));
    } catch (const std::exception &error) {
        proxy.logger().warning("reload-failed reason=", error.what());
    }
}

void serve_until_stopped(service &proxy, const char *configuration_path, const sigset_t &handled) {
    for (int signal = 0; signal != SIGTERM && signal != SIGINT;) {
        sigwait(&handled, &signal);
        proxy.logger().info("signal-received number=", signal);
        if (signal == SIGUSR1)
            proxy.counts().print(std::clog);
        if (signal == SIGHUP)
            reload(proxy, configuration_path);
    }
    proxy.stop();
    proxy.counts().print(std::clog);
}

} // namespace

int run(int argument_count, char **arguments, router_factory make_router) {
    const sigset_t handled = block_signals();
    const program_options options = parse_options(argument_count, arguments);
    try {
        if (options.configuration_path == nullptr)
            throw parse_error{"no configuration given; name a file or set BALANCER_CONFIG"};
        if (options.preview_only) {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            preview_startup(load_configuration(options.configuration_path),
                            std::chrono::duration<double>(now).count(), std::cout);
            return 0;
        }
        service proxy(load_configuration(options.configuration_path), std::clog,
                      parse_log_level(options.log_level), make_router);
        serve_until_stopped(proxy, options.configuration_path, handled);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "harrierpass: " << error.what() << '\n';
    }
    return 1;
}

} // namespace harrierpass::proxy
