// SPDX-License-Identifier: Apache-2.0
#include "base/json.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr int max_depth = 32; // levels; bounds the recursion on small thread stacks. Messages have 5

// A recursive descent parser: each function consumes one rule of the grammar from the remaining text.
class json_parser {
public:
    explicit json_parser(std::string_view text) : size_(text.size()), remaining_(text) {}

    json document() {
        json result = value(0);
        skip_whitespace();
        if (!remaining_.empty())
            fail("JSON: unexpected text after the value");
        return result;
    }

private:
    // Throws an error at the current position.
    [[noreturn]] void fail(const char *message, parse_fault fault = parse_fault::malformed) const {
        throw parse_error(fault, {.path = {}, .offset = size_ - remaining_.size()}, message);
    }
    void skip_whitespace() {
        remaining_.remove_prefix(std::min(remaining_.find_first_not_of(" \t\r\n"), remaining_.size()));
    }
    bool consume_if(char character) {
        skip_whitespace();
        if (remaining_.empty() || remaining_.front() != character)
            return false;
        remaining_.remove_prefix(1);
        return true;
    }
    void expect(char character, const char *message) {
        if (!consume_if(character))
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
            fail("JSON: expected a value");
        }
        return result;
    }

    bool literal(json &result, std::string_view name, json::kind type) {
        if (!remaining_.starts_with(name))
            return false;
        remaining_.remove_prefix(name.size());
        result.type = type;
        result.text = name;
        return true;
    }

    void object(json &result, int depth) {
        result.type = json::kind::object;
        remaining_.remove_prefix(1);
        if (consume_if('}'))
            return;
        do {
            skip_whitespace();
            if (remaining_.empty() || remaining_.front() != '"')
                fail("JSON: expected a member name");
            std::string name = string();
            if (result.find(name) != nullptr)
                fail("JSON: duplicate member name");
            expect(':', "JSON: expected ':' after a member name");
            json member = value(depth + 1);
            result.members.push_back({std::move(name), std::move(member)});
        } while (consume_if(','));
        expect('}', "JSON: unterminated object");
    }

    void array(json &result, int depth) {
        result.type = json::kind::array;
        remaining_.remove_prefix(1);
        if (consume_if(']'))
            return;
        do {
            result.items.push_back(value(depth + 1));
        } while (consume_if(','));
        expect(']', "JSON: unterminated array");
    }

    // Returns the position after a sequence of digits.
    std::size_t skip_digits(std::size_t position) const {
        const std::size_t first_digit = position;
        while (position < remaining_.size() && remaining_[position] >= '0' && remaining_[position] <= '9')
            ++position;
        if (position == first_digit)
            fail("JSON: number without digits");
        return position;
    }

    void number(json &result) {
        std::size_t end = remaining_.front() == '-' ? 1 : 0;
        const std::size_t first_digit = end;
        end = skip_digits(end);
        if (remaining_[first_digit] == '0' && end > first_digit + 1)
            fail("JSON: number with a leading zero");
        if (end < remaining_.size() && remaining_[end] == '.')
            end = skip_digits(end + 1);
        if (end < remaining_.size() && (remaining_[end] == 'e' || remaining_[end] == 'E')) {
            ++end;
            if (end < remaining_.size() && (remaining_[end] == '+' || remaining_[end] == '-'))
                ++end;
            end = skip_digits(end);
        }
        result.type = json::kind::number;
        result.text = remaining_.substr(0, end);
        remaining_.remove_prefix(end);
    }

    // Consumes the four hexadecimal digits of a \u escape.
    std::uint32_t hex_code_unit() {
        if (remaining_.size() < 4)
            fail("JSON: incomplete escape sequence");
        std::uint32_t code = 0;
        const auto [end, error] = std::from_chars(remaining_.data(), remaining_.data() + 4, code, 16);
        if (error != std::errc{} || end != remaining_.data() + 4)
            fail("JSON: invalid escape sequence");
        remaining_.remove_prefix(4);
        return code;
    }

    // Consumes an escape sequence after its backslash and appends the character that it stands for.
    void escape(std::string &output) {
        if (remaining_.empty())
            fail("JSON: incomplete escape sequence");
        const char letter = remaining_.front();
        remaining_.remove_prefix(1);
        constexpr std::string_view escapes = "\"\\/bfnrt", characters = "\"\\/\b\f\n\r\t";
        if (const auto position = escapes.find(letter); position != std::string_view::npos) {
            output += characters[position];
            return;
        }
        if (letter != 'u')
            fail("JSON: invalid escape sequence");
        append_utf8(output, escaped_code_point());
    }

    // The code point of a \u escape; a UTF-16 surrogate pair takes two escapes.
    std::uint32_t escaped_code_point() {
        const std::uint32_t high = hex_code_unit();
        if (high < 0xD800 || high >= 0xE000)
            return high;
        if (high >= 0xDC00 || !remaining_.starts_with("\\u"))
            fail("JSON: unpaired surrogate");
        remaining_.remove_prefix(2);
        const std::uint32_t low = hex_code_unit();
        if (low < 0xDC00 || low > 0xDFFF)
            fail("JSON: unpaired surrogate");
        return 0x10000 + ((high - 0xD800) << 10) + (low - 0xDC00);
    }

    static void append_utf8(std::string &output, std::uint32_t code) {
        const auto put = [&](std::uint32_t bits) { output += static_cast<char>(bits); };
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
                fail("JSON: unterminated string");
            const char character = remaining_.front();
            remaining_.remove_prefix(1);
            if (character == '"')
                return result;
            if (static_cast<unsigned char>(character) < 0x20)
                fail("JSON: control character in a string");
            if (character == '\\')
                escape(result);
            else
                result += character;
        }
    }

    std::size_t size_; // bytes in the whole text
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

double json::number_at(std::string_view name, double default_value) const {
    const json *found = find(name);
    return found == nullptr || found->type == kind::null
               ? default_value
               : parse_number<double>(found->text, "JSON: expected a number",
                                      {.path = std::string(name), .offset = {}});
}

json read_json(std::string_view text) {
    return json_parser(text).document();
}

} // namespace harrierpass
