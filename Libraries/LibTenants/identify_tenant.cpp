#include <LibTenants/identify_tenant.h>

namespace merlinpier {

tenant_identity identifyTenant(
    tenant_directory const& tenants, credential const& shown, request_circumstances circumstances)
{
    if (shown.kind == credential_kind::Key) {
        if (auto const* holder = tenants.findByKey(shown.key))
            return known_tenant { holder };
        return not_authorized { "key_unknown" };
    }
    bool const maybeOwnTarget = shown.kind == credential_kind::None && circumstances.mayBeInner;
    if (circumstances.allowsAnonymous || maybeOwnTarget)
        return no_tenant {};
    return not_authorized { shown.kind == credential_kind::None ? "key_missing" : "key_unusable" };
}

} // namespace merlinpier
