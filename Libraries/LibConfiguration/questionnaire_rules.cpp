#include <LibConfiguration/questionnaire_rules.h>

#include <algorithm>
#include <set>

namespace merlinpier {

namespace {

bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isLetterOrDigit(char character) { return isLowerOrDigit(character) || (character >= 'A' && character <= 'Z'); }

error badInput(std::string message, std::string remedy)
{
    return { error_kind::BadInput, std::move(message), std::move(remedy) };
}

std::string quoted(std::string const& text) { return "\"" + text + "\""; }

bool isLicenceIdentifier(std::string const& text)
{
    auto const isAllowed = [](char character) {
        return isLetterOrDigit(character) || std::string("._:-").find(character) != std::string::npos;
    };
    return !text.empty() && text.size() <= questionnaire_limits::nameBytes && isLetterOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), isAllowed);
}

result<empty> checkServiceName(std::string const& name, std::string const& key)
{
    if (isServiceName(name))
        return empty {};
    return badInput("\"" + key + "\" holds " + quoted(name) + ", which is not a valid service name",
        "use 1 to 63 lower-case letters, digits and hyphens, the first a letter");
}

result<empty> checkDistinct(std::vector<std::string> const& names, std::string const& key)
{
    std::set<std::string> seen;
    for (auto const& name : names) {
        if (!seen.insert(name).second)
            return badInput("\"" + key + "\" names " + quoted(name) + " twice", "remove one of the two");
    }
    return empty {};
}

template <typename Number> result<empty> checkRange(std::string const& key, Number value, std::uint64_t maximum)
{
    if (value >= 1 && static_cast<std::uint64_t>(value) <= maximum)
        return empty {};
    return badInput("\"" + key + "\" must be from 1 to " + std::to_string(maximum) + ", not " + std::to_string(value),
        "give a number in that range");
}

result<empty> checkCount(std::string const& key, std::size_t count, std::size_t minimum, std::size_t maximum)
{
    if (count >= minimum && count <= maximum)
        return empty {};
    return badInput("\"" + key + "\" must have " + std::to_string(minimum) + " to " + std::to_string(maximum)
            + " elements, not " + std::to_string(count),
        count < minimum ? "add at least one" : "remove elements");
}

result<empty> checkOwner(std::string const& owner)
{
    auto const isControl = [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == '\x7f';
    };
    if (!owner.empty() && owner.size() <= questionnaire_limits::ownerBytes
        && std::none_of(owner.begin(), owner.end(), isControl))
        return empty {};
    return badInput("\"owner\" must be 1 to 128 bytes of text without control characters",
        "name the team responsible for this service");
}

result<empty> checkDependencies(questionnaire const& answers)
{
    TRY(checkCount("dependencies", answers.dependencies.size(), 0, questionnaire_limits::dependencies));
    TRY(checkDistinct(answers.dependencies, "dependencies"));
    for (auto const& dependency : answers.dependencies) {
        TRY(checkServiceName(dependency, "dependencies"));
        if (dependency == answers.service)
            return badInput("\"dependencies\" names the service itself", "remove " + quoted(dependency));
    }
    return empty {};
}

result<empty> checkAllowedCallers(questionnaire const& answers)
{
    TRY(checkCount("allowed_callers", answers.allowedCallers.size(), 1, questionnaire_limits::allowedCallers));
    TRY(checkDistinct(answers.allowedCallers, "allowed_callers"));
    for (auto const& caller : answers.allowedCallers) {
        if (caller != "*")
            TRY(checkServiceName(caller, "allowed_callers"));
        else if (answers.allowedCallers.size() > 1)
            return badInput("\"allowed_callers\" combines \"*\" and names", "list \"*\" alone or list only names");
    }
    return empty {};
}

bool isLiteralSegment(std::string const& segment)
{
    // The characters that RFC 3986 allows in a segment without percent-encoding, so that a path has only one spelling.
    auto const isAllowed = [](char character) {
        return isLetterOrDigit(character) || std::string("-._~!$&'()*+,;=:@").find(character) != std::string::npos;
    };
    return !segment.empty() && segment != "." && segment != ".."
        && std::all_of(segment.begin(), segment.end(), isAllowed);
}

bool isPlaceholder(std::string const& segment)
{
    if (segment.size() < 3 || segment.front() != '{' || segment.back() != '}')
        return false;
    auto const isAllowed = [](char character) {
        return isLowerOrDigit(character) || character == '_';
    };
    return std::all_of(segment.begin() + 1, segment.end() - 1, isAllowed);
}

