#pragma once

#include <LibCore/result.h>
#include <LibTenants/key_digest.h>
#include <LibTenants/tenant.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// A tenant with the digests of its keys.
struct tenant_entry {
    tenant holder;
    std::vector<key_digest> keys;

    bool operator==(tenant_entry const&) const = default;
};

// The tenants of one version of the configuration, found by key or by name. Immutable.
class tenant_directory {
public:
    tenant_directory() = default;
    // BadInput if two tenants have the same name, or one key belongs to two tenants.
    static result<tenant_directory> tryCreate(std::string salt, std::vector<tenant_entry> const&);

    // Returns the tenant that the key belongs to, or null.
    tenant const* findByKey(std::string_view key) const;
    tenant const* findByName(std::string_view name) const;
    // Returns the tenant whose name has this hash (see tenantHash()), or null.
    tenant const* findByHash(std::uint64_t hash) const;
    // In order of name.
    std::vector<tenant> const& tenants() const { return m_tenants; }
    bool isEmpty() const { return m_tenants.empty(); }

private:
    struct key_holder {
        key_digest digest;
        std::uint32_t tenantIndex { 0 };
    };
    struct hashed_name {
        std::uint64_t hash { 0 };
        std::uint32_t tenantIndex { 0 };
    };

    std::string m_salt;
    std::vector<tenant> m_tenants;
    // In order of the digests' prefixes.
    std::vector<key_holder> m_keys;
    // In order of the hashes.
    std::vector<hashed_name> m_hashes;
};

// The hash that names a tenant between daemons.
std::uint64_t tenantHash(std::string_view name);

} // namespace merlinpier
