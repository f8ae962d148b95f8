#include <LibCalls/refusal_rules.h>

namespace merlinpier {

char const* refusalMessage(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::Overloaded:
        return "every target tried is at capacity; retry after the given time";
    case refusal_reason::Draining:
        return "the targets tried are draining; retry when another copy is ready";
    case refusal_reason::UnknownService:
        return "the service is not configured; submit its questionnaire or correct its name";
    case refusal_reason::UnknownTarget:
        return "no target of the service could be called; check that its licensed copies announce themselves";
    case refusal_reason::StaleGeneration:
        return "the call arrived on a connection that had been replaced; send it again";
    case refusal_reason::OtherInstance:
        return "the target's daemon was restarted; send the call again";
    case refusal_reason::DeadlineTooShort:
        return "the call could not have completed before its deadline; retry later or allow more time";
    case refusal_reason::HopLimit:
        return "the call exceeds the limit on nested calls; look for services that call each other in a cycle";
    case refusal_reason::Unlicensed:
        return "the copies tried are not licensed; list their licences in the service's answers";
    case refusal_reason::TargetUnreachable:
        return "the target could not be reached; retry after the given time";
    case refusal_reason::Shed:
        return "the target refused the call; retry after the given time";
    case refusal_reason::RequestLimit:
        return "the target takes a limited number of requests, which is used up; retry after the given time";
    case refusal_reason::CrashesTargets:
        return "targets crashed whenever they ran this request; have the service mended, or lift the block if it is "
               "wrong";
    case refusal_reason::AllotmentUsed:
        return "the tenant has used up its allotment; retry after the given time";
    case refusal_reason::BodyTooLarge:
        return "the body is too large to be sent to another VM; send it in several requests";
    }
    return "not run";
}

bool isLoadRefusal(refusal_reason reason)
{
    return reason == refusal_reason::Overloaded || reason == refusal_reason::DeadlineTooShort
        || reason == refusal_reason::Shed || reason == refusal_reason::RequestLimit;
}

bool isCapacityRefusal(refusal_reason reason)
{
    return reason == refusal_reason::Overloaded || reason == refusal_reason::RequestLimit;
}

bool hasReachedTarget(refusal_reason reason) { return reason == refusal_reason::Shed; }

bool isDepartureRefusal(refusal_reason reason)
{
    return reason == refusal_reason::Draining || reason == refusal_reason::UnknownTarget
        || reason == refusal_reason::Unlicensed;
}

bool isStaleRouteRefusal(refusal_reason reason)
{
    return isDepartureRefusal(reason) || reason == refusal_reason::OtherInstance
        || reason == refusal_reason::StaleGeneration;
}

bool isFailureStatus(std::uint32_t status)
{
    constexpr std::uint32_t firstServerError = 500;
    return status >= firstServerError;
}

} // namespace merlinpier
