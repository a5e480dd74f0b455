// SPDX-License-Identifier: Apache-2.0
#include "testbed/soak/soak_runner.hpp"

#include "testbed/model/experiment_reader.hpp"
#include "testbed/soak/soak_plan.hpp"
#include "testbed/verification/report.hpp"

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace harrierpass::testbed {
namespace {

// Runs the seeds in ascending order, in one thread per job.
class soak_runner {
public:
    explicit soak_runner(const soak_options &options) : options_(options), next_seed_(options.first) {}

    soak_summary run() {
        std::vector<std::thread> threads;
        for (unsigned i = 1; i < options_.jobs; ++i)
            threads.emplace_back([this] { run_remaining(); });
        run_remaining();
        for (auto &thread : threads)
            thread.join();
        return summary_;
    }

private:
    void run_remaining() {
        for (std::uint32_t seed; (seed = next_seed_++) <= options_.last;)
            try {
                run_seed(seed);
            } catch (const std::exception &error) { // a run that cannot be set up does not stop the others
                const std::lock_guard guard(output_mutex_);
                ++summary_.failed;
                std::cout << "soak-" << seed << ": " << error.what() << std::endl;
            }
    }

    void run_seed(std::uint32_t seed) {
        const experiment settings = parse_experiment(soak_experiment(seed, options_.length),
                                                     "soak-" + std::to_string(seed) + ".toml");
        socket_options sockets = options_.sockets;
        if (!sockets.logs.empty())
            sockets.logs += "/" + std::to_string(seed);
        const run_result result = run_on_sockets(settings, settings.variants[0], seed, sockets);
        const std::lock_guard guard(output_mutex_);
        count(result);
        print(std::cout, result, true);
        std::cout << std::flush;
    }

    void count(const run_result &result) {
        if (result.broken() > 0)
            ++summary_.failed;
        else if (!result.void_because.empty())
            ++summary_.too_slow;
        else
            ++summary_.passed;
    }

    const soak_options &options_;
    std::atomic<std::uint32_t> next_seed_;
    std::mutex output_mutex_; // guards the summary and standard output
    soak_summary summary_;
};

} // namespace

soak_summary run_soak(const soak_options &options) {
    const soak_summary summary = soak_runner(options).run();
    std::cout << summary.too_slow << " too slow to count\n"
              << summary.passed << " passed, " << summary.failed << " failed\n";
    return summary;
}

} // namespace harrierpass::testbed
