// SPDX-License-Identifier: Apache-2.0
#include "testbed/soak/soak_runner.hpp"

#include "testbed/model/experiment_reader.hpp"
#include "testbed/runs/generator_lateness.hpp"
#include "testbed/soak/soak_plan.hpp"
#include "testbed/soak/soak_verdict.hpp"
#include "testbed/verification/report.hpp"

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace harrierpass::testbed {
namespace {

constexpr int max_runs_per_seed = 3; // while its load generator is late

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

    // Repeats a run that leaves the seed undecided.
    void run_seed(std::uint32_t seed) {
        const experiment settings = parse_experiment(soak_experiment(seed, options_.length),
                                                     "soak-" + std::to_string(seed) + ".toml");
        seed_judge judge(max_runs_per_seed);
        soak_verdict verdict = soak_verdict::undecided;
        for (int run = 1; verdict == soak_verdict::undecided; ++run) {
            const run_result result = run_once(settings, seed, run);
            verdict = judge.judge(result, generator_was_late(result, settings));
            report(result, verdict);
        }
    }

    run_result run_once(const experiment &settings, std::uint32_t seed, int run) const {
        socket_options sockets = options_.sockets;
        if (!sockets.logs.empty())
            sockets.logs += "/" + std::to_string(seed);
        if (!sockets.logs.empty() && run > 1)
            sockets.logs += "-" + std::to_string(run);
        return run_on_sockets(settings, settings.variants[0], seed, sockets);
    }

    void report(const run_result &result, soak_verdict verdict) {
        const std::lock_guard guard(output_mutex_);
        count(verdict);
        print(std::cout, result, true);
        std::cout << std::flush;
    }

    void count(soak_verdict verdict) {
        switch (verdict) {
        case soak_verdict::passed:
            ++summary_.passed;
            break;
        case soak_verdict::failed:
            ++summary_.failed;
            break;
        case soak_verdict::too_slow:
            ++summary_.too_slow;
            break;
        case soak_verdict::undecided:
            ++summary_.repeated;
            break;
        }
    }

    const soak_options &options_;
    std::atomic<std::uint32_t> next_seed_;
    std::mutex output_mutex_; // guards the summary and standard output
    soak_summary summary_;
};

} // namespace

soak_summary run_soak(const soak_options &options) {
    const soak_summary summary = soak_runner(options).run();
    std::cout << summary.repeated << " repeated: the load generator was late\n"
              << summary.too_slow << " too slow to count\n"
              << summary.passed << " passed, " << summary.failed << " failed\n";
    return summary;
}

} // namespace harrierpass::testbed
