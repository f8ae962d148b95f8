#include <LibCalls/request_fingerprint.h>

#include <LibCore/digest.h>
#include <absl/strings/str_format.h>

namespace merlinpier {

std::uint64_t requestFingerprint(std::string_view caller, std::string_view path, std::string_view body)
{
    // Each hash seeds the next one, so that the parts cannot be shifted against each other.
    return hash64(body, hash64(path, hash64(caller)));
}

std::string fingerprintText(std::uint64_t fingerprint) { return absl::StrFormat("%016x", fingerprint); }

} // namespace merlinpier
