#include <LibWire/configuration_codec.h>

namespace merlinpier {

namespace {

flatbuffers::Offset<wire::Fragment> encodeFragment(flatbuffers::FlatBufferBuilder& builder, wire_fragment const& value)
{
    auto const service = writeText(builder, value.service);
    auto const digest = writeText(builder, value.digest);
    auto const content = writeText(builder, value.content);
    return wire::CreateFragment(builder, service, digest, content);
}

wire_fragment decodeFragment(wire_reader& reader, wire::Fragment const& table)
{
    return {
        .service = reader.text(table.service()),
        .digest = reader.text(table.digest()),
        .content = reader.text(table.content()),
    };
}

} // namespace

flatbuffers::Offset<wire::VersionAnnounce> encode(
    flatbuffers::FlatBufferBuilder& builder, version_announce const& value)
{
    auto const manifestDigest = writeText(builder, value.manifestDigest);
    return wire::CreateVersionAnnounce(builder, value.version, manifestDigest);
}

flatbuffers::Offset<wire::ConfigurationRequest> encode(
    flatbuffers::FlatBufferBuilder& builder, configuration_request const& value)
{
    auto const knownDigests = writeTexts(builder, value.knownDigests);
    return wire::CreateConfigurationRequest(builder, value.version, knownDigests);
}

flatbuffers::Offset<wire::ConfigurationAnswer> encode(
    flatbuffers::FlatBufferBuilder& builder, configuration_answer const& value)
{
    auto const manifest = writeText(builder, value.manifest);
    auto const fragments = writeList(builder, value.fragments, encodeFragment);
    return wire::CreateConfigurationAnswer(builder, value.version, manifest, fragments);
}

version_announce decode(wire_reader& reader, wire::VersionAnnounce const& table)
{
    return { .version = table.version(), .manifestDigest = reader.text(table.manifest_digest()) };
}

configuration_request decode(wire_reader& reader, wire::ConfigurationRequest const& table)
{
    return { .version = table.version(), .knownDigests = reader.texts(table.known_digests()) };
}

configuration_answer decode(wire_reader& reader, wire::ConfigurationAnswer const& table)
{
    return {
        .version = table.version(),
        .manifest = reader.text(table.manifest()),
        .fragments = reader.list(table.fragments(), decodeFragment),
    };
}

} // namespace merlinpier
