#include <LibTenants/tenant_fragment.h>

#include <LibTenants/tenant_fragment_generated.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

namespace {

flatbuffers::Offset<wire::Tenant> encodeTenant(flatbuffers::FlatBufferBuilder& builder, tenant_entry const& value)
{
    std::string digests;
    for (auto const& key : value.keys)
        digests += key.bytes();
    auto const name = writeText(builder, value.holder.name);
    auto const keys = writeBytes(builder, digests);
    auto const& priority = value.holder.priority;
    return wire::CreateTenant(builder, name,
        priority ? flatbuffers::Optional<std::uint32_t>(*priority) : flatbuffers::nullopt, value.holder.milliPerSecond,
        value.holder.burstMilli, keys);
}

tenant_entry decodeTenant(wire_reader& reader, wire::Tenant const& table)
{
    tenant_entry entry;
    entry.holder.name = reader.text(table.name());
    if (table.priority())
        entry.holder.priority = *table.priority();
    entry.holder.milliPerSecond = table.milli_per_second();
    entry.holder.burstMilli = table.burst_milli();
    auto const digests = reader.bytes(table.keys());
    for (std::size_t i = 0; i + key_digest::byteCount <= digests.size(); i += key_digest::byteCount)
        entry.keys.push_back(key_digest::fromBytes(std::string_view(digests).substr(i, key_digest::byteCount)));
    return entry;
}

result<tenant_directory> parseAligned(std::string_view content)
{
    auto const* const data = reinterpret_cast<std::uint8_t const*>(content.data());
    flatbuffers::Verifier verifier(data, content.size());
    if (content.size() <= lengthBytes || !verifier.VerifySizePrefixedBuffer<wire::TenantFragment>(nullptr))
        return corruptMessage("the tenants fragment is truncated, malformed, or followed by trailing bytes");
    wire_reader reader(content.size());
    auto const* const root = flatbuffers::GetSizePrefixedRoot<wire::TenantFragment>(data);
    auto salt = reader.bytes(root->salt());
    auto const entries = reader.list(root->tenants(), decodeTenant);
    if (reader.failure())
        return *reader.failure();
    return tenant_directory::tryCreate(std::move(salt), entries);
}

} // namespace

std::string serializeTenants(std::string const& salt, std::vector<tenant_entry> const& entries)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const tenants = writeList(builder, entries, encodeTenant);
    builder.FinishSizePrefixed(wire::CreateTenantFragment(builder, writeBytes(builder, salt), tenants));
    return { reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize() };
}

result<tenant_directory> parseTenants(std::string_view content) { return readAligned(content, parseAligned); }

} // namespace merlinpier
