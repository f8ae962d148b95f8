#include <LibCalls/request_fingerprint.h>

#include <LibCore/digest.h>
#include <absl/strings/str_format.h>
#include <charconv>

namespace merlinpier {

namespace {

constexpr std::size_t fingerprintDigits = 16;
constexpr int hexadecimal = 16;

} // namespace

std::uint64_t requestFingerprint(std::string_view caller, std::string_view path, std::string_view body)
{
    // Each hash seeds the next one, so that the parts cannot be shifted against each other.
    return hash64(body, hash64(path, hash64(caller)));
}

std::string fingerprintText(std::uint64_t fingerprint) { return absl::StrFormat("%016x", fingerprint); }

result<std::uint64_t> parseFingerprint(std::string_view text)
{
    std::uint64_t fingerprint = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, failure] = std::from_chars(text.data(), end, fingerprint, hexadecimal);
    if (text.size() != fingerprintDigits || failure != std::errc() || last != end)
        return error { error_kind::BadInput, "\"" + std::string(text) + "\" is no fingerprint of a request",
            "give 16 hexadecimal digits, as in request= of the log" };
    return fingerprint;
}

} // namespace merlinpier
