#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Checks the lines of a message's header as they arrive. Lines that others may end elsewhere are refused: a CR or LF
// alone, a zero byte, and a line that is folded (RFC 9112, sections 2.2 and 5.2).
class header_lines {
public:
    // Takes the next bytes of the header; false if they must be refused.
    bool accept(std::string_view bytes);

private:
    char m_last { '\0' };
};

// The parts of a header that say where the message ends.
struct message_framing {
    // 11 for HTTP/1.1.
    unsigned version { 11 };
    // The values of Transfer-Encoding and Content-Length, one for each field.
    std::vector<std::string> transferCodings;
    std::vector<std::string> lengths;

    bool operator==(message_framing const&) const = default;
};

// Whether every recipient finds the end of the message at the same place (RFC 9112, sections 6.1 to 6.3): it has one
// length, or the coding "chunked" alone, or neither.
bool isUnambiguous(message_framing const&);

} // namespace merlinpier
