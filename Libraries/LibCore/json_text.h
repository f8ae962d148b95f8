#pragma once

#include <LibCore/result.h>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// A member of a JSON object, or an element of an array, which has no name: the text of its value as it stands.
struct json_part {
    std::string name;
    std::string_view text;

    bool operator==(json_part const&) const = default;
};

// Splits an object or array into its parts, without reading them, so that one that cannot be read costs itself alone.
// Nothing if the text is no object or array. The parts point into the text.
std::optional<std::vector<json_part>> splitJson(std::string_view);

// Reads a whole document from another process. Corrupt if it is malformed, holds a number that is out of range, or is
// nested so deeply that copying it could overflow the stack.
result<nlohmann::json> parseJson(std::string_view);

// The parser takes a zero byte for the end of the text, so what follows it would go unread. JSON text has none.
bool hasZeroByte(std::string_view);

// Writes a document. Bytes that are no UTF-8, as names that other processes choose may have, are replaced.
std::string writeJson(nlohmann::json const&);

} // namespace merlinpier
