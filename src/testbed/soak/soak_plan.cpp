// SPDX-License-Identifier: Apache-2.0
#include "testbed/soak/soak_plan.hpp"

#include "testbed/model/random.hpp"

#include <array>
#include <iomanip>
#include <sstream>
#include <vector>

namespace harrierpass::testbed {
namespace {

constexpr int proxies = 18;
constexpr int servers = 12;
constexpr int hosts = 3;                 // worker processes among which the servers are distributed
constexpr double fault_free_share = 0.1; // of the length, at the start of the run

// Settings that the use cases of a run share.
struct deployment {
    double deadline;    // seconds, of the use case with the longest deadline
    double work;        // mean seconds per request
    double rate;        // requests per second over all proxies
    int sockets;        // descriptors of each proxy
    int idle;           // idle connections to each proxy
    double drain_grace; // seconds
};

// Writes one experiment, table by table.
class soak_writer {
public:
    soak_writer(std::uint32_t seed, double length) : random_(seed), length_(length) {
        text_ << std::fixed << std::setprecision(3);
    }

    std::string write() {
        const deployment settings = draw_deployment();
        write_deployment(settings);
        write_use_cases(settings);
        write_restarts();
        write_server_faults();
        write_process_faults();
        write_link_faults();
        write_system_faults();
        return text_.str();
    }

private:
    double draw_real(double min, double max) { return min + random_.uniform() * (max - min); }
    int draw_count(int min, int max) { return min + static_cast<int>(random_.below(max - min + 1)); }

    // Half of the deployments have short deadlines, where all time limits are tight.
    deployment draw_deployment() {
        deployment settings{};
        const double deadline_range = random_.uniform();
        settings.deadline = deadline_range < 0.5   ? draw_real(0.12, 0.4)
                            : deadline_range < 0.8 ? draw_real(0.4, 1)
                                                   : draw_real(1, 3);
        settings.work = std::min(0.05, settings.deadline * 0.08);
        settings.rate = 160;
        const bool few_descriptors = random_.happens(0.35);
        settings.sockets = few_descriptors ? 160 : 512;
        settings.idle = few_descriptors ? 70 : 0;
        settings.drain_grace = draw_real(0.3, 2);
        return settings;
    }

    void write_deployment(const deployment &settings) {
        text_ << "length = \"" << length_ << "s\"\n\n[fleet]\nservers = " << servers << "\nhosts = " << hosts
              << "\nzones = [\"a\", \"b\", \"c\"]\ncores = 2\nstore = 600\nqueue = 40\nidle = \""
              << draw_real(0.5, 5) << "s\"\ndial_work = \"1ms\"\n\n[origin]\nworkers = 24\nwork = \""
              << settings.work << "s\"\n\n[cold]\nstart_capacity = 0.4\nwarm_time = \"3s\"\npush_limit = 8\n"
              << "\n[network]\none_way = \"300us\"\ncross_zone = \"1ms\"\ndial_limit = \""
              << std::min(0.25, settings.deadline / 2)
              << "s\"\n\n[list]\nown_process = true\ndrain_grace = \"" << settings.drain_grace
              << "s\"\n\n[load]\nrate = " << settings.rate
              << "\nkeys = 3000\nretries = 2\nheed = 0.8\nuneven = 0.6\nwait_beyond = \"500ms\"\nidle = "
              << settings.idle << "\n\n[proxies]\ncount = " << proxies << "\nsockets = " << settings.sockets
              << "\n";
    }

    void write_use_case(const char *name, const char *effect, double share, double deadline,
                        const deployment &settings, const std::string &more) {
        text_ << "\n[[use_case]]\nname = \"" << name << "\"\neffect = \"" << effect << "\"\nshare = " << share
              << "\nwork = \"" << settings.work << "s\"\nslo = \"" << deadline / 2 << "s\"\ntimeout = \""
              << deadline << "s\"\n"
              << more;
    }

    void write_use_cases(const deployment &settings) {
        std::ostringstream deduplication;
        deduplication << "group = \"all\"\nwrite = true\nwindow = \"" << draw_real(0.2, 3) << "s\"\n";
        write_use_case("lookup", "idempotent", 0.7, settings.deadline * draw_real(0.5, 1), settings, "");
        write_use_case("booking", "deduplicated", 0.15, settings.deadline, settings, deduplication.str());
        write_use_case("invoice", "non_idempotent", 0.15, settings.deadline * draw_real(0.6, 1), settings,
                       "write = true\n");
    }

    // Draws the start time of a fault so that the fault ends before the load does.
    double draw_start(double duration) {
        return draw_real(length_ * fault_free_share,
                         std::max(length_ * fault_free_share, length_ * 0.9 - duration));
    }

    void write_fault(const std::string &kind, double duration, const std::string &more) {
        text_ << "\n[[fault]]\nkind = \"" << kind << "\"\nat = \"" << draw_start(duration) << "s\"\n";
        if (duration > 0)
            text_ << "for = \"" << duration << "s\"\n";
        text_ << more;
    }

