#pragma once

#include <LibCore/result.h>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Parses JSON that came from outside. BadInput with the position for anything that is no JSON, nests deeper than 16
// levels, names a key twice in one object or is longer than the limit. The source's name goes into the messages.
result<nlohmann::json> parseStrictJson(std::string_view text, std::size_t maximumBytes, std::string const& source);

// Reads one JSON object key by key and refuses what was not expected. Every message names the key, what is allowed and
// the remedy. The JSON value must outlive the reader.
class json_object_reader {
public:
    // BadInput if the value is no object. The location is put before keys in messages, such as "entry_points[2]".
    static result<json_object_reader> tryCreate(nlohmann::json const&, std::string location);

    bool has(std::string const& key) const;
    result<std::string> text(std::string const& key);
    result<bool> boolean(std::string const& key);
    // A whole number within the bounds, both included.
    result<std::uint64_t> number(std::string const& key, std::uint64_t minimum, std::uint64_t maximum);
    // A list of texts.
    result<std::vector<std::string>> texts(std::string const& key, std::size_t maximumCount);
    // A list of any values, which are read further by the caller.
    result<nlohmann::json const*> list(std::string const& key, std::size_t maximumCount);
    // Any value.
    result<nlohmann::json const*> value(std::string const& key);
    // BadInput if the object holds a key that was not asked for.
    result<empty> finish() const;

    // Returns the key with its location, as it stands in messages.
    std::string name(std::string const& key) const;

private:
    json_object_reader() = default;
    error wrongType(std::string const& key, std::string const& allowed) const;

    nlohmann::json const* m_object { nullptr };
    std::string m_location;
    std::set<std::string> m_asked;
};

} // namespace merlinpier
