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
constexpr int hosts = 3;           // processes that the servers are dealt out over
constexpr double calm_share = 0.1; // of the length, at its start, without faults

// What the use cases of one run have in common.
struct deployment {
    double deadline;    // s, the longest
    double work;        // s, the mean
    double rate;        // requests a second over all proxies
    int sockets;        // descriptors of a proxy
    int idle;           // connections at rest, at each proxy
    double drain_grace; // s
};

// Writes one experiment, table by table.
class soak_writer {
public:
    soak_writer(std::uint32_t seed, double length) : random_(seed), length_(length) {
        text_ << std::fixed << std::setprecision(3);
    }

    std::string write() {
        const deployment drawn = draw_deployment();
        write_deployment(drawn);
        write_use_cases(drawn);
        write_restarts();
        write_server_faults();
        write_process_faults();
        write_link_faults();
        write_system_faults();
        return text_.str();
    }

private:
    double between(double least, double most) { return least + random_.uniform() * (most - least); }
    int count(int least, int most) { return least + static_cast<int>(random_.below(most - least + 1)); }

    // Deadlines of all sizes: most deployments have short ones, where every bound is tight.
    deployment draw_deployment() {
        deployment made{};
        const double kind = random_.uniform();
        made.deadline = kind < 0.5 ? between(0.12, 0.4) : kind < 0.8 ? between(0.4, 1) : between(1, 3);
        made.work = std::min(0.05, made.deadline * 0.08);
        made.rate = 160;
        const bool crowd = random_.happens(0.35);
        made.sockets = crowd ? 160 : 512;
        made.idle = crowd ? 70 : 0;
        made.drain_grace = between(0.3, 2);
        return made;
    }

    void write_deployment(const deployment &of) {
        text_ << "length = \"" << length_ << "s\"\n\n[fleet]\nservers = " << servers << "\nhosts = " << hosts
              << "\nzones = [\"a\", \"b\", \"c\"]\ncores = 2\nstore = 600\nqueue = 40\nidle = \""
              << between(0.5, 5) << "s\"\ndial_work = \"1ms\"\n\n[origin]\nworkers = 24\nwork = \"" << of.work
              << "s\"\n\n[cold]\nstart_capacity = 0.4\nwarm_time = \"3s\"\npush_limit = 8\n"
              << "\n[network]\none_way = \"300us\"\ncross_zone = \"1ms\"\ndial_limit = \""
              << std::min(0.25, of.deadline / 2) << "s\"\n\n[list]\nown_process = true\ndrain_grace = \""
              << of.drain_grace << "s\"\n\n[load]\nrate = " << of.rate
              << "\nkeys = 3000\nretries = 2\nheed = 0.8\nuneven = 0.6\nwait_beyond = \"500ms\"\nidle = "
              << of.idle << "\n\n[proxies]\ncount = " << proxies << "\nsockets = " << of.sockets << "\n";
    }

    void write_use_case(const char *name, const char *effect, double share, double deadline,
                        const deployment &of, const std::string &more) {
        text_ << "\n[[use_case]]\nname = \"" << name << "\"\neffect = \"" << effect << "\"\nshare = " << share
              << "\nwork = \"" << of.work << "s\"\nslo = \"" << deadline / 2 << "s\"\ntimeout = \""
              << deadline << "s\"\n"
              << more;
    }

    void write_use_cases(const deployment &of) {
        std::ostringstream window;
        window << "group = \"all\"\nwrite = true\nwindow = \"" << between(0.2, 3) << "s\"\n";
        write_use_case("lookup", "idempotent", 0.7, of.deadline * between(0.5, 1), of, "");
        write_use_case("booking", "deduplicated", 0.15, of.deadline, of, window.str());
        write_use_case("invoice", "non_idempotent", 0.15, of.deadline * between(0.6, 1), of,
                       "write = true\n");
    }

    // A time at which a fault begins, and so long before the end that it is over with the load.
    double begin(double lasts) {
        return between(length_ * calm_share, std::max(length_ * calm_share, length_ * 0.9 - lasts));
    }

