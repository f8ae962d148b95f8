#include <LibConfiguration/submission_rules.h>

#include <LibConfiguration/questionnaire_rules.h>
#include <algorithm>

namespace merlinpier {

namespace {

constexpr std::size_t maximumIdBytes = 64;

std::string revisionText(std::uint64_t revision)
{
    return revision == 0 ? "absent" : "at revision " + std::to_string(revision);
}

} // namespace

error conflictError(std::string const& service, std::uint64_t base, std::uint64_t current)
{
    return { error_kind::Conflict,
        "service \"" + service + "\" is now " + revisionText(current) + "; the submission was made while it was "
            + revisionText(base),
        "look at the current answers (merlinpier show " + service + "), merge your change into them and submit against "
            + (current == 0 ? "base revision 0" : "base revision " + std::to_string(current)) };
}

result<empty> checkSubmission(submission const& request)
{
    auto const isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-';
    };
    if (request.id.empty() || request.id.size() > maximumIdBytes
        || !std::all_of(request.id.begin(), request.id.end(), isAllowed)) {
        return error { error_kind::BadInput, "\"id\" must be 1 to 64 letters, digits and hyphens",
            "draw a random identifier for each submission" };
    }
    if (!isServiceName(request.service)) {
        return error { error_kind::BadInput, "\"service\" holds \"" + request.service + "\", not a valid service name",
            "use 1 to 63 lower-case letters, digits and hyphens, the first a letter" };
    }
    if (request.kind == submission_kind::Remove)
        return empty {};
    if (!request.answers || request.answers->service != request.service) {
        return error { error_kind::BadInput, "\"answers\" must hold the answers of service \"" + request.service + "\"",
            "give the same name in \"service\" and in the answers" };
    }
    return checkQuestionnaire(*request.answers);
}

} // namespace merlinpier
