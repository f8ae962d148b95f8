#include <LibPlatform/object_codec.h>

#include <LibCore/json_text.h>
#include <LibCore/log.h>
#include <LibHttp/http_message.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

using nlohmann::json;

error malformedAnswerError()
{
    return error { error_kind::Corrupt, "the platform's answer is not valid JSON for objects",
        "check that the platform's address names the object API" };
}

json toJson(stored_object const& object)
{
    return json { { "key", object.key }, { "revision", object.revision }, { "value", object.value } };
}

result<std::string> dump(json const& document)
{
    try {
        return document.dump();
    } catch (json::type_error const&) {
        return error { error_kind::BadInput, "a key or value is not UTF-8 text", "encode binary values as text" };
    }
}

result<stored_object> fromJson(json const& document)
{
    if (!document.is_object() || !document.contains("key") || !document["key"].is_string()
        || !document.contains("revision") || !document["revision"].is_number_unsigned())
        return malformedAnswerError();
    stored_object object { document["key"].get<std::string>(), document["revision"].get<std::uint64_t>(), {} };
    // The answer to a write leaves out the value.
    if (!document.contains("value"))
        return object;
    if (!document["value"].is_string())
        return malformedAnswerError();
    object.value = document["value"].get<std::string>();
    return object;
}

} // namespace

result<std::string> objectToJson(stored_object const& object) { return dump(toJson(object)); }

result<std::string> objectsToJson(std::vector<stored_object> const& objects)
{
    json list = json::array();
    for (auto const& object : objects)
        list.push_back(toJson(object));
    return dump(json { { "objects", std::move(list) } });
}

result<stored_object> objectFromJson(std::string_view text) { return fromJson(TRY(parseJson(text))); }

result<std::vector<stored_object>> objectsFromJson(std::string_view text)
{
    auto const members = splitJson(text);
    if (!members)
        return malformedAnswerError();
    auto const list
        = std::find_if(members->begin(), members->end(), [](auto const& member) { return member.name == "objects"; });
    auto const entries = list == members->end() ? std::nullopt : splitJson(list->text);
    if (!entries || !list->text.starts_with('['))
        return malformedAnswerError();
    std::vector<stored_object> objects;
    for (auto const& entry : *entries) {
        // Others may write objects as well; one that cannot be read hides no other.
        auto object = objectFromJson(entry.text);
        if (object.isError())
            logWarning("object_unreadable", { { "reason", object.failure().text() } });
        else
            objects.push_back(object.releaseValue());
    }
    return objects;
}

std::string encodeKey(std::string_view key)
{
    std::string encoded;
    while (true) {
        auto const slash = key.find('/');
        encoded += percentEncode(key.substr(0, slash));
        if (slash == std::string_view::npos)
            return encoded;
        encoded += '/';
        key.remove_prefix(slash + 1);
    }
}

} // namespace merlinpier
