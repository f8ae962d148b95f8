#include <LibCore/json_object_reader.h>

#include <LibCore/json_text.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumDepth = 16;

// Thrown out of a parse to end it at once; never leaves this file.
struct parse_fault {
    std::string message;
    std::string remedy;
};

// Watches a parse for what the JSON library lets through: keys that stand twice and deep nesting.
class parse_watcher {
public:
    bool didMeet(nlohmann::json::parse_event_t event, nlohmann::json const& parsed)
    {
        using parse_event = nlohmann::json::parse_event_t;
        if (event == parse_event::object_start || event == parse_event::array_start)
            enter();
        if (event == parse_event::object_end || event == parse_event::array_end)
            m_keys.pop_back();
        if (event == parse_event::key)
            addKey(parsed.get_ref<std::string const&>());
        return true;
    }

private:
    void enter()
    {
        m_keys.emplace_back();
        if (m_keys.size() > maximumDepth)
            throw parse_fault { "values nest deeper than 16 levels", "remove the needless levels" };
    }

    void addKey(std::string const& key)
    {
        if (!m_keys.back().insert(key).second)
            throw parse_fault { "key \"" + key + "\" stands twice in one object", "keep one of the two" };
    }

    std::vector<std::set<std::string>> m_keys;
};

// The position is what a reader needs; the library's text around it names its own internals.
error describe(nlohmann::json::exception const& failure, std::string const& source)
{
    std::string position;
    if (auto const* parseFailure = dynamic_cast<nlohmann::json::parse_error const*>(&failure))
        position = " at byte " + std::to_string(parseFailure->byte);
    return { error_kind::BadInput, source + " is no valid JSON" + position,
        "check quotes, commas and brackets before that position; text must be UTF-8" };
}

} // namespace

result<nlohmann::json> parseStrictJson(std::string_view text, std::size_t maximumBytes, std::string const& source)
{
    if (text.size() > maximumBytes) {
        return error { error_kind::BadInput,
            source + " is " + std::to_string(text.size()) + " bytes long; at most " + std::to_string(maximumBytes)
                + " are allowed",
            "shorten it" };
    }
    if (hasZeroByte(text))
        return error { error_kind::BadInput, source + " has a zero byte",
            "remove it and check that the text is whole" };
    parse_watcher watcher;
    auto callback = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
        return watcher.didMeet(event, parsed);
    };
    try {
        return nlohmann::json::parse(text, callback);
    } catch (parse_fault const& fault) {
        return error { error_kind::BadInput, source + ": " + fault.message, fault.remedy };
    } catch (nlohmann::json::exception const& failure) {
        return describe(failure, source);
    }
}

result<json_object_reader> json_object_reader::tryCreate(nlohmann::json const& value, std::string location)
{
    if (!value.is_object()) {
        return error { error_kind::BadInput, location + " must be a JSON object, not " + value.type_name(),
            "write it in braces: {\"key\": value, ...}" };
    }
    json_object_reader reader;
    reader.m_object = &value;
    reader.m_location = std::move(location);
    return reader;
}

std::string json_object_reader::name(std::string const& key) const { return "\"" + key + "\" of " + m_location; }

bool json_object_reader::has(std::string const& key) const { return m_object->contains(key); }

result<nlohmann::json const*> json_object_reader::value(std::string const& key)
{
    m_asked.insert(key);
    auto const found = m_object->find(key);
    if (found == m_object->end())
        return error { error_kind::BadInput, "key " + name(key) + " is missing", "add it" };
    return &*found;
}

error json_object_reader::wrongType(std::string const& key, std::string const& allowed) const
{
    return { error_kind::BadInput, name(key) + " must be " + allowed + ", not " + m_object->at(key).type_name(),
        "give " + allowed };
}

result<std::string> json_object_reader::text(std::string const& key)
{
    auto const* found = TRY(value(key));
    if (!found->is_string())
        return wrongType(key, "text in quotes");
    return found->get<std::string>();
}

result<bool> json_object_reader::boolean(std::string const& key)
{
    auto const* found = TRY(value(key));
    if (!found->is_boolean())
        return wrongType(key, "true or false");
    return found->get<bool>();
}

result<std::uint64_t> json_object_reader::number(std::string const& key, std::uint64_t minimum, std::uint64_t maximum)
{
    auto const* found = TRY(value(key));
    std::string const allowed = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    if (!found->is_number())
        return wrongType(key, allowed);
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < minimum || found->get<std::uint64_t>() > maximum)
        return error { error_kind::BadInput, name(key) + " must be " + allowed + ", not " + found->dump(),
            "give " + allowed };
    return found->get<std::uint64_t>();
}

result<nlohmann::json const*> json_object_reader::list(std::string const& key, std::size_t maximumCount)
{
    auto const* found = TRY(value(key));
    if (!found->is_array())
        return wrongType(key, "a list in square brackets");
    if (found->size() > maximumCount) {
        return error { error_kind::BadInput,
            name(key) + " has " + std::to_string(found->size()) + " elements; at most " + std::to_string(maximumCount)
                + " are allowed",
            "remove elements" };
    }
    return found;
}

result<std::vector<std::string>> json_object_reader::texts(std::string const& key, std::size_t maximumCount)
{
    auto const* elements = TRY(list(key, maximumCount));
    std::vector<std::string> texts;
    for (auto const& element : *elements) {
        if (!element.is_string())
            return wrongType(key, "a list of texts in quotes");
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

result<empty> json_object_reader::finish() const
{
    for (auto const& [key, ignored] : m_object->items()) {
        if (m_asked.contains(key))
            continue;
        std::string known;
        for (auto const& asked : m_asked)
            known += (known.empty() ? "" : ", ") + asked;
        return error { error_kind::BadInput, "unknown key " + name(key),
            "remove it or correct its spelling; known keys are " + known };
    }
    return empty {};
}

} // namespace merlinpier