    // Draws a list of `min` to `max` successive numbers, modulo `total`, starting at a random one.
    std::string draw_list(const char *key, int min, int max, int total) {
        std::ostringstream list;
        list << key << " = [";
        const int size = draw_count(min, max);
        const int first = static_cast<int>(random_.below(total));
        for (int i = 0; i < size; ++i)
            list << (i > 0 ? ", " : "") << (first + i) % total;
        list << "]\n";
        return list.str();
    }

    // Every run stops proxies and kills them at the earliest kill time of the planned stop; some restarts
    // roll in steps.
    void write_restarts() {
        for (int i = draw_count(2, 4); i > 0; --i) {
            std::ostringstream steps;
            const bool rolling = random_.happens(0.5);
            if (rolling)
                steps << "steps = " << draw_count(2, 4) << "\nover = \"" << draw_real(0.5, 2) << "s\"\n";
            write_fault("proxy_restart", draw_real(0.1, 0.8),
                        draw_list("proxies", 4, 9, proxies) + steps.str());
        }
        for (int i = draw_count(0, 2); i > 0; --i)
            write_fault("proxy_signals", 0, draw_list("proxies", 3, proxies, proxies));
        if (random_.happens(0.4))
            write_fault("proxy_kill", draw_real(0.3, 1), draw_list("proxies", 1, 4, proxies));
        if (random_.happens(0.4))
            write_fault("proxy_pause", draw_real(0.05, 0.15), draw_list("proxies", 2, 6, proxies));
    }

    void write_server_faults() {
        static constexpr std::array kinds = {"hang",   "vanish",  "slow", "errors",
                                             "spoilt", "one_way", "flap", "crash"};
        for (int i = draw_count(1, 3); i > 0; --i) {
            const std::string kind = kinds[random_.below(kinds.size())];
            std::ostringstream factor;
            if (kind == "slow")
                factor << "factor = " << draw_real(2, 8) << "\n";
            if (kind == "errors" || kind == "spoilt")
                factor << "factor = " << draw_real(0.1, 0.8) << "\n";
            write_fault(kind, draw_real(0.5, 3), draw_list("servers", 1, 3, servers) + factor.str());
        }
        if (random_.happens(0.6))
            write_fault("drain", draw_real(1, 2), draw_list("servers", 1, 3, servers));
        if (random_.happens(0.4))
            write_fault("join", 0, "servers = [12, 13]\n");
    }

    void write_process_faults() {
        if (random_.happens(0.3))
            write_fault("host_kill", draw_real(0.5, 2), draw_list("hosts", 1, 1, hosts));
        if (random_.happens(0.3))
            write_fault("host_stop", draw_real(0.3, 1.5), draw_list("hosts", 1, 1, hosts));
        if (random_.happens(0.3))
            write_fault("list_stop", draw_real(0.5, 3), "");
        if (random_.happens(0.3))
            write_fault("list_kill", draw_real(0.5, 3), "");
        if (random_.happens(0.3))
            write_fault("burst", draw_real(0.5, 2), "factor = 2\n");
    }

    void write_link_faults() {
        static constexpr std::array kinds = {"drop", "reset", "half_open", "slow"};
        static constexpr std::array links = {"proxy-server", "proxy-list", "client-proxy"};
        for (int i = draw_count(0, 2); i > 0; --i) {
            const std::string kind = kinds[random_.below(kinds.size())];
            const double duration = draw_real(0.3, 2);
            text_ << "\n[[link]]\nkind = \"" << kind << "\"\nat = \"" << draw_start(duration)
                  << "s\"\nfor = \"" << duration << "s\"\nbetween = [\"" << links[random_.below(links.size())]
                  << "\"]\nshare = " << draw_real(0.1, 0.5) << "\n";
            if (kind == "slow")
                text_ << "delay = \"" << draw_real(0.005, 0.05) << "s\"\n";
        }
    }

    // In some runs system calls fail for a while, or the wall clock steps.
    void write_system_faults() {
        const bool calls_fail = random_.happens(0.35), clock_steps = random_.happens(0.2);
        if (!calls_fail && !clock_steps)
            return;
        text_ << "\n[system]\nfrom = \"" << draw_real(0, 3) << "s\"\nfor = \"" << draw_real(0.5, 3)
              << "s\"\nrate = " << (calls_fail ? draw_real(0.005, 0.05) : 0.0) << "\n";
        if (clock_steps)
            text_ << "clock_step_s = " << (random_.happens(0.5) ? 1 : -1) * (random_.happens(0.5) ? 3600 : 5)
                  << "\n";
    }

    random_generator random_;
    const double length_;
    std::ostringstream text_;
};

} // namespace

std::string soak_experiment(std::uint32_t seed, double length) {
    return soak_writer(seed, length).write();
}

} // namespace harrierpass::testbed
