#include <LibConfiguration/set_rules.h>

#include <LibConfiguration/questionnaire_rules.h>

namespace merlinpier {

namespace {

constexpr std::size_t maximumServices = 256;

using service_map = std::map<std::string, service_configuration>;

error badInput(std::string message, std::string remedy)
{
    return { error_kind::BadInput, std::move(message), std::move(remedy) };
}

result<empty> checkReferences(service_map const& services, service_configuration const& configuration)
{
    for (auto const& dependency : configuration.answers.dependencies) {
        if (!services.contains(dependency)) {
            return badInput("service \"" + configuration.service + "\" depends on \"" + dependency
                    + "\", which does not exist in this version",
                "submit \"" + dependency + "\" first, or remove it from the dependencies of \"" + configuration.service
                    + "\"");
        }
    }
    for (auto const& caller : configuration.answers.allowedCallers) {
        if (caller != "*" && !services.contains(caller)) {
            return badInput("service \"" + configuration.service + "\" allows the caller \"" + caller
                    + "\", which does not exist in this version",
                "submit \"" + caller + "\" first, or remove it from allowed_callers of \"" + configuration.service
                    + "\"");
        }
    }
    return empty {};
}

result<empty> checkLicencesUnique(service_map const& services)
{
    std::map<std::string, std::string> servicesByLicence;
    for (auto const& [name, configuration] : services) {
        for (auto const& licence : configuration.answers.licences) {
            auto const [holder, isNew] = servicesByLicence.emplace(licence, name);
            if (!isNew) {
                return badInput("licence \"" + licence + "\" is listed by service \"" + holder->second
                        + "\" and by service \"" + name + "\"",
                    "a paid copy serves one service: remove the licence from one of the two");
            }
        }
    }
    return empty {};
}

} // namespace

result<empty> checkServices(service_map const& services)
{
    if (services.size() > maximumServices) {
        return badInput("a version holds at most " + std::to_string(maximumServices) + " services, not "
                + std::to_string(services.size()),
            "remove services that are no longer used");
    }
    for (auto const& [name, configuration] : services) {
        auto checked = checkQuestionnaire(configuration.answers);
        if (checked.isError())
            return badInput("service \"" + name + "\": " + checked.failure().message, checked.failure().remedy);
        TRY(checkReferences(services, configuration));
    }
    return checkLicencesUnique(services);
}

} // namespace merlinpier