    void write_fault(const std::string &kind, double lasts, const std::string &more) {
        text_ << "\n[[fault]]\nkind = \"" << kind << "\"\nat = \"" << begin(lasts) << "s\"\n";
        if (lasts > 0)
            text_ << "for = \"" << lasts << "s\"\n";
        text_ << more;
    }

    std::string some(const char *key, int least, int most, int below) {
        std::ostringstream made;
        made << key << " = [";
        const int many = count(least, most);
        const int first = static_cast<int>(random_.below(below));
        for (int i = 0; i < many; ++i)
            made << (i > 0 ? ", " : "") << (first + i) % below;
        made << "]\n";
        return made.str();
    }

    // Every run stops proxies, and kills them when the page first allows it; some stops follow one another.
    void write_restarts() {
        for (int i = count(2, 4); i > 0; --i) {
            std::ostringstream steps;
            const bool rolls = random_.happens(0.5);
            if (rolls)
                steps << "steps = " << count(2, 4) << "\nover = \"" << between(0.5, 2) << "s\"\n";
            write_fault("proxy_restart", between(0.1, 0.8), some("proxies", 4, 9, proxies) + steps.str());
        }
        for (int i = count(0, 2); i > 0; --i)
            write_fault("proxy_signals", 0, some("proxies", 3, proxies, proxies));
        if (random_.happens(0.4))
            write_fault("proxy_kill", between(0.3, 1), some("proxies", 1, 4, proxies));
        if (random_.happens(0.4))
            write_fault("proxy_pause", between(0.05, 0.15), some("proxies", 2, 6, proxies));
    }

    void write_server_faults() {
        static constexpr std::array kinds = {"hang",   "vanish",  "slow", "errors",
                                             "spoilt", "one_way", "flap", "crash"};
        for (int i = count(1, 3); i > 0; --i) {
            const std::string kind = kinds[random_.below(kinds.size())];
            std::ostringstream factor;
            if (kind == "slow")
                factor << "factor = " << between(2, 8) << "\n";
            if (kind == "errors" || kind == "spoilt")
                factor << "factor = " << between(0.1, 0.8) << "\n";
            write_fault(kind, between(0.5, 3), some("servers", 1, 3, servers) + factor.str());
        }
        if (random_.happens(0.6))
            write_fault("drain", between(1, 2), some("servers", 1, 3, servers));
        if (random_.happens(0.4))
            write_fault("join", 0, "servers = [12, 13]\n");
    }

    void write_process_faults() {
        if (random_.happens(0.3))
            write_fault("host_kill", between(0.5, 2), some("hosts", 1, 1, hosts));
        if (random_.happens(0.3))
            write_fault("host_stop", between(0.3, 1.5), some("hosts", 1, 1, hosts));
        if (random_.happens(0.3))
            write_fault("list_stop", between(0.5, 3), "");
        if (random_.happens(0.3))
            write_fault("list_kill", between(0.5, 3), "");
        if (random_.happens(0.3))
            write_fault("burst", between(0.5, 2), "factor = 2\n");
    }

    void write_link_faults() {
        static constexpr std::array kinds = {"drop", "reset", "half_open", "slow"};
        static constexpr std::array ends = {"proxy-server", "proxy-list", "client-proxy"};
        for (int i = count(0, 2); i > 0; --i) {
            const std::string kind = kinds[random_.below(kinds.size())];
            const double lasts = between(0.3, 2);
            text_ << "\n[[link]]\nkind = \"" << kind << "\"\nat = \"" << begin(lasts) << "s\"\nfor = \""
                  << lasts << "s\"\nbetween = [\"" << ends[random_.below(ends.size())]
                  << "\"]\nshare = " << between(0.1, 0.5) << "\n";
            if (kind == "slow")
                text_ << "delay = \"" << between(0.005, 0.05) << "s\"\n";
        }
    }

    // In some runs calls of the system fail for a while, or the wall clock steps.
    void write_system_faults() {
        const bool fails = random_.happens(0.35), steps = random_.happens(0.2);
        if (!fails && !steps)
            return;
        text_ << "\n[system]\nfrom = \"" << between(0, 3) << "s\"\nfor = \"" << between(0.5, 3)
              << "s\"\nrate = " << (fails ? between(0.005, 0.05) : 0.0) << "\n";
        if (steps)
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
