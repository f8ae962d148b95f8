#pragma once

#include <LibCore/error.h>
#include <LibWire/frames_generated.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Reads the fields of a verified FlatBuffers table into value types. It remembers the first thing that it could not
// accept, so that codecs can read field after field and ask once at the end. The content read is counted against the
// size of the message: tables that share bytes would otherwise let a small message unfold into a very large one.
class wire_reader {
public:
    explicit wire_reader(std::size_t messageBytes)
        : m_budget(messageBytes)
    {
    }

    // An absent string reads as empty.
    std::string text(flatbuffers::String const*);
    std::string bytes(flatbuffers::Vector<std::uint8_t> const*);
    std::vector<std::string> texts(flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> const*);
    std::vector<std::uint64_t> numbers(flatbuffers::Vector<std::uint64_t> const*);

    // Converts an enumeration of the schema to the one of the value types, whose enumerators have the same numbers.
    template <typename Value, typename Wire> Value enumerator(Wire wire)
    {
        if (wire > Wire::MAX)
            fail("an enumerator is out of range");
        return static_cast<Value>(wire);
    }

    // Reads a vector of tables with the given function, which takes this reader and one table.
    template <typename Table, typename Function>
    auto list(flatbuffers::Vector<flatbuffers::Offset<Table>> const* tables, Function const& read)
    {
        std::vector<decltype(read(*this, **tables->begin()))> values;
        if (tables == nullptr)
            return values;
        for (Table const* table : *tables) {
            if (!spend(bytesPerItem))
                break;
            values.push_back(read(*this, *table));
        }
        return values;
    }

    // The first failure, if any.
    std::optional<error> const& failure() const { return m_failure; }

private:
    // The least that an item of a vector takes in the message.
    static constexpr std::size_t bytesPerItem = 4;

    bool spend(std::size_t bytes);
    void fail(char const* what);

    std::size_t m_budget;
    std::optional<error> m_failure;
};

// FlatBuffers reads numbers in place, so bytes must lie as they would in memory from the allocator.
inline constexpr std::uintptr_t requiredAlignment = 8;
// The first bytes of a buffer hold its length, so that one cut short or followed by more is told apart.
inline constexpr std::size_t lengthBytes = sizeof(flatbuffers::uoffset_t);

// Calls the function with the bytes, or with a copy of them that is aligned.
template <typename Function> auto readAligned(std::string_view bytes, Function const& read)
{
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % requiredAlignment == 0)
        return read(bytes);
    std::string const copy(bytes);
    return read(std::string_view(copy));
}

// Returns the error for bytes that are no message.
error corruptMessage(std::string const& what);

// Writes a string, or nothing if it is empty.
flatbuffers::Offset<flatbuffers::String> writeText(flatbuffers::FlatBufferBuilder&, std::string const&);
// Writes bytes, or nothing if there are none.
flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> writeBytes(flatbuffers::FlatBufferBuilder&, std::string const&);
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> writeTexts(
    flatbuffers::FlatBufferBuilder&, std::vector<std::string> const&);

// Writes each value with the given function, which returns the offset of its table; nothing if there are no values.
template <typename Value, typename Function>
auto writeList(flatbuffers::FlatBufferBuilder& builder, std::vector<Value> const& values, Function const& write)
{
    std::vector<decltype(write(builder, values.front()))> offsets;
    offsets.reserve(values.size());
    for (auto const& value : values)
        offsets.push_back(write(builder, value));
    return offsets.empty() ? 0 : builder.CreateVector(offsets);
}

} // namespace merlinpier
