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

constexpr double width = 860, left = 70, right = 20, top = 50, panel = 150, gap = 46; // pixels
constexpr double shades = 8;         // steps of opacity in the heat map
constexpr std::size_t max_rows = 60; // servers in the heat map; rows of more servers would be too thin to see
constexpr std::array<const char *, 8> colours = {"#1b6ca8", "#c8553d", "#588157", "#8e5ea2",
                                                 "#b08900", "#444444", "#00a6a6", "#d1495b"};

std::string escaped(const std::string &text) {
    std::string result;
    for (const char character : text)
        result += character == '<'   ? "&lt;"
                  : character == '>' ? "&gt;"
                  : character == '&' ? "&amp;"
                                     : std::string(1, character);
    return result;
}

struct curve {
    std::string name;
    std::vector<double> values;
    const char *colour;
    bool dashed = false;
};

class picture {
public:
    picture(double length, const std::vector<fault_interval> &faults) : length_(length), faults_(faults) {
        body_ << std::fixed << std::setprecision(1);
    }

    void title(const std::string &text) {
        body_ << "<text x='" << left << "' y='24' font-size='16' font-weight='bold'>" << escaped(text)
              << "</text>\n";
    }

    // Draws a panel of curves. `max` 0: the largest value of the curves. `logarithmic`: the axis is
    // logarithmic and begins at `min`.
    void draw_lines(const std::string &name, const std::vector<curve> &curves, double max, bool logarithmic,
                    double min) {
        double largest = max;
        if (max <= 0)
            for (const auto &curve : curves)
                for (const double value : curve.values)
                    largest = std::isnan(value) ? largest : std::max(largest, value * 1.05);
        if (largest <= min)
            largest = min + 1;
        const auto y = [&](double value) {
            const double relative = logarithmic
                                        ? std::log(std::max(value, min) / min) / std::log(largest / min)
                                        : (value - min) / (largest - min);
            return panel_top_ + panel * (1 - std::clamp(relative, 0.0, 1.0));
        };
        draw_frame(name);
        if (logarithmic) {
            for (double tick = std::pow(10, std::ceil(std::log10(min))); tick <= largest; tick *= 10)
                draw_label(tick, y(tick));
        } else {
            for (int i = 0; i <= 4; ++i)
                draw_label(min + (largest - min) * i / 4, y(min + (largest - min) * i / 4));
        }
        for (const auto &curve : curves) {
            const double step =
                (width - left - right) / static_cast<double>(std::max<std::size_t>(1, curve.values.size()));
            std::ostringstream path;
            path << std::fixed << std::setprecision(1);
            bool pen_down = false;
            for (std::size_t i = 0; i < curve.values.size(); ++i) {
                if (std::isnan(curve.values[i])) {
                    pen_down = false;
                    continue;
                }
                path << (pen_down ? 'L' : 'M') << left + step * (static_cast<double>(i) + 0.5) << ' '
                     << y(curve.values[i]);
                pen_down = true;
            }
            body_ << "<path d='" << path.str() << "' fill='none' stroke='" << curve.colour
                  << "' stroke-width='1.6'" << (curve.dashed ? " stroke-dasharray='4 3'" : "") << "/>\n";
        }
        double x = width - right;
        // The legend is laid out from the right edge, beginning with the last curve.
        for (const auto &curve : std::vector(curves.rbegin(), curves.rend())) {
            if (curve.name.empty())
                continue;
            x -= 8.0 * static_cast<double>(curve.name.size()) + 24;
            body_ << "<rect x='" << x << "' y='" << panel_top_ - 12 << "' width='10' height='3' fill='"
                  << curve.colour << "'/><text x='" << x + 14 << "' y='" << panel_top_ - 8
                  << "' font-size='11'>" << escaped(curve.name) << "</text>\n";
        }
        panel_top_ += panel + gap;
    }

    void draw_heat_map(const std::string &name, const std::vector<std::vector<double>> &slots_by_server) {
        if (slots_by_server.empty())
            return;
        // Each cell has the mean of two time slots: smaller cells would be indistinguishable and enlarge the
        // file.
        std::vector<std::vector<double>> rows;
        for (const auto &slots : slots_by_server) {
            rows.emplace_back();
            for (std::size_t i = 0; i + 1 < slots.size(); i += 2)
                rows.back().push_back((slots[i] + slots[i + 1]) / 2);
        }
        double largest = 1;
        for (const auto &row : rows)
            for (const double value : row)
                largest = std::max(largest, value);
        std::ostringstream full_name;
        full_name << name << ", up to " << std::fixed << std::setprecision(1) << largest;
        draw_frame(full_name.str());
        const std::size_t count = std::min(rows.size(), max_rows);
        const double height = panel / static_cast<double>(count);
        for (std::size_t i = 0; i < count; ++i) {
            const double step =
                (width - left - right) / static_cast<double>(std::max<std::size_t>(1, rows[i].size()));
            // Merges adjacent cells of the same shade to keep the file of a large fleet small.
            const auto shade = [&](std::size_t cell) {
                return std::round(std::log1p(rows[i][cell]) / std::log1p(largest) * shades);
            };
            for (std::size_t begin = 0, end = 0; begin < rows[i].size(); begin = end) {
                for (end = begin; end < rows[i].size() && shade(end) == shade(begin); ++end) {
                }
                if (shade(begin) > 0)
                    body_ << "<rect x='" << left + step * static_cast<double>(begin) << "' y='"
                          << panel_top_ + height * static_cast<double>(i) << "' width='"
                          << step * static_cast<double>(end - begin) << "' height='" << height
                          << "' fill='#1b6ca8' fill-opacity='" << std::setprecision(2)
                          << shade(begin) / shades << std::setprecision(1) << "'/>\n";
            }
        }
        body_ << "<text x='" << left - 6 << "' y='" << panel_top_ + 10
              << "' font-size='10' text-anchor='end'>s-0</text>\n"
              << "<text x='" << left - 6 << "' y='" << panel_top_ + panel
              << "' font-size='10' text-anchor='end'>s-" << count - 1 << "</text>\n";
        panel_top_ += panel + gap;
    }

