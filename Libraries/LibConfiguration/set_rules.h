#pragma once

#include <LibConfiguration/service_configuration.h>
#include <LibCore/result.h>
#include <map>
#include <string>

namespace merlinpier {

// Checks the rules that concern all services of a version together: every dependency and every allowed caller exists,
// no licence is listed twice, limits hold. BadInput names the service, the rule and the remedy.
result<empty> checkServices(std::map<std::string, service_configuration> const&);

} // namespace merlinpier
