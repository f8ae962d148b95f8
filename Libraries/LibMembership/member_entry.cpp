#include <LibMembership/member_entry.h>

#include <LibNet/endpoint.h>
#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace merlinpier {

namespace {

constexpr char escapeMark = '%';
constexpr std::size_t escapedDigits = 2;

bool isPlain(char character)
{
    return absl::ascii_isgraph(static_cast<unsigned char>(character)) && character != escapeMark;
}

// Targets choose their ids, so an id may hold any byte.
std::string escapeId(std::string const& id)
{
    std::string text;
    for (char const character : id) {
        if (isPlain(character))
            text += character;
        else
            text += escapeMark + absl::BytesToHexString(std::string(1, character));
    }
    return text;
}

std::string unescapeId(std::string_view text)
{
    std::string id;
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto const digits = std::string(text.substr(i + 1, escapedDigits));
        bool const isEscaped = text[i] == escapeMark && digits.size() == escapedDigits
            && absl::ascii_isxdigit(static_cast<unsigned char>(digits[0]))
            && absl::ascii_isxdigit(static_cast<unsigned char>(digits[1]));
        id += isEscaped ? absl::HexStringToBytes(digits) : std::string(1, text[i]);
        if (isEscaped)
            i += escapedDigits;
    }
    return id;
}

error badEntry(std::string_view reason)
{
    return { error_kind::BadInput, "no entry of a daemon: " + std::string(reason), "remove it from the store" };
}

} // namespace

std::string serializeMemberEntry(member_entry const& entry)
{
    auto text = entry.address;
    for (auto const& departure : entry.departures)
        text += " " + escapeId(departure.target) + " " + std::to_string(departure.startedAt);
    return text;
}

result<member_entry> parseMemberEntry(std::string_view text)
{
    std::vector<std::string> const words = absl::StrSplit(absl::string_view(text.data(), text.size()), ' ');
    auto const address = parseEndpoint(words.front());
    if (address.isError())
        return badEntry("it names no address");
    if (address.value().port == 0)
        return badEntry("its port is 0");
    if (words.size() % 2 == 0)
        return badEntry("a departure has no start time");
    member_entry entry { words.front(), {} };
    for (std::size_t i = 1; i < words.size(); i += 2) {
        target_departure departure { unescapeId(words[i]), 0 };
        if (departure.target.empty() || !absl::SimpleAtoi(words[i + 1], &departure.startedAt))
            return badEntry("a departure cannot be read");
        entry.departures.push_back(std::move(departure));
    }
    return entry;
}

} // namespace merlinpier
