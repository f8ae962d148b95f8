#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// The keyed BLAKE2b digest of a tenant's key. Only digests are distributed and kept; the keys themselves stay in the
// operator's document.
class key_digest {
public:
    static constexpr std::size_t byteCount = 16;

    // An empty salt is valid and gives digests without a key.
    static key_digest of(std::string_view key, std::string_view salt);
    // The bytes must be byteCount in number.
    static key_digest fromBytes(std::string_view bytes);

    std::string_view bytes() const { return { reinterpret_cast<char const*>(m_bytes.data()), m_bytes.size() }; }
    // The first eight bytes, to find candidates by.
    std::uint64_t prefix() const;

    // Takes the same time whether or not the digests are equal.
    bool operator==(key_digest const&) const;

private:
    std::array<std::uint8_t, byteCount> m_bytes {};
};

// Derives the salt of a set of keys from a text that describes the set: equal texts give equal salts, so that all
// readers of one document make equal digests.
std::string deriveKeySalt(std::string_view text);

} // namespace merlinpier
