#pragma once

#include <LibConfiguration/route_table.h>
#include <LibCore/generator.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace merlinpier {

// Divides the calls of each route among its services by their weights. Uses smooth weighted round-robin, as nginx does:
// after any number of calls, every service has received its share to within one call. The load of a service plays no
// part, and retries of a call stay with the service that was chosen for it.
class weighted_choice {
public:
    // Returns the service for the route's next call; empty if all weights are 0. The generator picks the point of the
    // cycle at which a new or changed route begins, so that daemons that start together do not all choose the same
    // sequence.
    std::string choose(route const&, generator&);
    // Drops the state of routes that are not in the table.
    void keepOnly(route_table const&);

private:
    // A service of a route in the round-robin; currentWeight is nginx's current_weight.
    struct weighted_part {
        std::string service;
        std::int64_t weight { 0 };
        std::int64_t currentWeight { 0 };
    };

    // By name of the route.
    std::map<std::string, std::vector<weighted_part>> m_routes;
};

} // namespace merlinpier
