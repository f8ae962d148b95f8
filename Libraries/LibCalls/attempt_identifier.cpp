#include <LibCalls/attempt_identifier.h>

#include <LibCore/digest.h>
#include <charconv>

namespace merlinpier {

namespace {

constexpr char unkeyedSeparator = '#';
constexpr char keyedSeparator = '@';

} // namespace

std::string attempt_identifier::text() const
{
    return call + (isKeyed ? keyedSeparator : unkeyedSeparator) + std::to_string(number);
}

std::optional<attempt_identifier> parseAttemptIdentifier(std::string_view text)
{
    auto const mark = text.find_last_of("#@");
    if (mark == std::string_view::npos || mark == 0)
        return std::nullopt;
    attempt_identifier parsed { std::string(text.substr(0, mark)), 0, text[mark] == keyedSeparator };
    auto const digits = text.substr(mark + 1);
    auto const [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.number);
    if (failure != std::errc() || end != digits.data() + digits.size() || parsed.number == 0)
        return std::nullopt;
    return parsed;
}

std::string keyedCallIdentifier(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    // Length prefixes make the concatenation unambiguous: ("ab", "c") differs from ("a", "bc").
    for (auto part : parts)
        joined += std::to_string(part.size()) + ':' + std::string(part);
    return "key-" + contentDigest(joined);
}

} // namespace merlinpier
