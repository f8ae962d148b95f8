#include <LibWire/state_names.h>

namespace merlinpier {

char const* stateName(target_state state)
{
    switch (state) {
    case target_state::Starting:
        return "starting";
    case target_state::Ready:
        return "ready";
    case target_state::Draining:
        return "draining";
    case target_state::Gone:
        return "gone";
    }
    return "gone";
}

char const* stateName(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return "alive";
    case member_state::Leaving:
        return "leaving";
    case member_state::Gone:
        return "gone";
    }
    return "gone";
}

char const* className(call_class callClass)
{
    switch (callClass) {
    case call_class::Interactive:
        return "interactive";
    case call_class::Confirmation:
        return "confirmation";
    case call_class::Report:
        return "report";
    }
    return "interactive";
}

} // namespace merlinpier