    std::string text() const {
        std::ostringstream svg;
        svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << panel_top_
            << "' font-family='sans-serif'>\n<rect width='100%' height='100%' fill='white'/>\n"
            << body_.str() << "</svg>\n";
        return svg.str();
    }

private:
    void draw_frame(const std::string &name) {
        for (const auto &fault : faults_) {
            const double begin = x(fault.start);
            const double end = x(fault.duration > 0 ? fault.start + fault.duration : length_);
            body_ << "<rect x='" << begin << "' y='" << panel_top_ << "' width='"
                  << std::max(1.0, end - begin) << "' height='" << panel
                  << "' fill='#c8553d' fill-opacity='0.08'><title>" << escaped(fault.name)
                  << "</title></rect>\n";
        }
        body_ << "<rect x='" << left << "' y='" << panel_top_ << "' width='" << width - left - right
              << "' height='" << panel << "' fill='none' stroke='#999'/>\n<text x='" << left << "' y='"
              << panel_top_ - 8 << "' font-size='12' font-weight='bold'>" << escaped(name) << "</text>\n";
        for (int i = 0; i <= 4; ++i)
            body_ << "<text x='" << x(length_ * i / 4) << "' y='" << panel_top_ + panel + 14
                  << "' font-size='10' text-anchor='middle'>" << length_ * i / 4 << " s</text>\n";
    }
    double x(double time) const { return left + (width - left - right) * std::min(1.0, time / length_); }
    void draw_label(double value, double y) {
        std::ostringstream number;
        number << std::setprecision(3) << value;
        body_ << "<text x='" << left - 6 << "' y='" << y + 4 << "' font-size='10' text-anchor='end'>"
              << number.str() << "</text><line x1='" << left << "' x2='" << width - right << "' y1='" << y
              << "' y2='" << y << "' stroke='#eee'/>\n";
    }

    const double length_;
    const std::vector<fault_interval> &faults_;
    double panel_top_ = top + 10;
    std::ostringstream body_;
};

std::vector<double> mean_of(const std::vector<const run_result *> &runs,
                            std::vector<double> run_result::*series) {
    std::vector<double> sum, count;
    for (const auto *run : runs)
        for (std::size_t i = 0; i < (run->*series).size(); ++i) {
            sum.resize(std::max(sum.size(), i + 1));
            count.resize(sum.size());
            if (!std::isnan((run->*series)[i])) {
                sum[i] += (run->*series)[i];
                ++count[i];
            }
        }
    for (std::size_t i = 0; i < sum.size(); ++i)
        sum[i] = count[i] > 0 ? sum[i] / count[i] : std::nan("");
    return sum;
}

} // namespace

std::string plot_svg(const std::vector<run_result> &runs, const std::vector<fault_interval> &faults) {
    std::vector<std::string> names;
    std::map<std::string, std::vector<const run_result *>> by_name;
    for (const auto &run : runs) {
        if (std::find(names.begin(), names.end(), run.variant) == names.end())
            names.push_back(run.variant);
        by_name[run.variant].push_back(&run);
    }
    picture drawing(runs.empty() ? 1 : runs[0].length, faults);
    if (runs.empty())
        return drawing.text();
    drawing.title(runs[0].experiment + " (" + runs[0].mode + ", " + std::to_string(by_name[names[0]].size()) +
                  " seeds)");
    std::vector<curve> service, times, fetches;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto &variant_runs = by_name[names[i]];
        const char *const colour = colours[i % colours.size()];
        service.push_back({names[i], mean_of(variant_runs, &run_result::slot_service), colour});
        times.push_back({names[i], mean_of(variant_runs, &run_result::slot_p99), colour});
        times.push_back({"", mean_of(variant_runs, &run_result::slot_p50), colour, true});
        fetches.push_back({names[i], mean_of(variant_runs, &run_result::slot_fetches), colour});
    }
    for (auto &curve : times)
        for (double &value : curve.values)
            value = value > 0 ? value * 1000 : std::nan("");
    drawing.draw_lines("service", service, 1, false, 0);
    drawing.draw_lines("response time, ms: p99, dashed p50", times, 0, true, 0.1);
    drawing.draw_lines("origin fetches per second", fetches, 0, false, 0);
    // Fleet metrics by second, of the first run of the first variant.
    const auto &first = *by_name[names[0]][0];
    std::vector<curve> zones, groups, rates;
    for (const auto &[name, values] : first.series) {
        auto &curves = name.starts_with("zone ") ? zones : name.starts_with("group ") ? groups : rates;
        curves.push_back({name, values, colours[curves.size() % colours.size()]});
    }
    if (zones.size() > 1)
        drawing.draw_lines("service by the proxies' zone", zones, 1, false, 0);
    if (!groups.empty())
        drawing.draw_lines("service of proxies that a fault names, and of the others", groups, 1, false, 0);
    if (!rates.empty())
        drawing.draw_lines("new connections and endpoint list polls per second, all proxies", rates, 0, false,
                           0);
    drawing.draw_heat_map(names[0] + ": attempts in flight by server", by_name[names[0]][0]->in_flight);
    return drawing.text();
}

} // namespace harrierpass::testbed
