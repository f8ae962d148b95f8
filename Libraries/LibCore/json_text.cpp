#include <LibCore/json_text.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

// No document of this project or of the platform is nested by more than ten levels.
constexpr int maximumDepth = 64;
constexpr std::string_view whiteSpace = " \t\r\n";

// Walks over JSON text without recursion. It checks only as much as it takes to find where values end.
class json_scanner {
public:
    explicit json_scanner(std::string_view text)
        : m_text(text)
    {
        skipSpace();
    }

    bool isAtEnd() const { return m_at >= m_text.size(); }
    bool consume(char wanted)
    {
        if (isAtEnd() || m_text[m_at] != wanted)
            return false;
        ++m_at;
        skipSpace();
        return true;
    }
    // Passes over one value and returns its text; empty if there is none.
    std::string_view takeValue()
    {
        std::size_t const begin = m_at;
        int depth = 0;
        while (!isAtEnd()) {
            char const character = m_text[m_at];
            if (character == '"')
                skipString();
            else if (depth == 0 && (character == ',' || character == ':' || character == '}' || character == ']'))
                break;
            else {
                if (character == '{' || character == '[')
                    ++depth;
                else if (character == '}' || character == ']')
                    --depth;
                m_deepest = std::max(m_deepest, depth);
                ++m_at;
            }
        }
        auto const value = m_text.substr(begin, m_at - begin);
        auto const last = value.find_last_not_of(whiteSpace);
        return last == std::string_view::npos ? std::string_view() : value.substr(0, last + 1);
    }
    // The number of levels by which the values taken so far are nested.
    int deepest() const { return m_deepest; }

private:
    void skipSpace() { m_at = std::min(m_text.find_first_not_of(whiteSpace, m_at), m_text.size()); }
    void skipString()
    {
        for (++m_at; !isAtEnd() && m_text[m_at] != '"'; ++m_at) {
            if (m_text[m_at] == '\\')
                ++m_at;
        }
        m_at = std::min(m_at + 1, m_text.size());
    }

    std::string_view m_text;
    std::size_t m_at { 0 };
    int m_deepest { 0 };
};

error corrupt(std::string const& what) { return { error_kind::Corrupt, what, "ask the sender what it means" }; }

} // namespace

std::optional<std::vector<json_part>> splitJson(std::string_view text)
{
    json_scanner scanner(text);
    bool const isObject = scanner.consume('{');
    if (!isObject && !scanner.consume('['))
        return std::nullopt;
    char const closing = isObject ? '}' : ']';
    std::vector<json_part> parts;
    if (scanner.consume(closing))
        return scanner.isAtEnd() ? std::optional(parts) : std::nullopt;
    while (true) {
        json_part part;
        if (isObject) {
            auto const name = parseJson(scanner.takeValue());
            if (name.isError() || !name.value().is_string() || !scanner.consume(':'))
                return std::nullopt;
            part.name = name.value().get<std::string>();
        }
        part.text = scanner.takeValue();
        if (part.text.empty())
            return std::nullopt;
        parts.push_back(std::move(part));
        if (scanner.consume(closing))
            return scanner.isAtEnd() ? std::optional(std::move(parts)) : std::nullopt;
        if (!scanner.consume(','))
            return std::nullopt;
    }
}

result<nlohmann::json> parseJson(std::string_view text)
{
    json_scanner scanner(text);
    scanner.takeValue();
    if (scanner.deepest() > maximumDepth)
        return corrupt("JSON that is nested by more than " + std::to_string(maximumDepth) + " levels");
    if (hasZeroByte(text))
        return corrupt("JSON with a zero byte");
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        return corrupt("malformed JSON, or a number out of range");
    return value;
}

bool hasZeroByte(std::string_view text) { return text.find('\0') != std::string_view::npos; }

std::string writeJson(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace merlinpier
