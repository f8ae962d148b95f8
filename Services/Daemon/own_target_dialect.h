#pragma once

#include "target_dialect.h"

namespace merlinpier {

// The dialect of docs/design/interfaces.md.
class own_target_dialect final : public target_dialect {
public:
    // ^target_dialect
    http_client_request requestFor(run_call const&) const override;
    target_verdict judge(run_call const&, http_response const&) const override;
    target_notice readNotice(http_response const&) const override;
};

} // namespace merlinpier
