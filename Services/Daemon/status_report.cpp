#include "status_report.h"

#include "operator_api.h"
#include "state_dump.h"

#include <LibCore/json_text.h>
#include <LibCore/log.h>
#include <LibWire/state_names.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr milliseconds zoneTimeout { 1000 };

member_state stateFrom(std::string const& name)
{
    if (name == "alive")
        return member_state::Alive;
    return name == "leaving" ? member_state::Leaving : member_state::Gone;
}

// The targets with a limit on requests, in thousandths of a request a second.
nlohmann::json limitsJson(member_record const& record)
{
    nlohmann::json limits = nlohmann::json::object();
    for (auto const& target : record.targets) {
        if (target.requestLimitMilli)
            limits[target.id] = *target.requestLimitMilli;
    }
    return limits;
}

std::vector<std::string> limitTexts(member_record const& record)
{
    std::vector<std::string> texts;
    for (auto const& target : record.targets) {
        if (auto const limit = target.requestLimit())
            texts.push_back(absl::StrFormat("%s on %s (%g requests a second)", target.id, record.vm, *limit));
    }
    return texts;
}

nlohmann::json memberJson(member_record const& record)
{
    return { { "vm", record.vm }, { "zone", record.zone }, { "state", stateName(record.state) },
        { "applied_version", record.appliedVersion }, { "refused_version", record.refusedVersion },
        { "refused_reason", record.refusedReason }, { "request_limits", limitsJson(record) } };
}

member_record memberFrom(nlohmann::json const& json)
{
    member_record record;
    record.vm = json.value("vm", "");
    record.zone = json.value("zone", "");
    record.state = stateFrom(json.value("state", ""));
    record.appliedVersion = json.value("applied_version", std::uint64_t { 0 });
    record.refusedVersion = json.value("refused_version", std::uint64_t { 0 });
    record.refusedReason = json.value("refused_reason", "");
    auto const limits = json.value("request_limits", std::map<std::string, std::uint64_t> {});
    for (auto const& [target, limit] : limits) {
        target_record known { .id = target };
        known.requestLimitMilli = limit;
        record.targets.push_back(std::move(known));
    }
    return record;
}

bool isAmong(std::vector<std::string> const& silent, std::string const& vm)
{
    return std::find(silent.begin(), silent.end(), vm) != silent.end();
}

// The HTTP addresses of a zone's relays, as this daemon's view of the membership chooses them.
std::vector<std::string> relayHttpAddresses(membership_table const& table, std::string const& zone, std::size_t count)
{
    std::vector<std::string> addresses;
    for (auto const& vm : chooseRelays(table, zone, count)) {
        if (auto const* record = table.find(vm))
            addresses.push_back(record->httpAddress);
    }
    return addresses;
}

} // namespace

status_report::status_report(daemon& owner, version_number asked, std::shared_ptr<http_responder> responder)
    : m_daemon(owner)
    , m_asked(asked)
    , m_responder(std::move(responder))
{
}

void status_report::answer(daemon& owner, std::string const& askedVersion, std::shared_ptr<http_responder> responder)
{
    version_number asked = 0;
    if (!askedVersion.empty() && !absl::SimpleAtoi(askedVersion, &asked)) {
        responder->respond(errorResponse({ error_kind::BadInput, "version is no whole number: " + askedVersion,
            "ask for a version such as /status?version=3, or for none" }));
        return;
    }
    std::shared_ptr<status_report> const report(new status_report(owner, asked, std::move(responder)));
    report->askZones();
}

std::string status_report::ownView(daemon& owner)
{
    auto const table = owner.membership().table();
    nlohmann::json members = nlohmann::json::array();
    for (auto const& [vm, record] : table.records()) {
        if (record.zone == owner.settings().zone)
            members.push_back(memberJson(vm == owner.settings().vm ? owner.membership().self() : record));
    }
    return writeJson(
        { { "zone", owner.settings().zone }, { "members", members }, { "silent", owner.membership().suspects() },
            { "highest_known", owner.configuration().summary().highestKnown } });
}

