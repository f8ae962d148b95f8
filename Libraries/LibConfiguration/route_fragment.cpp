#include <LibConfiguration/route_fragment.h>

#include <LibConfiguration/route_fragment_generated.h>
#include <LibWire/wire_reader.h>

namespace merlinpier {

namespace {

flatbuffers::Offset<wire::RouteShare> encodeShare(
    flatbuffers::FlatBufferBuilder& builder, weighted_service const& value)
{
    return wire::CreateRouteShare(builder, writeText(builder, value.service), value.weight);
}

flatbuffers::Offset<wire::Route> encodeRoute(flatbuffers::FlatBufferBuilder& builder, route const& value)
{
    auto const name = writeText(builder, value.policy.name);
    auto const host = writeText(builder, value.host);
    auto const prefix = writeText(builder, value.pathPrefix);
    auto const services = writeList(builder, value.services, encodeShare);
    return wire::CreateRoute(builder, name, host, prefix, services, value.policy.isIdempotent, value.policy.priority,
        static_cast<std::uint32_t>(value.policy.timeout.count()),
        static_cast<std::uint32_t>(value.policy.latencyObjective.count()), value.policy.maximumAttempts,
        value.policy.isBulk, value.policy.allowsAnonymous);
}

weighted_service decodeShare(wire_reader& reader, wire::RouteShare const& table)
{
    return { .service = reader.text(table.service()), .weight = table.weight() };
}

route decodeRoute(wire_reader& reader, wire::Route const& table)
{
    route read;
    read.policy.name = reader.text(table.name());
    read.host = reader.text(table.host());
    read.pathPrefix = reader.text(table.path_prefix());
    read.services = reader.list(table.services(), decodeShare);
    read.policy.isIdempotent = table.is_idempotent();
    read.policy.priority = table.priority();
    read.policy.timeout = milliseconds(table.timeout_ms());
    read.policy.latencyObjective = milliseconds(table.latency_objective_ms());
    read.policy.maximumAttempts = table.maximum_attempts();
    read.policy.isBulk = table.is_bulk();
    read.policy.allowsAnonymous = table.allows_anonymous();
    return read;
}

result<std::vector<route>> parseAligned(std::string_view content)
{
    auto const* const data = reinterpret_cast<std::uint8_t const*>(content.data());
    flatbuffers::Verifier verifier(data, content.size());
    if (content.size() <= lengthBytes || !verifier.VerifySizePrefixedBuffer<wire::RouteFragment>(nullptr))
        return corruptMessage("a route fragment is truncated, malformed, or followed by trailing bytes");
    wire_reader reader(content.size());
    auto routes = reader.list(flatbuffers::GetSizePrefixedRoot<wire::RouteFragment>(data)->routes(), decodeRoute);
    if (reader.failure())
        return *reader.failure();
    return routes;
}

} // namespace

std::string serializeRoutes(std::vector<route> const& routes)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.FinishSizePrefixed(wire::CreateRouteFragment(builder, writeList(builder, routes, encodeRoute)));
    return { reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize() };
}

result<std::vector<route>> parseRoutes(std::string_view content) { return readAligned(content, parseAligned); }

} // namespace merlinpier
