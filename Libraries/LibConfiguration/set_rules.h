#pragma once

#include <LibConfiguration/service_configuration.h>
#include <LibCore/result.h>
#include <map>
#include <string>

namespace merlinpier {

// Validates the services of a version as a whole: each service's own answers, that every dependency and allowed caller
// exists, that no licence is listed twice, and the number of services. BadInput names the service, the rule and the
// remedy.
result<empty> checkServices(std::map<std::string, service_configuration> const&);

} // namespace merlinpier
