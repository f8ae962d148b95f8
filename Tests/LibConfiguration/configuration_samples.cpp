#include <Tests/LibConfiguration/configuration_samples.h>

#include <LibCore/digest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace merlinpier {

questionnaire sampleAnswers(std::string const& service)
{
    questionnaire answers;
    answers.service = service;
    answers.owner = "team " + service;
    answers.allowedCallers = { "*" };
    answers.entryPoints
        = { { "list", "GET", "/" + service + "/{hall}", true, call_class::Interactive, milliseconds(800) } };
    answers.licences = { service + "-1", service + "-2" };
    answers.slotsPerCopy = 6;
    answers.drainTime = milliseconds(5000);
    return answers;
}

result<questionnaire> exampleAnswers(std::string const& name)
{
    std::ifstream file(std::string(MERLINPIER_SOURCE_DIR) + "/examples/" + name + ".json");
    std::ostringstream content;
    content << file.rdbuf();
    return parseQuestionnaire(content.str());
}

std::vector<wire_fragment> fragmentsOf(std::vector<questionnaire> const& services, std::uint64_t revision)
{
    std::vector<wire_fragment> fragments;
    for (auto const& answers : services) {
        auto content = serializeServiceConfiguration(generateServiceConfiguration(answers, revision));
        auto digest = contentDigest(content);
        fragments.push_back({ answers.service, std::move(digest), std::move(content) });
    }
    std::sort(fragments.begin(), fragments.end(),
        [](wire_fragment const& left, wire_fragment const& right) { return left.service < right.service; });
    return fragments;
}

manifest manifestOf(version_number version, std::vector<wire_fragment> const& fragments, std::uint64_t revision)
{
    manifest versionManifest { version, 0, {} };
    for (auto const& fragment : fragments)
        versionManifest.entries.push_back({ fragment.service, revision, fragment.digest });
    return versionManifest;
}

result<std::shared_ptr<configuration_set const>> buildSet(
    version_number version, std::vector<questionnaire> const& services, std::uint64_t revision)
{
    auto const fragments = fragmentsOf(services, revision);
    return configuration_set::tryCreate(manifestOf(version, fragments, revision), fragments);
}

} // namespace merlinpier
