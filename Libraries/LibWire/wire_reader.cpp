#include <LibWire/wire_reader.h>

namespace merlinpier {

std::string wire_reader::text(flatbuffers::String const* string)
{
    if (string == nullptr || !spend(string->size()))
        return {};
    return string->str();
}

std::string wire_reader::bytes(flatbuffers::Vector<std::uint8_t> const* vector)
{
    if (vector == nullptr || !spend(vector->size()))
        return {};
    return { reinterpret_cast<char const*>(vector->data()), vector->size() };
}

std::vector<std::string> wire_reader::texts(flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> const* vector)
{
    std::vector<std::string> values;
    if (vector == nullptr)
        return values;
    for (flatbuffers::String const* string : *vector) {
        if (!spend(bytesPerItem))
            break;
        values.push_back(text(string));
    }
    return values;
}

std::vector<std::uint64_t> wire_reader::numbers(flatbuffers::Vector<std::uint64_t> const* vector)
{
    if (vector == nullptr || !spend(vector->size() * sizeof(std::uint64_t)))
        return {};
    // The verifier looks at the alignment of a vector's length only.
    if (reinterpret_cast<std::uintptr_t>(vector->data()) % alignof(std::uint64_t) != 0) {
        fail("numbers are not aligned");
        return {};
    }
    return { vector->begin(), vector->end() };
}

bool wire_reader::spend(std::size_t bytes)
{
    if (bytes > m_budget) {
        fail("its parts share bytes");
        return false;
    }
    m_budget -= bytes;
    return true;
}

void wire_reader::fail(char const* what)
{
    if (!m_failure)
        m_failure = corruptMessage(what);
}

error corruptMessage(std::string const& what)
{
    return { error_kind::Corrupt, "the bytes received are no message of merlinpier: " + what,
        "check that both sides are daemons of the same release and that nothing else connects to the peer port" };
}

flatbuffers::Offset<flatbuffers::String> writeText(flatbuffers::FlatBufferBuilder& builder, std::string const& value)
{
    return value.empty() ? 0 : builder.CreateString(value);
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> writeBytes(
    flatbuffers::FlatBufferBuilder& builder, std::string const& value)
{
    if (value.empty())
        return 0;
    return builder.CreateVector(reinterpret_cast<std::uint8_t const*>(value.data()), value.size());
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> writeTexts(
    flatbuffers::FlatBufferBuilder& builder, std::vector<std::string> const& values)
{
    return values.empty() ? 0 : builder.CreateVectorOfStrings(values);
}

} // namespace merlinpier
