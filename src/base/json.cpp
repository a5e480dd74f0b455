// SPDX-License-Identifier: Apache-2.0
#include "base/json.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace harrierpass {
namespace {

constexpr int most_depth = 32; // levels; guards the small stacks, real messages have five

class reader {
public:
    explicit reader(std::string_view text) : left_(text) {}

    json whole() {
        json made = value(0);
        space();
        if (!left_.empty())
            throw parse_error{"JSON: text after the value"};
        return made;
    }

private:
    void space() { left_.remove_prefix(std::min(left_.find_first_not_of(" \t\r\n"), left_.size())); }
    bool next_is(char one) {
        space();
        if (left_.empty() || left_.front() != one)
            return false;
        left_.remove_prefix(1);
        return true;
    }
    void need(char one, const char *fault) {
        if (!next_is(one))
            throw parse_error{fault};
    }

    json value(int depth) {
        if (depth > most_depth)
            throw parse_error{"JSON: nested too deep"};
        space();
        json made;
        const char first = left_.empty() ? '\0' : left_.front();
        if (first == '{') {
            object(made, depth);
        } else if (first == '[') {
            list(made, depth);
        } else if (first == '"') {
            made.type = json::kind::string;
            made.text = string();
        } else if (first == '-' || (first >= '0' && first <= '9')) {
            number(made);
        } else if (!word(made, "true", json::kind::boolean) && !word(made, "false", json::kind::boolean) &&
                   !word(made, "null", json::kind::null)) {
            throw parse_error{"JSON: no value"};
        }
        return made;
    }

    bool word(json &made, std::string_view name, json::kind is) {
        if (!left_.starts_with(name))
            return false;
        left_.remove_prefix(name.size());
        made.type = is;
        made.text = name;
        return true;
    }

    void object(json &made, int depth) {
        made.type = json::kind::object;
        left_.remove_prefix(1);
        if (next_is('}'))
            return;
        do {
            space();
            if (left_.empty() || left_.front() != '"')
                throw parse_error{"JSON: no name in an object"};
            std::string name = string();
            if (made.find(name) != nullptr)
                throw parse_error{"JSON: a name twice in an object"};
            need(':', "JSON: no ':' after a name");
            json one = value(depth + 1);
            made.members.push_back({std::move(name), std::move(one)});
        } while (next_is(','));
        need('}', "JSON: an object without its end");
    }

    void list(json &made, int depth) {
        made.type = json::kind::array;
        left_.remove_prefix(1);
        if (next_is(']'))
            return;
        do {
            made.items.push_back(value(depth + 1));
        } while (next_is(','));
        need(']', "JSON: a list without its end");
    }

    std::size_t digits(std::size_t at) const {
        const std::size_t from = at;
        while (at < left_.size() && left_[at] >= '0' && left_[at] <= '9')
            ++at;
        if (at == from)
            throw parse_error{"JSON: a number without digits"};
        return at;
    }

    void number(json &made) {
        std::size_t at = left_.front() == '-' ? 1 : 0;
        const std::size_t first = at;
        at = digits(at);
        if (left_[first] == '0' && at > first + 1)
            throw parse_error{"JSON: a number with a leading zero"};
        if (at < left_.size() && left_[at] == '.')
            at = digits(at + 1);
        if (at < left_.size() && (left_[at] == 'e' || left_[at] == 'E')) {
            ++at;
            if (at < left_.size() && (left_[at] == '+' || left_[at] == '-'))
                ++at;
            at = digits(at);
        }
        made.type = json::kind::number;
        made.text = left_.substr(0, at);
        left_.remove_prefix(at);
    }

    std::uint32_t four_hex() {
        if (left_.size() < 4)
            throw parse_error{"JSON: a cut escape"};
        std::uint32_t code = 0;
        const auto [end, error] = std::from_chars(left_.data(), left_.data() + 4, code, 16);
        if (error != std::errc{} || end != left_.data() + 4)
            throw parse_error{"JSON: a bad escape"};
        left_.remove_prefix(4);
        return code;
    }

    void escape(std::string &to) {
        if (left_.empty())
            throw parse_error{"JSON: a cut escape"};
        const char one = left_.front();
        left_.remove_prefix(1);
        constexpr std::string_view from = "\"\\/bfnrt", meant = "\"\\/\b\f\n\r\t";
        if (const auto at = from.find(one); at != std::string_view::npos) {
            to += meant[at];
            return;
        }
        if (one != 'u')
            throw parse_error{"JSON: a bad escape"};
        std::uint32_t code = four_hex();
        if (code >= 0xD800 && code < 0xDC00) {
            if (!left_.starts_with("\\u"))
                throw parse_error{"JSON: half a pair of escapes"};
            left_.remove_prefix(2);
            const std::uint32_t low = four_hex();
            if (low < 0xDC00 || low > 0xDFFF)
                throw parse_error{"JSON: half a pair of escapes"};
            code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
        } else if (code >= 0xDC00 && code < 0xE000) {
            throw parse_error{"JSON: half a pair of escapes"};
        }
        const auto put = [&](std::uint32_t bits) { to += static_cast<char>(bits); };
        if (code < 0x80) {
            put(code);
        } else if (code < 0x800) {
            put(0xC0 | code >> 6);
            put(0x80 | (code & 0x3F));
        } else {
            if (code < 0x10000) {
                put(0xE0 | code >> 12);
            } else {
                put(0xF0 | code >> 18);
                put(0x80 | (code >> 12 & 0x3F));
            }
            put(0x80 | (code >> 6 & 0x3F));
            put(0x80 | (code & 0x3F));
        }
    }

    std::string string() {
        left_.remove_prefix(1);
        std::string made;
        for (;;) {
            if (left_.empty())
                throw parse_error{"JSON: a text without its end"};
            const char one = left_.front();
            left_.remove_prefix(1);
            if (one == '"')
                return made;
            if (static_cast<unsigned char>(one) < 0x20)
                throw parse_error{"JSON: a control character in a text"};
            if (one == '\\')
                escape(made);
            else
                made += one;
        }
    }

    std::string_view left_;
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
               : parse_number<double>(found->text, "JSON: no number");
}

json read_json(std::string_view text) {
    return reader(text).whole();
}

} // namespace harrierpass
