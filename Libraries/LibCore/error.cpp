#include <LibCore/error.h>

namespace merlinpier {

char const* errorKindName(error_kind kind)
{
    switch (kind) {
    case error_kind::BadInput:
        return "bad_input";
    case error_kind::BadSettings:
        return "bad_settings";
    case error_kind::NotFound:
        return "not_found";
    case error_kind::Conflict:
        return "conflict";
    case error_kind::Unavailable:
        return "unavailable";
    case error_kind::RateLimited:
        return "rate_limited";
    case error_kind::DeadlineExceeded:
        return "deadline_exceeded";
    case error_kind::Refused:
        return "refused";
    case error_kind::Corrupt:
        return "corrupt";
    case error_kind::OutcomeUnknown:
        return "outcome_unknown";
    case error_kind::ConnectionLost:
        return "connection_lost";
    case error_kind::Internal:
        return "internal";
    }
    return "internal";
}

std::string error::text() const
{
    std::string line = std::string(errorKindName(kind)) + ": " + message;
    if (!remedy.empty())
        line += " (remedy: " + remedy + ")";
    return line;
}

} // namespace merlinpier
