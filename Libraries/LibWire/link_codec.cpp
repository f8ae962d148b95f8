#include <LibWire/link_codec.h>

namespace merlinpier {

flatbuffers::Offset<wire::Hello> encode(flatbuffers::FlatBufferBuilder& builder, hello const& value)
{
    auto const vm = writeText(builder, value.vm);
    auto const zone = writeText(builder, value.zone);
    auto const address = writeText(builder, value.address);
    return wire::CreateHello(builder, static_cast<wire::ConnectionPurpose>(value.purpose), vm, zone, address,
        value.instance, value.generation, value.takesParts);
}

flatbuffers::Offset<wire::HelloAnswer> encode(flatbuffers::FlatBufferBuilder& builder, hello_answer const& value)
{
    auto const vm = writeText(builder, value.vm);
    return wire::CreateHelloAnswer(builder, vm, value.instance, value.generation, value.takesParts);
}

flatbuffers::Offset<wire::Ping> encode(flatbuffers::FlatBufferBuilder& builder, ping const& value)
{
    return wire::CreatePing(builder, value.number);
}

flatbuffers::Offset<wire::Pong> encode(flatbuffers::FlatBufferBuilder& builder, pong const& value)
{
    return wire::CreatePong(builder, value.number);
}

hello decode(wire_reader& reader, wire::Hello const& table)
{
    return {
        .purpose = reader.enumerator<connection_purpose>(table.purpose()),
        .vm = reader.text(table.vm()),
        .zone = reader.text(table.zone()),
        .address = reader.text(table.address()),
        .instance = table.instance(),
        .generation = table.generation(),
        .takesParts = table.takes_parts(),
    };
}

hello_answer decode(wire_reader& reader, wire::HelloAnswer const& table)
{
    return {
        .vm = reader.text(table.vm()),
        .instance = table.instance(),
        .generation = table.generation(),
        .takesParts = table.takes_parts(),
    };
}

ping decode(wire_reader&, wire::Ping const& table) { return { .number = table.number() }; }

pong decode(wire_reader&, wire::Pong const& table) { return { .number = table.number() }; }

} // namespace merlinpier
