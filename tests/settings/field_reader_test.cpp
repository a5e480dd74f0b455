// SPDX-License-Identifier: Apache-2.0
// Tests typed access to settings: values, defaults, bounds, and errors with path and fault.
#include "settings/field_reader.hpp"

#include "base/json.hpp"
#include "settings/settings_reader.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <utility>

namespace harrierpass {
namespace {

// Returns the error that `read` throws.
template <typename Read> parse_error error_of(Read read) {
    try {
        read();
    } catch (const parse_error &error) {
        return error;
    }
    FAIL("no error");
    return parse_error("");
}

void check_error(const parse_error &error, parse_fault fault, const std::string &path,
                 const std::string &message) {
    CHECK(error.details->fault == fault);
    CHECK(error.details->location.path == path);
    CHECK(error.details->message == message);
    CHECK(error.what() == message);
    CHECK(error.reason == message);
}

} // namespace

TEST_CASE("settings: present values are converted, and absent values get their defaults") {
    const field_reader fields = read_fields("a.ms=250 a.flag=true a.one=1 a.count=-1 a.dash=- a.text=x=y");
    CHECK(fields.text("a.text") == "x=y");
    CHECK(fields.text("b").empty());
    CHECK(fields.flag("a.flag"));
    CHECK(fields.flag("a.one"));
    CHECK_FALSE(fields.flag("b"));
    CHECK(fields.number("a.ms", 7) == 250);
    CHECK(fields.number("b", 7) == 7);
    CHECK(fields.number("a.dash", 7) == 7);
    CHECK(fields.seconds("a.ms", 7) == doctest::Approx(0.25));
    CHECK(fields.seconds("b", 7) == doctest::Approx(7));
    CHECK(fields.count("a.one", 7) == 1);
    CHECK(fields.count("a.count", 7) == none);
    CHECK(fields.count("b", 7) == 7);
    CHECK(fields.choice("b", {"x"}).empty());
    CHECK(fields.choice("a.flag", {"true", "false"}) == "true");
}

TEST_CASE("settings: bounds are inclusive") {
    const field_reader fields = read_fields("low=1 high=2 ms=500");
    CHECK(fields.number_within("low", 0, 1, 2) == 1);
    CHECK(fields.number_within("high", 0, 1, 2) == 2);
    CHECK(fields.seconds_within("ms", 0, 0.5, 1) == doctest::Approx(0.5));
    check_error(error_of([&] { fields.number_within("low", 0, 1.5, 2); }), parse_fault::out_of_range, "low",
                "settings.low is 1, not from 1.5 to 2");
    check_error(error_of([&] { fields.seconds_within("ms", 0, 0, 0.25); }), parse_fault::out_of_range, "ms",
                "settings.ms is 500, not from 0 to 250");
}

TEST_CASE("settings: errors contain the path and the fault") {
    const field_reader fields = read_fields("word=abc huge=1e400 large=65537 empty=");
    check_error(error_of([&] { fields.number("word", 0); }), parse_fault::not_a_number, "word",
                "settings.word is no number");
    check_error(error_of([&] { fields.number("huge", 0); }), parse_fault::out_of_range, "huge",
                "settings.huge is no number");
    check_error(error_of([&] { fields.count("large", 0); }), parse_fault::out_of_range, "large",
                "a count is too large");
    check_error(error_of([&] {
                    fields.choice("word", {"x", "y"});
                }),
                parse_fault::unknown_choice, "word", "settings.word is 'abc', which is not known");
    constexpr std::array<std::pair<std::string_view, int>, 1> names = {{{"x", 1}}};
    CHECK(fields.kind("empty", names, 5) == 5);
    check_error(error_of([&] { fields.kind("word", names, 5); }), parse_fault::unknown_choice, "word",
                "settings.word is 'abc', which is not known");
    check_error(error_of([&] { read_router_settings(fields); }), parse_fault::missing, "useCases",
                "settings without use cases");
}

TEST_CASE("settings: the error for a pair without '=' contains its offset") {
    const parse_error error = error_of([] { read_fields("a=1 b=22 c"); });
    check_error(error, parse_fault::malformed, "", "a setting without '='");
    CHECK(error.details->location.offset == 9);
}

TEST_CASE("JSON: errors contain the offset") {
    const parse_error malformed = error_of([] { read_json(R"({"a":1,})"); });
    check_error(malformed, parse_fault::malformed, "", "JSON: expected a member name");
    CHECK(malformed.details->location.offset == 7);
    const parse_error deep = error_of([] { read_json(std::string(40, '[')); });
    check_error(deep, parse_fault::out_of_range, "", "JSON: nested too deep");
    CHECK(deep.details->location.offset == 33);
    const json value = read_json(R"({"a":"x"})");
    check_error(error_of([&] { static_cast<void>(value.number_at("a", 0)); }), parse_fault::not_a_number, "a",
                "JSON: expected a number");
}

} // namespace harrierpass
