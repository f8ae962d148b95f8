#pragma once

#include <LibTenants/tenant_directory.h>
#include <string_view>
#include <variant>

namespace merlinpier {

// What a request shows to prove whose it is.
enum class credential_kind {
    // Nothing at all, as calls by targets do.
    None,
    // Something that is no key: another scheme, an empty key, or more than one.
    Unusable,
    Key,
};

struct credential {
    credential_kind kind { credential_kind::None };
    // With Key. Refers to the request's own bytes.
    std::string_view key {};

    bool operator==(credential const&) const = default;
};

// What is known of a request apart from its credential.
struct request_circumstances {
    // The route needs no key.
    bool allowsAnonymous { false };
    // The target of this VM may have made the call.
    bool mayBeInner { false };

    bool operator==(request_circumstances const&) const = default;
};

// The request belongs to this tenant.
struct known_tenant {
    tenant const* holder { nullptr };
    bool operator==(known_tenant const&) const = default;
};
// The request belongs to no tenant and may run.
struct no_tenant {
    bool operator==(no_tenant const&) const = default;
};
// The request must not run.
struct not_authorized {
    char const* reason { "" };
    bool operator==(not_authorized const&) const = default;
};
using tenant_identity = std::variant<known_tenant, no_tenant, not_authorized>;

// Decides whose a request is. A key that no tenant has is refused on routes without authorization as well, since no
// target may run a request with such a key.
tenant_identity identifyTenant(tenant_directory const&, credential const&, request_circumstances);

} // namespace merlinpier
