#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// Returns the XXH3 128-bit digest of the bytes as 32 lower-case hexadecimal digits. It guards against accidents and
// names content; it is no defence against somebody who forges content.
std::string contentDigest(std::string_view bytes);

// Returns a 64-bit XXH3 hash, for rendezvous hashing and table digests.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

} // namespace merlinpier
