#include <LibCore/digest.h>

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace merlinpier {

std::string contentDigest(std::string_view bytes)
{
    XXH128_hash_t const hash = XXH3_128bits(bytes.data(), bytes.size());
    return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace merlinpier
