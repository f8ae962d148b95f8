#include <LibSettings/settings_reader.h>

#include <LibCore/json_object_reader.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace merlinpier {

namespace {

constexpr std::size_t maximumSettingsBytes = 256 * 1024;
constexpr char const* endpointForm = "an IP number with a port, such as \"10.0.0.1:7000\"";

std::string quoted(std::string const& text) { return "\"" + text + "\""; }

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    auto const [end, status] = std::from_chars(text.data(), text.data() + text.size(), port);
    return status == std::errc() && end == text.data() + text.size();
}

bool isEndpoint(std::string const& text)
{
    auto const colon = text.find(':');
    if (colon == std::string::npos || !isPort(std::string_view(text).substr(colon + 1)))
        return false;
    in_addr parsed {};
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1;
}

} // namespace

struct settings_reader_internals {
    nlohmann::json object;
    std::string source;
    std::set<std::string> asked;
    std::vector<error> faults;

    void addFault(std::string message, std::string remedy)
    {
        faults.push_back({ error_kind::BadSettings, std::move(message), std::move(remedy) });
    }

    nlohmann::json const* find(std::string const& key)
    {
        asked.insert(key);
        auto const found = object.find(key);
        return found == object.end() ? nullptr : &*found;
    }

    nlohmann::json const* require(std::string const& key)
    {
        auto const* found = find(key);
        if (!found)
            addFault("key " + quoted(key) + " is missing", "add it");
        return found;
    }

    void addWrongValue(std::string const& key, std::string const& allowed, nlohmann::json const& value)
    {
        addFault(quoted(key) + " must be " + allowed + ", not "
                + value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            "give " + allowed);
    }

    std::string readText(std::string const& key, nlohmann::json const& value, std::string fallback)
    {
        if (value.is_string() && !value.get_ref<std::string const&>().empty())
            return value.get<std::string>();
        addWrongValue(key, "text in quotes that is not empty", value);
        return fallback;
    }

    std::int64_t readNumber(std::string const& key, nlohmann::json const& value, std::int64_t minimum,
        std::int64_t maximum, std::int64_t fallback)
    {
        // An unsigned number above the signed range would turn negative when read as a signed one.
        bool const isTooLarge = value.is_number_unsigned()
            && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (value.is_number_integer() && !isTooLarge) {
            auto const number = value.get<std::int64_t>();
            if (number >= minimum && number <= maximum)
                return number;
        }
        addWrongValue(key, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum), value);
        return fallback;
    }

    std::string readEndpoint(std::string const& key, nlohmann::json const& value, std::string fallback)
    {
        if (value.is_string() && isEndpoint(value.get_ref<std::string const&>()))
            return value.get<std::string>();
        addWrongValue(key, endpointForm, value);
        return fallback;
    }

    void addUnknownKeys()
    {
        std::string known;
        for (auto const& key : asked)
            known += (known.empty() ? "" : ", ") + key;
        for (auto const& [key, ignored] : object.items()) {
            if (!asked.contains(key))
                addFault("unknown key " + quoted(key), "remove it or correct its spelling; known keys are " + known);
        }
    }
};

result<settings_reader> settings_reader::tryCreate(std::string_view json, std::string sourceName)
{
    auto parsed = parseStrictJson(json, maximumSettingsBytes, sourceName);
    if (parsed.isError())
        return error { error_kind::BadSettings, parsed.failure().message, parsed.failure().remedy };
    if (!parsed.value().is_object()) {
        return error { error_kind::BadSettings,
            sourceName + " must be a JSON object, not " + parsed.value().type_name(),
            "write the settings in braces: {\"key\": value, ...}" };
    }
    settings_reader reader;
    reader.m_internals = std::make_shared<settings_reader_internals>();
    reader.m_internals->object = parsed.releaseValue();
    reader.m_internals->source = std::move(sourceName);
    return reader;
}

result<settings_reader> settings_reader::tryCreateFromFile(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        return error { error_kind::BadSettings, "the settings file " + path + " cannot be read, or is empty",
            "check the path and the permissions" };
    }
    return tryCreate(content.str(), path);
}

std::string settings_reader::requiredText(std::string const& key)
{
    auto const* value = m_internals->require(key);
    return value ? m_internals->readText(key, *value, "") : "";
}

std::string settings_reader::text(std::string const& key, std::string fallback)
{
    auto const* value = m_internals->find(key);
    return value ? m_internals->readText(key, *value, std::move(fallback)) : fallback;
}

std::string settings_reader::choice(
    std::string const& key, std::vector<std::string> const& allowed, std::string fallback)
{
    auto const* value = m_internals->find(key);
    if (!value)
        return fallback;
    if (value->is_string() && std::find(allowed.begin(), allowed.end(), value->get<std::string>()) != allowed.end())
        return value->get<std::string>();
    std::string names;
    for (auto const& name : allowed)
        names += (names.empty() ? "" : ", ") + quoted(name);
    m_internals->addWrongValue(key, "one of " + names, *value);
    return fallback;
}

std::int64_t settings_reader::number(
    std::string const& key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    auto const* value = m_internals->find(key);
    return value ? m_internals->readNumber(key, *value, minimum, maximum, fallback) : fallback;
}

std::int64_t settings_reader::requiredNumber(std::string const& key, std::int64_t minimum, std::int64_t maximum)
{
    auto const* value = m_internals->require(key);
    return value ? m_internals->readNumber(key, *value, minimum, maximum, minimum) : minimum;
}

std::string settings_reader::requiredEndpoint(std::string const& key)
{
    auto const* value = m_internals->require(key);
    return value ? m_internals->readEndpoint(key, *value, "") : "";
}

std::string settings_reader::endpointText(std::string const& key, std::string fallback)
{
    auto const* value = m_internals->find(key);
    return value ? m_internals->readEndpoint(key, *value, std::move(fallback)) : fallback;
}

std::vector<std::string> settings_reader::endpoints(std::string const& key)
{
    auto const* value = m_internals->find(key);
    if (!value)
        return {};
    if (!value->is_array()) {
        m_internals->addWrongValue(key, std::string("a list, each element ") + endpointForm, *value);
        return {};
    }
    std::vector<std::string> endpoints;
    for (std::size_t index = 0; index < value->size(); ++index)
        endpoints.push_back(m_internals->readEndpoint(key + "[" + std::to_string(index) + "]", value->at(index), ""));
    return endpoints;
}

void settings_reader::addFault(std::string message, std::string remedy)
{
    m_internals->addFault(std::move(message), std::move(remedy));
}

result<empty> settings_reader::finish()
{
    m_internals->addUnknownKeys();
    auto const& faults = m_internals->faults;
    if (faults.empty())
        return empty {};
    if (faults.size() == 1)
        return error { error_kind::BadSettings, m_internals->source + ": " + faults[0].message, faults[0].remedy };
    std::string message = m_internals->source + " has " + std::to_string(faults.size()) + " faults:";
    for (auto const& fault : faults)
        message += "\n  " + fault.message + " (remedy: " + fault.remedy + ")";
    return error { error_kind::BadSettings, message, "mend each fault, then check with --check-settings" };
}

} // namespace merlinpier
