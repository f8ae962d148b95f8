#include <LibLoop/http_framing.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>

namespace merlinpier {

namespace {

constexpr unsigned firstVersionWithCodings = 11;
// A length with more digits is refused before it is converted.
constexpr std::size_t maximumLengthDigits = 18;

bool isLength(std::string const& text)
{
    return !text.empty() && text.size() <= maximumLengthDigits
        && std::all_of(text.begin(), text.end(), [](char digit) { return absl::ascii_isdigit(digit); });
}

} // namespace

bool header_lines::accept(std::string_view bytes)
{
    for (char const next : bytes) {
        bool const isLineEnd = m_last == '\r' && next == '\n';
        bool const isLoneCr = m_last == '\r' && next != '\n';
        bool const isLoneLf = next == '\n' && m_last != '\r';
        bool const isFolded = m_last == '\n' && (next == ' ' || next == '\t');
        if (!isLineEnd && (isLoneCr || isLoneLf || isFolded || next == '\0'))
            return false;
        m_last = next;
    }
    return true;
}

bool isUnambiguous(message_framing const& framing)
{
    if (framing.transferCodings.empty())
        return framing.lengths.empty() || (framing.lengths.size() == 1 && isLength(framing.lengths.front()));
    return framing.version >= firstVersionWithCodings && framing.lengths.empty() && framing.transferCodings.size() == 1
        && absl::EqualsIgnoreCase(framing.transferCodings.front(), "chunked");
}

} // namespace merlinpier
