#pragma once

#include <LibCore/result.h>
#include <LibPlatform/object_store.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Converts objects to and from the JSON of the platform's object API. Keys and values must be UTF-8 text; BadInput if
// one is not.
result<std::string> objectToJson(stored_object const&);
result<std::string> objectsToJson(std::vector<stored_object> const&);
// An object without a value, as in the answer to a write, gets an empty one. Corrupt if the JSON has another form.
result<stored_object> objectFromJson(std::string_view json);
result<std::vector<stored_object>> objectsFromJson(std::string_view json);

// Percent-encodes a key for the path of a URL, except its slashes.
std::string encodeKey(std::string_view key);

} // namespace merlinpier
