#include <LibTenants/key_digest.h>

#include <algorithm>
#include <cstring>
#include <sodium.h>

namespace merlinpier {

namespace {

constexpr std::size_t saltBytes = 32;
constexpr std::string_view saltPurpose = "merlinpier tenant keys";
static_assert(saltBytes >= crypto_generichash_KEYBYTES_MIN && saltBytes <= crypto_generichash_KEYBYTES_MAX);

unsigned char const* unsignedBytes(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

} // namespace

key_digest key_digest::of(std::string_view key, std::string_view salt)
{
    key_digest digest;
    crypto_generichash(digest.m_bytes.data(), byteCount, unsignedBytes(key), key.size(), unsignedBytes(salt),
        std::min<std::size_t>(salt.size(), crypto_generichash_KEYBYTES_MAX));
    return digest;
}

key_digest key_digest::fromBytes(std::string_view bytes)
{
    key_digest digest;
    std::copy_n(bytes.begin(), std::min(bytes.size(), byteCount), digest.m_bytes.begin());
    return digest;
}

std::uint64_t key_digest::prefix() const
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, m_bytes.data(), sizeof prefix);
    return prefix;
}

bool key_digest::operator==(key_digest const& other) const
{
    return sodium_memcmp(m_bytes.data(), other.m_bytes.data(), byteCount) == 0;
}

std::string deriveKeySalt(std::string_view text)
{
    std::string salt(saltBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(salt.data()), salt.size(), unsignedBytes(text), text.size(),
        unsignedBytes(saltPurpose), saltPurpose.size());
    return salt;
}

} // namespace merlinpier
