#include <LibTenants/tenant_directory.h>

#include <LibCore/digest.h>
#include <algorithm>

namespace merlinpier {

namespace {

// Longer keys are unknown without a digest, so that a long header costs no time.
constexpr std::size_t maximumKeyBytes = 1024;

error badTenants(std::string what)
{
    return { error_kind::BadInput, std::move(what), "correct the tenants and write the configuration again" };
}

} // namespace

std::uint64_t tenantHash(std::string_view name) { return hash64(name); }

result<tenant_directory> tenant_directory::tryCreate(std::string salt, std::vector<tenant_entry> const& entries)
{
    std::vector<tenant_entry const*> sorted;
    sorted.reserve(entries.size());
    for (auto const& entry : entries)
        sorted.push_back(&entry);
    std::sort(sorted.begin(), sorted.end(),
        [](auto const* first, auto const* second) { return first->holder.name < second->holder.name; });
    tenant_directory directory;
    directory.m_salt = std::move(salt);
    directory.m_tenants.reserve(entries.size());
    directory.m_hashes.reserve(entries.size());
    for (auto const* entry : sorted) {
        auto const& holder = entry->holder;
        if (!directory.m_tenants.empty() && directory.m_tenants.back().name == holder.name)
            return badTenants("two tenants are named \"" + holder.name + "\"");
        auto const index = static_cast<std::uint32_t>(directory.m_tenants.size());
        directory.m_tenants.push_back(holder);
        directory.m_hashes.push_back({ tenantHash(holder.name), index });
        for (auto const& key : entry->keys)
            directory.m_keys.push_back({ key, index });
    }
    directory.m_keys.shrink_to_fit();
    std::sort(directory.m_hashes.begin(), directory.m_hashes.end(),
        [](auto const& first, auto const& second) { return first.hash < second.hash; });
    auto& keys = directory.m_keys;
    std::sort(keys.begin(), keys.end(),
        [](auto const& first, auto const& second) { return first.digest.bytes() < second.digest.bytes(); });
    // A key that one tenant lists twice is harmless.
    auto const shared = std::adjacent_find(keys.begin(), keys.end(), [](auto const& first, auto const& second) {
        return first.digest == second.digest && first.tenantIndex != second.tenantIndex;
    });
    if (shared != keys.end()) {
        return badTenants("the tenants \"" + directory.m_tenants[shared->tenantIndex].name + "\" and \""
            + directory.m_tenants[std::next(shared)->tenantIndex].name + "\" have the same key");
    }
    std::sort(keys.begin(), keys.end(),
        [](auto const& first, auto const& second) { return first.digest.prefix() < second.digest.prefix(); });
    return directory;
}

tenant const* tenant_directory::findByKey(std::string_view key) const
{
    if (key.empty() || key.size() > maximumKeyBytes)
        return nullptr;
    auto const wanted = key_digest::of(key, m_salt);
    auto const prefix = wanted.prefix();
    auto found = std::lower_bound(m_keys.begin(), m_keys.end(), prefix,
        [](auto const& holder, std::uint64_t value) { return holder.digest.prefix() < value; });
    for (; found != m_keys.end() && found->digest.prefix() == prefix; ++found) {
        if (found->digest == wanted)
            return &m_tenants[found->tenantIndex];
    }
    return nullptr;
}

tenant const* tenant_directory::findByName(std::string_view name) const
{
    auto const found = std::lower_bound(m_tenants.begin(), m_tenants.end(), name,
        [](auto const& candidate, std::string_view value) { return candidate.name < value; });
    return found != m_tenants.end() && found->name == name ? &*found : nullptr;
}

tenant const* tenant_directory::findByHash(std::uint64_t hash) const
{
    auto const found = std::lower_bound(m_hashes.begin(), m_hashes.end(), hash,
        [](auto const& candidate, std::uint64_t value) { return candidate.hash < value; });
    return found != m_hashes.end() && found->hash == hash ? &m_tenants[found->tenantIndex] : nullptr;
}

} // namespace merlinpier
