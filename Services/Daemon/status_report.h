#pragma once

#include "daemon.h"

#include <LibHttp/http_server.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Answers /status: which version every live daemon has applied. Each zone's own relays know their members best, so one
// relay of each zone is asked and the views are put together; a zone whose relays do not answer is named.
class status_report : public std::enable_shared_from_this<status_report> {
public:
    // The version asked for as text; empty for the highest known. BadInput if it is no number.
    static void answer(daemon&, std::string const& askedVersion, std::shared_ptr<http_responder>);
    // What this daemon itself knows of the members of its zone, as JSON.
    static std::string ownView(daemon&);

    // What a relay knows of the members of its zone.
    struct zone_view {
        bool isReachable { false };
        std::vector<member_record> members;
        std::vector<std::string> silent;
        version_number highestKnown { 0 };
    };
    // Reads what ownView() of another daemon has written; nothing if a field is missing or of another type.
    static std::optional<zone_view> readView(std::string const& json);

private:
    status_report(daemon&, version_number asked, std::shared_ptr<http_responder>);
    void askZones();
    void askZone(std::string const& zone, std::vector<std::string> httpAddresses);
    void didAnswerZone(std::string const& zone, std::string const& view);
    void didFailZone(std::string const& zone);
    void didSettleOne();
    void respond();

    daemon& m_daemon;
    version_number m_asked;
    std::shared_ptr<http_responder> m_responder;
    std::map<std::string, zone_view> m_zones;
    std::size_t m_waiting { 0 };
};

} // namespace merlinpier
