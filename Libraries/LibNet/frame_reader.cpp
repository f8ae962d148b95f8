#include <LibNet/frame_reader.h>

#include <LibCore/process_memory.h>
#include <utility>

namespace merlinpier {

namespace {

constexpr unsigned bitsPerByte = 8;

} // namespace

std::string framePrefix(std::size_t frameBytes)
{
    std::string prefix(framePrefixBytes, '\0');
    for (std::size_t i = 0; i < framePrefixBytes; ++i)
        prefix[i] = static_cast<char>((frameBytes >> (bitsPerByte * i)) & 0xff);
    return prefix;
}

void frame_reader::append(char const* bytes, std::size_t count)
{
    // What was handed out is dropped only when it makes up most of the buffer, so that bytes are moved rarely.
    if (m_read > 0 && m_read >= waiting()) {
        m_buffer.erase(0, m_read);
        m_read = 0;
    }
    m_buffer.append(bytes, count);
    reserveForFrame();
}

// Makes room for the whole of a frame that has begun, so that the buffer does not grow to up to twice its size.
void frame_reader::reserveForFrame()
{
    if (m_read != 0 || waiting() < framePrefixBytes)
        return;
    std::size_t const size = framePrefixBytes + announcedBytes();
    if (size > m_buffer.size() && size <= framePrefixBytes + m_maximumFrameBytes)
        m_buffer.reserve(size);
}

std::optional<std::string> frame_reader::next()
{
    if (m_isOversized || waiting() < framePrefixBytes)
        return {};
    m_isPart = announcesPart();
    std::size_t const size = announcedBytes();
    if (size > m_maximumFrameBytes) {
        m_isOversized = true;
        return {};
    }
    if (waiting() < framePrefixBytes + size)
        return {};
    if (m_read == 0 && m_buffer.size() == framePrefixBytes + size) {
        m_buffer.erase(0, framePrefixBytes);
        return std::exchange(m_buffer, {});
    }
    std::string frame = m_buffer.substr(m_read + framePrefixBytes, size);
    m_read += framePrefixBytes + size;
    if (waiting() == 0) {
        m_buffer.clear();
        m_read = 0;
        releaseIfEmpty(m_buffer);
    }
    return frame;
}

std::size_t frame_reader::announcedBytes() const
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < framePrefixBytes; ++i)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(m_buffer[m_read + i])) << (bitsPerByte * i);
    // Where no parts may come, the flag makes the size one that is not allowed.
    return m_allowed == content::Parts ? size & ~static_cast<std::size_t>(partFlag) : size;
}

bool frame_reader::announcesPart() const
{
    constexpr unsigned char flag = 0x80;
    return m_allowed == content::Parts
        && (static_cast<unsigned char>(m_buffer[m_read + framePrefixBytes - 1]) & flag) != 0;
}

} // namespace merlinpier