std::vector<std::string> splitPath(std::string const& path)
{
    std::vector<std::string> segments;
    for (std::size_t start = 1; start <= path.size();) {
        auto const end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return segments;
}

// Returns the path with its placeholders' names removed. Paths with equal patterns match the same requests.
std::string pathPattern(std::string const& path)
{
    std::string pattern;
    for (auto const& segment : splitPath(path))
        pattern += isPlaceholder(segment) ? "/{}" : "/" + segment;
    return pattern;
}

result<empty> checkPath(std::string const& path, std::string const& location)
{
    auto const pathError = [&](std::string const& problem) {
        return badInput(location + ": \"path\" " + quoted(path) + " " + problem,
            "write it as \"/literal/{name}\": segments of unreserved characters or a lower-case name in braces");
    };
    if (path.empty() || path.front() != '/')
        return pathError("does not begin with a slash");
    if (path.size() > questionnaire_limits::pathBytes)
        return pathError("is longer than 512 bytes");
    std::set<std::string> placeholders;
    for (auto const& segment : splitPath(path)) {
        if (path == "/")
            return empty {};
        if (isPlaceholder(segment) && !placeholders.insert(segment).second)
            return pathError("uses the placeholder " + segment + " twice");
        if (!isPlaceholder(segment) && !isLiteralSegment(segment))
            return pathError("has a bad segment " + quoted(segment));
    }
    return empty {};
}

result<empty> checkEntryPoint(entry_point_answer const& entryPoint, std::string const& location)
{
    if (!isServiceName(entryPoint.name)) {
        return badInput(
            location + ": \"name\" holds " + quoted(entryPoint.name) + ", which is not a valid entry point name",
            "use 1 to 63 lower-case letters, digits and hyphens, the first a letter");
    }
    static std::set<std::string> const methods { "GET", "POST", "PUT", "PATCH", "DELETE" };
    if (!methods.contains(entryPoint.method)) {
        return badInput(
            location + ": \"method\" must be GET, POST, PUT, PATCH or DELETE, not " + quoted(entryPoint.method),
            "choose one of the five, in capitals");
    }
    TRY(checkPath(entryPoint.path, location));
    return checkRange("deadline_ms", entryPoint.deadline.count(), questionnaire_limits::deadlineMs);
}

result<empty> checkEntryPoints(questionnaire const& answers)
{
    TRY(checkCount("entry_points", answers.entryPoints.size(), 1, questionnaire_limits::entryPoints));
    std::set<std::string> names;
    std::set<std::string> patterns;
    for (std::size_t index = 0; index < answers.entryPoints.size(); ++index) {
        auto const& entryPoint = answers.entryPoints[index];
        std::string const location = "entry_points[" + std::to_string(index) + "]";
        TRY(checkEntryPoint(entryPoint, location));
        if (!names.insert(entryPoint.name).second)
            return badInput(
                location + ": \"name\" " + quoted(entryPoint.name) + " is used twice", "rename one of the two");
        if (!patterns.insert(entryPoint.method + " " + pathPattern(entryPoint.path)).second) {
            return badInput(location + ": " + entryPoint.method + " " + entryPoint.path
                    + " matches the same requests as an earlier entry point",
                "remove one of the two or change its method or path");
        }
    }
    return empty {};
}

result<empty> checkLicences(questionnaire const& answers)
{
    TRY(checkCount("licences", answers.licences.size(), 1, questionnaire_limits::licences));
    TRY(checkDistinct(answers.licences, "licences"));
    for (auto const& licence : answers.licences) {
        if (!isLicenceIdentifier(licence)) {
            return badInput("\"licences\" holds " + quoted(licence) + ", which is not a valid licence identifier",
                "use 1 to 63 letters, digits, '.', '_', ':' and '-', the first a letter or digit");
        }
    }
    return empty {};
}

// A drain must outlast every request in flight, and a request may last as long as its deadline.
result<empty> checkDrainTime(questionnaire const& answers)
{
    TRY(checkRange("drain_time_ms", answers.drainTime.count(), questionnaire_limits::drainTimeMs));
    for (auto const& entryPoint : answers.entryPoints) {
        if (entryPoint.deadline > answers.drainTime) {
            return badInput("\"drain_time_ms\" " + std::to_string(answers.drainTime.count())
                    + " is shorter than the deadline of entry point " + quoted(entryPoint.name) + ", "
                    + std::to_string(entryPoint.deadline.count()),
                "raise drain_time_ms to the longest deadline_ms, or shorten that deadline");
        }
    }
    return empty {};
}

} // namespace

bool isServiceName(std::string const& name)
{
    auto const isAllowed = [](char character) {
        return isLowerOrDigit(character) || character == '-';
    };
    return !name.empty() && name.size() <= questionnaire_limits::nameBytes && name.front() >= 'a' && name.front() <= 'z'
        && std::all_of(name.begin(), name.end(), isAllowed);
}

result<empty> checkQuestionnaire(questionnaire const& answers)
{
    TRY(checkServiceName(answers.service, "service"));
    TRY(checkOwner(answers.owner));
    TRY(checkDependencies(answers));
    TRY(checkAllowedCallers(answers));
    TRY(checkEntryPoints(answers));
    TRY(checkLicences(answers));
    TRY(checkRange("slots_per_copy", answers.slotsPerCopy, questionnaire_limits::slotsPerCopy));
    return checkDrainTime(answers);
}

} // namespace merlinpier
