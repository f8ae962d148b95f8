#pragma once

#include <LibCore/result.h>
#include <LibPlatform/object_store.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// The platform's JSON forms of objects. Values must be UTF-8 text; writing one that is not gives BadInput.
result<std::string> objectToJson(stored_object const&);
result<std::string> objectsToJson(std::vector<stored_object> const&);
// Corrupt if the text is not such a JSON form.
result<stored_object> objectFromJson(std::string_view json);
result<std::vector<stored_object>> objectsFromJson(std::string_view json);

// Encodes a key for the path of a URL, slashes as they are.
std::string encodeKey(std::string_view key);

} // namespace merlinpier
