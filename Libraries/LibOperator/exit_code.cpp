#include <LibOperator/exit_code.h>

namespace merlinpier {

exit_code exitCodeFor(error_kind kind)
{
    switch (kind) {
    case error_kind::Conflict:
        return exit_code::Conflict;
    case error_kind::Unavailable:
    case error_kind::RateLimited:
    case error_kind::DeadlineExceeded:
        return exit_code::Unavailable;
    case error_kind::OutcomeUnknown:
    case error_kind::ConnectionLost:
        return exit_code::OutcomeUnknown;
    case error_kind::BadInput:
    case error_kind::BadSettings:
    case error_kind::NotFound:
    case error_kind::Refused:
    case error_kind::Corrupt:
    case error_kind::Internal:
        return exit_code::Refused;
    }
    return exit_code::Refused;
}

} // namespace merlinpier
