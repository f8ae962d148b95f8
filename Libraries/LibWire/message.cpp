#include <LibWire/message.h>

#include <LibWire/call_codec.h>
#include <LibWire/configuration_codec.h>
#include <LibWire/frames_generated.h>
#include <LibWire/link_codec.h>
#include <LibWire/membership_codec.h>

namespace merlinpier {

namespace {

// Room for everything in a message but the body of a call or an answer.
constexpr std::size_t usualBytes = 1024;

// A builder that starts with too little room doubles it, and copies what it holds each time.
std::size_t expectedBytes(message const& content)
{
    if (auto const* call = std::get_if<call_request>(&content))
        return usualBytes + call->body.size();
    if (auto const* answer = std::get_if<call_answer>(&content))
        return usualBytes + answer->body.size();
    return usualBytes;
}

template <typename Table> constexpr wire::Body bodyKind(flatbuffers::Offset<Table> const&)
{
    return wire::BodyTraits<Table>::enum_value;
}

// The verifier accepts a frame without a body and, for the sake of newer schemas, one of an unknown kind.
result<message> decodeBody(wire_reader& reader, wire::Frame const& frame)
{
    if (frame.body() == nullptr)
        return corruptMessage("it has no body");
    switch (frame.body_type()) {
    case wire::Body::NONE:
        break;
    case wire::Body::Hello:
        return message(decode(reader, *frame.body_as_Hello()));
    case wire::Body::HelloAnswer:
        return message(decode(reader, *frame.body_as_HelloAnswer()));
    case wire::Body::Ping:
        return message(decode(reader, *frame.body_as_Ping()));
    case wire::Body::Pong:
        return message(decode(reader, *frame.body_as_Pong()));
    case wire::Body::Heartbeat:
        return message(decode(reader, *frame.body_as_Heartbeat()));
    case wire::Body::HeartbeatAnswer:
        return message(decode(reader, *frame.body_as_HeartbeatAnswer()));
    case wire::Body::MembershipUpdate:
        return message(decode(reader, *frame.body_as_MembershipUpdate()));
    case wire::Body::MembershipDigest:
        return message(decode(reader, *frame.body_as_MembershipDigest()));
    case wire::Body::VersionAnnounce:
        return message(decode(reader, *frame.body_as_VersionAnnounce()));
    case wire::Body::ConfigurationRequest:
        return message(decode(reader, *frame.body_as_ConfigurationRequest()));
    case wire::Body::ConfigurationAnswer:
        return message(decode(reader, *frame.body_as_ConfigurationAnswer()));
    case wire::Body::Call:
        return message(decode(reader, *frame.body_as_Call()));
    case wire::Body::CallAnswer:
        return message(decode(reader, *frame.body_as_CallAnswer()));
    case wire::Body::CallRefused:
        return message(decode(reader, *frame.body_as_CallRefused()));
    case wire::Body::CallLost:
        return message(decode(reader, *frame.body_as_CallLost()));
    case wire::Body::CallCancel:
        return message(decode(reader, *frame.body_as_CallCancel()));
    case wire::Body::CallAcknowledge:
        return message(decode(reader, *frame.body_as_CallAcknowledge()));
    case wire::Body::CallQuery:
        return message(decode(reader, *frame.body_as_CallQuery()));
    case wire::Body::CallQueryAnswer:
        return message(decode(reader, *frame.body_as_CallQueryAnswer()));
    }
    return corruptMessage("its kind is unknown");
}

result<message> decodeAligned(std::string_view bytes)
{
    auto const* data = reinterpret_cast<std::uint8_t const*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.size() <= lengthBytes || !verifier.VerifySizePrefixedBuffer<wire::Frame>(nullptr))
        return corruptMessage("it is cut short, mixed up or followed by more bytes");
    wire_reader reader(bytes.size());
    auto decoded = decodeBody(reader, *flatbuffers::GetSizePrefixedRoot<wire::Frame>(data));
    if (reader.failure())
        return *reader.failure();
    return decoded;
}

} // namespace

std::string encodeMessage(message const& content)
{
    flatbuffers::FlatBufferBuilder builder(expectedBytes(content));
    std::visit(
        [&builder](auto const& value) {
            auto const body = encode(builder, value);
            builder.FinishSizePrefixed(wire::CreateFrame(builder, bodyKind(body), body.Union()));
        },
        content);
    return { reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize() };
}

result<message> decodeMessage(std::string_view bytes) { return readAligned(bytes, decodeAligned); }

} // namespace merlinpier
