#include <LibCalls/refusal_rules.h>

namespace merlinpier {

char const* refusalMessage(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::Overloaded:
        return "every target tried is at its limit; come back after the time given";
    case refusal_reason::Draining:
        return "the targets tried are draining; come back when another copy is ready";
    case refusal_reason::UnknownService:
        return "no such service is configured; submit its questionnaire or correct the name";
    case refusal_reason::UnknownTarget:
        return "no target of the service could be called; see that its licensed copies announce themselves";
    case refusal_reason::StaleGeneration:
        return "the call came on a connection that had been replaced; send it again";
    case refusal_reason::OtherInstance:
        return "the target's daemon was restarted; send the call again";
    case refusal_reason::DeadlineTooShort:
        return "the call could not have ended before its deadline; come back later or allow it more time";
    case refusal_reason::HopLimit:
        return "the call is nested too deep; look for services that call each other in a circle";
    case refusal_reason::Unlicensed:
        return "the copies tried are not licensed; list their licences in the service's answers";
    case refusal_reason::TargetUnreachable:
        return "the target could not be reached; come back after the time given";
    case refusal_reason::Shed:
        return "the target turned the call away; come back after the time given";
    }
    return "not run";
}

bool isLoadRefusal(refusal_reason reason)
{
    return reason == refusal_reason::Overloaded || reason == refusal_reason::DeadlineTooShort
        || reason == refusal_reason::Shed;
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

} // namespace merlinpier
