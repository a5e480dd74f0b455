// SPDX-License-Identifier: Apache-2.0
#include "testbed/verification/plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace harrierpass::testbed {
namespace {

constexpr double width = 860, left = 70, right = 20, top = 50, panel = 150, gap = 46; // px
constexpr double shades = 8;          // of what a server has in hand
constexpr std::size_t most_rows = 60; // servers drawn; more are too thin to see
constexpr std::array<const char *, 8> colours = {"#1b6ca8", "#c8553d", "#588157", "#8e5ea2",
                                                 "#b08900", "#444444", "#00a6a6", "#d1495b"};

std::string escaped(const std::string &text) {
    std::string made;
    for (const char each : text)
        made += each == '<' ? "&lt;" : each == '>' ? "&gt;" : each == '&' ? "&amp;" : std::string(1, each);
    return made;
}

struct curve {
    std::string name;
    std::vector<double> values;
    const char *colour;
    bool dashed = false;
};

class picture {
public:
    picture(double length, const std::vector<shade> &faults) : length_(length), faults_(faults) {
        body_ << std::fixed << std::setprecision(1);
    }

    void title(const std::string &text) {
        body_ << "<text x='" << left << "' y='24' font-size='16' font-weight='bold'>" << escaped(text)
              << "</text>\n";
    }

    // `most`: 0, the largest value; `logs`: the axis is logarithmic from `least` on.
    void lines(const std::string &name, const std::vector<curve> &curves, double most, bool logs,
               double least) {
        double largest = most;
        if (most <= 0)
            for (const auto &each : curves)
                for (const double value : each.values)
                    largest = std::isnan(value) ? largest : std::max(largest, value * 1.05);
        if (largest <= least)
            largest = least + 1;
        const auto y = [&](double value) {
            const double part = logs ? std::log(std::max(value, least) / least) / std::log(largest / least)
                                     : (value - least) / (largest - least);
            return at_ + panel * (1 - std::clamp(part, 0.0, 1.0));
        };
        frame(name);
        if (logs) {
            for (double tick = std::pow(10, std::ceil(std::log10(least))); tick <= largest; tick *= 10)
                label(tick, y(tick));
        } else {
            for (int i = 0; i <= 4; ++i)
                label(least + (largest - least) * i / 4, y(least + (largest - least) * i / 4));
        }
        for (const auto &each : curves) {
            const double step =
                (width - left - right) / static_cast<double>(std::max<std::size_t>(1, each.values.size()));
            std::ostringstream path;
            path << std::fixed << std::setprecision(1);
            bool pen = false;
            for (std::size_t i = 0; i < each.values.size(); ++i) {
                if (std::isnan(each.values[i])) {
                    pen = false;
                    continue;
                }
                path << (pen ? 'L' : 'M') << left + step * (static_cast<double>(i) + 0.5) << ' '
                     << y(each.values[i]);
                pen = true;
            }
            body_ << "<path d='" << path.str() << "' fill='none' stroke='" << each.colour
                  << "' stroke-width='1.6'" << (each.dashed ? " stroke-dasharray='4 3'" : "") << "/>\n";
        }
        double x = width - right;
        for (const auto &each :
             std::vector(curves.rbegin(), curves.rend())) { // the first one at the right edge
            if (each.name.empty())
                continue;
            x -= 8.0 * static_cast<double>(each.name.size()) + 24;
            body_ << "<rect x='" << x << "' y='" << at_ - 12 << "' width='10' height='3' fill='"
                  << each.colour << "'/><text x='" << x + 14 << "' y='" << at_ - 8 << "' font-size='11'>"
                  << escaped(each.name) << "</text>\n";
        }
        at_ += panel + gap;
    }

    void heat(const std::string &name, const std::vector<std::vector<double>> &all) {
        if (all.empty())
            return;
        // Two parts of the run to a cell: finer ones cannot be told apart, and cost space.
        std::vector<std::vector<double>> rows;
        for (const auto &each : all) {
            rows.emplace_back();
            for (std::size_t at = 0; at + 1 < each.size(); at += 2)
                rows.back().push_back((each[at] + each[at + 1]) / 2);
        }
        double largest = 1;
        for (const auto &row : rows)
            for (const double each : row)
                largest = std::max(largest, each);
        std::ostringstream full;
        full << name << ", up to " << std::fixed << std::setprecision(1) << largest;
        frame(full.str());
        const std::size_t count = std::min(rows.size(), most_rows);
        const double height = panel / static_cast<double>(count);
        for (std::size_t i = 0; i < count; ++i) {
            const double step =
                (width - left - right) / static_cast<double>(std::max<std::size_t>(1, rows[i].size()));
            // Cells that look alike are one; a picture of many servers stays small.
            const auto shade = [&](std::size_t at) {
                return std::round(std::log1p(rows[i][at]) / std::log1p(largest) * shades);
            };
            for (std::size_t from = 0, to = 0; from < rows[i].size(); from = to) {
                for (to = from; to < rows[i].size() && shade(to) == shade(from); ++to) {
                }
                if (shade(from) > 0)
                    body_ << "<rect x='" << left + step * static_cast<double>(from) << "' y='"
                          << at_ + height * static_cast<double>(i) << "' width='"
                          << step * static_cast<double>(to - from) << "' height='" << height
                          << "' fill='#1b6ca8' fill-opacity='" << std::setprecision(2) << shade(from) / shades
                          << std::setprecision(1) << "'/>\n";
            }
        }
        body_ << "<text x='" << left - 6 << "' y='" << at_ + 10
              << "' font-size='10' text-anchor='end'>s-0</text>\n"
              << "<text x='" << left - 6 << "' y='" << at_ + panel << "' font-size='10' text-anchor='end'>s-"
              << count - 1 << "</text>\n";
        at_ += panel + gap;
    }

