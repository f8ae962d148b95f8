#include <LibConfiguration/questionnaire_rules.h>

#include <algorithm>
#include <set>

namespace merlinpier {

namespace {

bool isLowerOrDigit(char letter) { return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9'); }

bool isLetterOrDigit(char letter) { return isLowerOrDigit(letter) || (letter >= 'A' && letter <= 'Z'); }

error badInput(std::string message, std::string remedy)
{
    return { error_kind::BadInput, std::move(message), std::move(remedy) };
}

std::string quoted(std::string const& text) { return "\"" + text + "\""; }

bool isLicence(std::string const& text)
{
    auto const isAllowed = [](char letter) {
        return isLetterOrDigit(letter) || std::string("._:-").find(letter) != std::string::npos;
    };
    return !text.empty() && text.size() <= questionnaire_limits::nameBytes && isLetterOrDigit(text.front())
        && std::all_of(text.begin(), text.end(), isAllowed);
}

result<empty> checkServiceName(std::string const& name, std::string const& key)
{
    if (isServiceName(name))
        return empty {};
    return badInput("\"" + key + "\" holds " + quoted(name) + ", which is no service name",
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
    auto const isControl = [](char letter) {
        return static_cast<unsigned char>(letter) < ' ' || letter == '\x7f';
    };
    if (!owner.empty() && owner.size() <= questionnaire_limits::ownerBytes
        && std::none_of(owner.begin(), owner.end(), isControl))
        return empty {};
    return badInput("\"owner\" must be 1 to 128 bytes of text without control characters",
        "name the team that answers for the service");
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
            return badInput("\"allowed_callers\" holds \"*\" beside names", "keep \"*\" alone or the names alone");
    }
    return empty {};
}

bool isLiteralSegment(std::string const& segment)
{
    // What RFC 3986 lets stand in a segment without percent-encoding, so that a path has one spelling.
    auto const isAllowed = [](char letter) {
        return isLetterOrDigit(letter) || std::string("-._~!$&'()*+,;=:@").find(letter) != std::string::npos;
    };
    return !segment.empty() && segment != "." && segment != ".."
        && std::all_of(segment.begin(), segment.end(), isAllowed);
}

bool isPlaceholder(std::string const& segment)
{
    if (segment.size() < 3 || segment.front() != '{' || segment.back() != '}')
        return false;
    auto const isAllowed = [](char letter) {
        return isLowerOrDigit(letter) || letter == '_';
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

// Returns the path with every placeholder written alike: two paths of the same form match the same requests.
std::string pathForm(std::string const& path)
{
    std::string form;
    for (auto const& segment : splitPath(path))
        form += isPlaceholder(segment) ? "/{}" : "/" + segment;
    return form;
}

result<empty> checkPath(std::string const& path, std::string const& where)
{
    auto const refuse = [&](std::string const& fault) {
        return badInput(where + ": \"path\" " + quoted(path) + " " + fault,
            "write it as \"/literal/{name}\": segments of unreserved characters or a lower-case name in braces");
    };
    if (path.empty() || path.front() != '/')
        return refuse("does not begin with a slash");
    if (path.size() > questionnaire_limits::pathBytes)
        return refuse("is longer than 512 bytes");
    std::set<std::string> placeholders;
    for (auto const& segment : splitPath(path)) {
        if (path == "/")
            return empty {};
        if (isPlaceholder(segment) && !placeholders.insert(segment).second)
            return refuse("uses the placeholder " + segment + " twice");
        if (!isPlaceholder(segment) && !isLiteralSegment(segment))
            return refuse("has a bad segment " + quoted(segment));
    }
    return empty {};
}

result<empty> checkEntryPoint(entry_point_answer const& entryPoint, std::string const& where)
{
    if (!isServiceName(entryPoint.name)) {
        return badInput(where + ": \"name\" holds " + quoted(entryPoint.name) + ", which is no entry point name",
            "use 1 to 63 lower-case letters, digits and hyphens, the first a letter");
    }
    static std::set<std::string> const methods { "GET", "POST", "PUT", "PATCH", "DELETE" };
    if (!methods.contains(entryPoint.method)) {
        return badInput(
            where + ": \"method\" must be GET, POST, PUT, PATCH or DELETE, not " + quoted(entryPoint.method),
            "choose one of the five, in capitals");
    }
    TRY(checkPath(entryPoint.path, where));
    return checkRange("deadline_ms", entryPoint.deadline.count(), questionnaire_limits::deadlineMs);
}

result<empty> checkEntryPoints(questionnaire const& answers)
{
    TRY(checkCount("entry_points", answers.entryPoints.size(), 1, questionnaire_limits::entryPoints));
    std::set<std::string> names;
    std::set<std::string> forms;
    for (std::size_t index = 0; index < answers.entryPoints.size(); ++index) {
        auto const& entryPoint = answers.entryPoints[index];
        std::string const where = "entry_points[" + std::to_string(index) + "]";
        TRY(checkEntryPoint(entryPoint, where));
        if (!names.insert(entryPoint.name).second)
            return badInput(where + ": \"name\" " + quoted(entryPoint.name) + " stands twice", "rename one of the two");
        if (!forms.insert(entryPoint.method + " " + pathForm(entryPoint.path)).second) {
            return badInput(where + ": " + entryPoint.method + " " + entryPoint.path
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
        if (!isLicence(licence)) {
            return badInput("\"licences\" holds " + quoted(licence) + ", which is no licence identifier",
                "use 1 to 63 letters, digits, '.', '_', ':' and '-', the first a letter or digit");
        }
    }
    return empty {};
}

// A planned stop must cut no request in flight, and a request may last as long as its deadline.
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
    auto const isAllowed = [](char letter) {
        return isLowerOrDigit(letter) || letter == '-';
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
