#include <LibNet/part_assembler.h>

#include <utility>

namespace merlinpier {

namespace {

constexpr std::size_t maximumIncompleteFrames = 64;
// Bytes of incomplete frames on one connection, as a multiple of the largest frame.
constexpr std::size_t heldFrames = 4;

error corruptPart(std::string const& what)
{
    return { error_kind::Corrupt, "a part of a frame " + what,
        "check that both sides are daemons of the same release" };
}

} // namespace

part_assembler::part_assembler(std::size_t maximumFrameBytes)
    : m_maximumFrameBytes(maximumFrameBytes)
{
}

result<std::optional<std::string>> part_assembler::add(std::string_view received)
{
    frame_part part;
    if (!readPartHeader(received, part))
        return corruptPart("is too short");
    received.remove_prefix(partHeaderBytes);
    auto found = m_incomplete.find(part.stream);
    if (part.isAbandoned) {
        if (found != m_incomplete.end()) {
            m_heldBytes -= found->second.wholeSize;
            m_incomplete.erase(found);
        }
        return std::optional<std::string> {};
    }
    if (found == m_incomplete.end()) {
        bool const isTooMuch = part.frameBytes > m_maximumFrameBytes || m_incomplete.size() >= maximumIncompleteFrames
            || m_heldBytes + part.frameBytes > heldFrames * m_maximumFrameBytes;
        if (isTooMuch)
            return corruptPart("announces more bytes than are allowed");
        found = m_incomplete.try_emplace(part.stream).first;
        found->second.wholeSize = part.frameBytes;
        found->second.bytes.reserve(part.frameBytes);
        m_heldBytes += part.frameBytes;
    }
    auto& frame = found->second;
    if (part.frameBytes != frame.wholeSize || frame.bytes.size() + received.size() > frame.wholeSize)
        return corruptPart("does not belong to its frame");
    frame.bytes.append(received);
    if (!part.isLast)
        return std::optional<std::string> {};
    if (frame.bytes.size() != frame.wholeSize)
        return corruptPart("ends its frame too early");
    auto whole = std::move(frame.bytes);
    m_heldBytes -= frame.wholeSize;
    m_incomplete.erase(found);
    return std::optional<std::string>(std::move(whole));
}

} // namespace merlinpier
