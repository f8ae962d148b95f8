#include <LibNet/frame_part.h>

#include <LibNet/frame_reader.h>
#include <array>

namespace merlinpier {

namespace {

constexpr std::uint32_t lastFlag = 1U << 31U;
constexpr std::uint32_t abandonedFlag = 1U << 30U;
constexpr std::uint32_t streamMask = abandonedFlag - 1;

std::uint32_t numberAt(std::string_view bytes, std::size_t offset)
{
    std::uint32_t number = 0;
    for (unsigned i = 0; i < 4; ++i)
        number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return number;
}

void appendNumber(std::string& bytes, std::uint32_t number)
{
    for (unsigned i = 0; i < 4; ++i)
        bytes += static_cast<char>((number >> (8 * i)) & 0xff);
}

} // namespace

std::string partPrefix(frame_part const& part)
{
    std::string prefix;
    appendNumber(prefix, static_cast<std::uint32_t>(partHeaderBytes + part.bytes.size()) | partFlag);
    appendNumber(
        prefix, (part.stream & streamMask) | (part.isLast ? lastFlag : 0) | (part.isAbandoned ? abandonedFlag : 0));
    appendNumber(prefix, part.frameBytes);
    return prefix;
}

bool readPartHeader(std::string_view received, frame_part& part)
{
    if (received.size() < partHeaderBytes)
        return false;
    auto const word = numberAt(received, 0);
    part.stream = word & streamMask;
    part.isLast = (word & lastFlag) != 0;
    part.isAbandoned = (word & abandonedFlag) != 0;
    part.frameBytes = numberAt(received, 4);
    return true;
}

} // namespace merlinpier