    std::string text() const {
        std::ostringstream all;
        all << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << at_
            << "' font-family='sans-serif'>\n<rect width='100%' height='100%' fill='white'/>\n"
            << body_.str() << "</svg>\n";
        return all.str();
    }

private:
    void frame(const std::string &name) {
        for (const auto &each : faults_) {
            const double from = x(each.at), to = x(each.lasts > 0 ? each.at + each.lasts : length_);
            body_ << "<rect x='" << from << "' y='" << at_ << "' width='" << std::max(1.0, to - from)
                  << "' height='" << panel << "' fill='#c8553d' fill-opacity='0.08'><title>"
                  << escaped(each.name) << "</title></rect>\n";
        }
        body_ << "<rect x='" << left << "' y='" << at_ << "' width='" << width - left - right << "' height='"
              << panel << "' fill='none' stroke='#999'/>\n<text x='" << left << "' y='" << at_ - 8
              << "' font-size='12' font-weight='bold'>" << escaped(name) << "</text>\n";
        for (int i = 0; i <= 4; ++i)
            body_ << "<text x='" << x(length_ * i / 4) << "' y='" << at_ + panel + 14
                  << "' font-size='10' text-anchor='middle'>" << length_ * i / 4 << " s</text>\n";
    }
    double x(double time) const { return left + (width - left - right) * std::min(1.0, time / length_); }
    void label(double value, double y) {
        std::ostringstream shown;
        shown << std::setprecision(3) << value;
        body_ << "<text x='" << left - 6 << "' y='" << y + 4 << "' font-size='10' text-anchor='end'>"
              << shown.str() << "</text><line x1='" << left << "' x2='" << width - right << "' y1='" << y
              << "' y2='" << y << "' stroke='#eee'/>\n";
    }

    const double length_;
    const std::vector<shade> &faults_;
    double at_ = top + 10;
    std::ostringstream body_;
};

std::vector<double> mean_of(const std::vector<const run_result *> &runs,
                            std::vector<double> run_result::*which) {
    std::vector<double> sum, count;
    for (const auto *each : runs)
        for (std::size_t i = 0; i < (each->*which).size(); ++i) {
            sum.resize(std::max(sum.size(), i + 1));
            count.resize(sum.size());
            if (!std::isnan((each->*which)[i])) {
                sum[i] += (each->*which)[i];
                ++count[i];
            }
        }
    for (std::size_t i = 0; i < sum.size(); ++i)
        sum[i] = count[i] > 0 ? sum[i] / count[i] : std::nan("");
    return sum;
}

} // namespace

std::string plot_svg(const std::vector<run_result> &runs, const std::vector<shade> &faults) {
    std::vector<std::string> names;
    std::map<std::string, std::vector<const run_result *>> by_name;
    for (const auto &each : runs) {
        if (std::find(names.begin(), names.end(), each.variant) == names.end())
            names.push_back(each.variant);
        by_name[each.variant].push_back(&each);
    }
    picture made(runs.empty() ? 1 : runs[0].length, faults);
    if (runs.empty())
        return made.text();
    made.title(runs[0].experiment + " (" + runs[0].mode + ", " + std::to_string(by_name[names[0]].size()) +
               " seeds)");
    std::vector<curve> service, times, fetches;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto &all = by_name[names[i]];
        const char *const colour = colours[i % colours.size()];
        service.push_back({names[i], mean_of(all, &run_result::slot_service), colour});
        times.push_back({names[i], mean_of(all, &run_result::slot_p99), colour});
        times.push_back({"", mean_of(all, &run_result::slot_p50), colour, true});
        fetches.push_back({names[i], mean_of(all, &run_result::slot_fetches), colour});
    }
    for (auto &each : times)
        for (double &value : each.values)
            value = value > 0 ? value * 1000 : std::nan("");
    made.lines("service", service, 1, false, 0);
    made.lines("time of an answer, ms: p99, dashed p50", times, 0, true, 0.1);
    made.lines("origin fetches a second", fetches, 0, false, 0);
    // Of the first variant's first run: figures by second that only a fleet has.
    const auto &first = *by_name[names[0]][0];
    std::vector<curve> zones, groups, calls;
    for (const auto &[name, values] : first.series) {
        auto &to = name.starts_with("zone ") ? zones : name.starts_with("group ") ? groups : calls;
        to.push_back({name, values, colours[to.size() % colours.size()]});
    }
    if (zones.size() > 1)
        made.lines("service by the proxies' zone", zones, 1, false, 0);
    if (!groups.empty())
        made.lines("service of proxies that a fault names, and of the others", groups, 1, false, 0);
    if (!calls.empty())
        made.lines("new connections and list calls a second, all proxies", calls, 0, false, 0);
    made.heat(names[0] + ": executions in hand by server", by_name[names[0]][0]->in_flight);
    return made.text();
}

} // namespace harrierpass::testbed