void status_report::askZones()
{
    auto const table = m_daemon.membership().table();
    std::map<std::string, std::vector<std::string>> relays;
    for (auto const& [vm, record] : table.records())
        relays[record.zone];
    relays[m_daemon.settings().zone];
    for (auto& [zone, addresses] : relays)
        addresses = relayHttpAddresses(table, zone, m_daemon.settings().membership.relaysPerZone);
    bool const isOwnRelay = m_daemon.membership().peers().isRelay || relays.size() == 1;
    m_waiting = relays.size();
    for (auto const& [vm, record] : table.records())
        m_zones[record.zone].members.push_back(record);
    for (auto const& [zone, addresses] : relays) {
        if (zone == m_daemon.settings().zone && isOwnRelay)
            didAnswerZone(zone, ownView(m_daemon));
        else
            askZone(zone, addresses);
    }
}

void status_report::askZone(std::string const& zone, std::vector<std::string> httpAddresses)
{
    if (httpAddresses.empty()) {
        didFailZone(zone);
        return;
    }
    http_client_request request;
    request.url = "http://" + httpAddresses.front() + "/status/zone";
    request.timeout = zoneTimeout;
    request.connectTimeout = zoneTimeout;
    httpAddresses.erase(httpAddresses.begin());
    m_daemon.http().send(std::move(request),
        [self = shared_from_this(), zone, rest = std::move(httpAddresses)](result<http_response> const& answer) {
            if (answer.isError() || answer.value().status != 200)
                self->askZone(zone, rest);
            else
                self->didAnswerZone(zone, answer.value().body);
        });
}

void status_report::didAnswerZone(std::string const& zone, std::string const& view)
{
    auto read = readView(view);
    if (!read) {
        logWarning("zone_view_unreadable", { { "zone", zone } });
        didFailZone(zone);
        return;
    }
    m_zones[zone] = std::move(*read);
    didSettleOne();
}

std::optional<status_report::zone_view> status_report::readView(std::string const& json)
{
    // A relay of another version may send other fields; its answer must not end this process.
    try {
        auto const view = nlohmann::json::parse(json);
        zone_view known;
        known.isReachable = true;
        for (auto const& member : view.at("members"))
            known.members.push_back(memberFrom(member));
        known.silent = view.value("silent", std::vector<std::string> {});
        known.highestKnown = view.value("highest_known", version_number { 0 });
        return known;
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

void status_report::didFailZone(std::string const& zone)
{
    m_zones[zone].isReachable = false;
    didSettleOne();
}

void status_report::didSettleOne()
{
    if (--m_waiting > 0)
        return;
    respond();
}

void status_report::respond()
{
    auto const summary = m_daemon.configuration().summary();
    nlohmann::json members = nlohmann::json::array();
    nlohmann::json behind = nlohmann::json::array();
    nlohmann::json silent = nlohmann::json::array();
    nlohmann::json zones = nlohmann::json::array();
    nlohmann::json limited = nlohmann::json::array();
    version_number highest = summary.highestKnown;
    std::map<std::string, zone_view> views;
    views = m_zones;
    for (auto const& [zone, view] : views)
        highest = std::max(highest, view.highestKnown);
    auto const asked = m_asked == 0 ? highest : m_asked;
    for (auto const& [zone, view] : views) {
        version_number lowest = highest;
        std::size_t live = 0;
        for (auto const& record : view.members) {
            members.push_back(memberJson(record));
            if (record.state != member_state::Alive)
                continue;
            ++live;
            for (auto& text : limitTexts(record))
                limited.push_back(std::move(text));
            lowest = std::min(lowest, record.appliedVersion);
            if (!view.isReachable || isAmong(view.silent, record.vm))
                silent.push_back(record.vm);
            else if (record.appliedVersion < asked)
                behind.push_back(record.vm);
        }
        // A zone whose members have all gone has nothing left in which a version could be in force.
        if (live > 0)
            zones.push_back(
                { { "zone", zone }, { "members", live }, { "applied", lowest }, { "reachable", view.isReachable } });
    }
    bool const inForce = behind.empty() && highest >= asked;
    auto const platformSilent = summary.platformSilentFor.value_or(milliseconds(0)).count();
    nlohmann::json const body { { "version", highest }, { "applied", summary.applied }, { "asked", asked },
        { "in_force", inForce }, { "members", members }, { "behind", behind }, { "silent", silent }, { "zones", zones },
        { "limited", limited },
        { "platform", { { "reachable", !summary.platformSilentFor.has_value() }, { "silent_ms", platformSilent } } } };
    m_responder->respond(jsonResponse(200, writeJson(body)));
}

} // namespace merlinpier
