#include <LibConfiguration/configuration_head.h>

#include <LibCore/json_object_reader.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumHeadBytes = 1024 * 1024;
constexpr std::uint64_t maximumInteger = std::numeric_limits<std::int64_t>::max();

result<accepted_submission> readAccepted(nlohmann::json const& value)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "a recent submission"));
    accepted_submission accepted;
    accepted.id = TRY(reader.text("id"));
    accepted.version = TRY(reader.number("version", 1, maximumInteger));
    accepted.service = TRY(reader.text("service"));
    accepted.revision = TRY(reader.number("revision", 1, maximumInteger));
    accepted.owner = TRY(reader.text("owner"));
    TRY(reader.finish());
    return accepted;
}

// Checks that the listed versions are consecutive up to the head's own: a session concludes from this that a submission
// that is not listed was not accepted.
result<empty> checkRecent(configuration_head const& head)
{
    auto expected = head.version - std::min<version_number>(head.version, head.recent.size());
    for (auto const& accepted : head.recent) {
        if (accepted.version != ++expected) {
            return error { error_kind::BadInput,
                "the head of version " + std::to_string(head.version) + " lists version "
                    + std::to_string(accepted.version) + " in place of " + std::to_string(expected),
                "restore the object config/head as merlinpier wrote it" };
        }
    }
    return empty {};
}

} // namespace

std::string manifestKey(std::string const& digest) { return "config/manifests/" + digest; }

std::string fragmentKey(std::string const& digest) { return "config/fragments/" + digest; }

accepted_submission const* configuration_head::find(std::string const& id) const
{
    auto const hasSameId = [&](accepted_submission const& accepted) {
        return accepted.id == id;
    };
    auto const found = std::find_if(recent.begin(), recent.end(), hasSameId);
    return found == recent.end() ? nullptr : &*found;
}

bool configuration_head::listsVersion(version_number soughtVersion) const
{
    return !recent.empty() && soughtVersion >= recent.front().version && soughtVersion <= version;
}

configuration_head configuration_head::next(std::string const& nextManifestDigest, accepted_submission accepted) const
{
    configuration_head successor { version + 1, nextManifestDigest, recent };
    successor.recent.push_back(std::move(accepted));
    if (successor.recent.size() > maximumRecentSubmissions)
        successor.recent.erase(successor.recent.begin());
    return successor;
}

std::string serializeHead(configuration_head const& head)
{
    auto recent = nlohmann::json::array();
    for (auto const& accepted : head.recent) {
        recent.push_back({ { "id", accepted.id }, { "version", accepted.version }, { "service", accepted.service },
            { "revision", accepted.revision }, { "owner", accepted.owner } });
    }
    nlohmann::json const value { { "version", head.version }, { "manifest_digest", head.manifestDigest },
        { "recent", std::move(recent) } };
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<configuration_head> parseHead(std::string_view content)
{
    auto const value = TRY(parseStrictJson(content, maximumHeadBytes, "the head"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the head"));
    configuration_head head;
    head.version = TRY(reader.number("version", 1, maximumInteger));
    head.manifestDigest = TRY(reader.text("manifest_digest"));
    for (auto const& accepted : *TRY(reader.list("recent", maximumRecentSubmissions)))
        head.recent.push_back(TRY(readAccepted(accepted)));
    TRY(reader.finish());
    TRY(checkRecent(head));
    return head;
}

} // namespace merlinpier
