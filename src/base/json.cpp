// SPDX-License-Identifier: Apache-2.0
#include "base/json.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr int max_depth = 32; // levels, as threads have small stacks; real messages have five

// Takes a value off the text from the left; each function stands for a rule of the grammar.
class json_parser {
public:
    explicit json_parser(std::string_view text) : size_(text.size()), remaining_(text) {}

    json document() {
        json result = value(0);
        skip_whitespace();
        if (!remaining_.empty())
            fail("JSON: text after the value");
        return result;
    }

private:
    // Throws the error for what is there now.
    [[noreturn]] void fail(const char *message, parse_fault fault = parse_fault::malformed) const {
        throw parse_error(fault, {.path = {}, .offset = size_ - remaining_.size()}, message);
    }
    void skip_whitespace() {
        remaining_.remove_prefix(std::min(remaining_.find_first_not_of(" \t\r\n"), remaining_.size()));
    }
    bool take_if(char one) {
        skip_whitespace();
        if (remaining_.empty() || remaining_.front() != one)
            return false;
        remaining_.remove_prefix(1);
        return true;
    }
    void expect(char one, const char *message) {
        if (!take_if(one))
            fail(message);
    }

    json value(int depth) {
        if (depth > max_depth)
            fail("JSON: nested too deep", parse_fault::out_of_range);
        skip_whitespace();
        json result;
        const char first = remaining_.empty() ? '\0' : remaining_.front();
        if (first == '{') {
            object(result, depth);
        } else if (first == '[') {
            array(result, depth);
        } else if (first == '"') {
            result.type = json::kind::string;
            result.text = string();
        } else if (first == '-' || (first >= '0' && first <= '9')) {
            number(result);
        } else if (!literal(result, "true", json::kind::boolean) &&
                   !literal(result, "false", json::kind::boolean) &&
                   !literal(result, "null", json::kind::null)) {
            fail("JSON: no value");
        }
        return result;
    }

    bool literal(json &result, std::string_view name, json::kind is) {
        if (!remaining_.starts_with(name))
            return false;
        remaining_.remove_prefix(name.size());
        result.type = is;
        result.text = name;
        return true;
    }

    void object(json &result, int depth) {
        result.type = json::kind::object;
        remaining_.remove_prefix(1);
        if (take_if('}'))
            return;
        do {
            skip_whitespace();
            if (remaining_.empty() || remaining_.front() != '"')
                fail("JSON: no name in an object");
            std::string name = string();
            if (result.find(name) != nullptr)
                fail("JSON: a name twice in an object");
            expect(':', "JSON: no ':' after a name");
            json one = value(depth + 1);
            result.members.push_back({std::move(name), std::move(one)});
        } while (take_if(','));
        expect('}', "JSON: an object without its end");
    }

    void array(json &result, int depth) {
        result.type = json::kind::array;
        remaining_.remove_prefix(1);
        if (take_if(']'))
            return;
        do {
            result.items.push_back(value(depth + 1));
        } while (take_if(','));
        expect(']', "JSON: a list without its end");
    }

    std::size_t digits(std::size_t at) const {
        const std::size_t from = at;
        while (at < remaining_.size() && remaining_[at] >= '0' && remaining_[at] <= '9')
            ++at;
        if (at == from)
            fail("JSON: a number without digits");
        return at;
    }

    void number(json &result) {
        std::size_t at = remaining_.front() == '-' ? 1 : 0;
        const std::size_t first = at;
        at = digits(at);
        if (remaining_[first] == '0' && at > first + 1)
            fail("JSON: a number with a leading zero");
        if (at < remaining_.size() && remaining_[at] == '.')
            at = digits(at + 1);
        if (at < remaining_.size() && (remaining_[at] == 'e' || remaining_[at] == 'E')) {
            ++at;
            if (at < remaining_.size() && (remaining_[at] == '+' || remaining_[at] == '-'))
                ++at;
            at = digits(at);
        }
        result.type = json::kind::number;
        result.text = remaining_.substr(0, at);
        remaining_.remove_prefix(at);
    }

    std::uint32_t hex_code_unit() {
        if (remaining_.size() < 4)
            fail("JSON: a cut escape");
        std::uint32_t code = 0;
        const auto [end, error] = std::from_chars(remaining_.data(), remaining_.data() + 4, code, 16);
        if (error != std::errc{} || end != remaining_.data() + 4)
            fail("JSON: a bad escape");
        remaining_.remove_prefix(4);
        return code;
    }

    void escape(std::string &to) {
        if (remaining_.empty())
            fail("JSON: a cut escape");
        const char one = remaining_.front();
        remaining_.remove_prefix(1);
        constexpr std::string_view escapes = "\"\\/bfnrt", characters = "\"\\/\b\f\n\r\t";
        if (const auto at = escapes.find(one); at != std::string_view::npos) {
            to += characters[at];
            return;
        }
        if (one != 'u')
            fail("JSON: a bad escape");
        append_utf8(to, escaped_code_point());
    }

    // The code point after "\\u", which may take a pair of escapes (UTF-16 surrogates).
    std::uint32_t escaped_code_point() {
        const std::uint32_t high = hex_code_unit();
        if (high < 0xD800 || high >= 0xE000)
            return high;
        if (high >= 0xDC00 || !remaining_.starts_with("\\u"))
            fail("JSON: half a pair of escapes");
        remaining_.remove_prefix(2);
        const std::uint32_t low = hex_code_unit();
        if (low < 0xDC00 || low > 0xDFFF)
            fail("JSON: half a pair of escapes");
        return 0x10000 + ((high - 0xD800) << 10) + (low - 0xDC00);
    }

    static void append_utf8(std::string &to, std::uint32_t code) {
        const auto put = [&](std::uint32_t bits) { to += static_cast<char>(bits); };
        if (code < 0x80) {
            put(code);
            return;
        }
        if (code < 0x800) {
            put(0xC0 | code >> 6);
        } else {
            if (code < 0x10000) {
                put(0xE0 | code >> 12);
            } else {
                put(0xF0 | code >> 18);
                put(0x80 | (code >> 12 & 0x3F));
            }
            put(0x80 | (code >> 6 & 0x3F));
        }
        put(0x80 | (code & 0x3F));
    }

    std::string string() {
        remaining_.remove_prefix(1);
        std::string result;
        for (;;) {
            if (remaining_.empty())
                fail("JSON: a text without its end");
            const char one = remaining_.front();
            remaining_.remove_prefix(1);
            if (one == '"')
                return result;
            if (static_cast<unsigned char>(one) < 0x20)
                fail("JSON: a control character in a text");
            if (one == '\\')
                escape(result);
            else
                result += one;
        }
    }

    std::size_t size_; // of the text, in bytes
    std::string_view remaining_;
};

} // namespace

const json *json::find(std::string_view name) const {
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const auto &each) { return each.name == name; });
    return found == members.end() ? nullptr : &found->value;
}

std::string_view json::string_at(std::string_view name) const {
    const json *found = find(name);
    return found == nullptr ? std::string_view{} : std::string_view(found->text);
}

double json::number_at(std::string_view name, double absent) const {
    const json *found = find(name);
    return found == nullptr || found->type == kind::null
               ? absent
               : parse_number<double>(found->text, "JSON: no number",
                                      {.path = std::string(name), .offset = {}});
}

json read_json(std::string_view text) {
    return json_parser(text).document();
}

} // namespace harrierpass
