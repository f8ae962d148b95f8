#pragma once

#include <LibCore/timer_service.h>
#include <LibHttp/http_client.h>
#include <LibHttp/http_server.h>
#include <Tests/StandIns/Target/slot_counter.h>
#include <Tests/StandIns/Target/work_ledger.h>
#include <atomic>
#include <string>

namespace merlinpier {

// Whether the health and load endpoints tell the truth.
enum class endpoint_honesty { Honest, Lying };

// The command line of the stand-in of a target.
struct target_settings {
    // "IP:PORT" of the daemon of this VM.
    std::string daemon;
    std::string id;
    std::string service;
    std::string licence;
    http_server_settings listen;
    std::uint32_t slots { 6 };
    milliseconds work { 0 };
    milliseconds coldStart { 0 };
    endpoint_honesty honesty { endpoint_honesty::Honest };
    // Requests a second that the target says it takes; negative if it names no limit.
    double requestLimit { -1 };
};

// What a target says about itself when it announces itself.
enum class target_phase { Starting, Ready, Draining };

// What the parts of one target share; outlives them all.
struct target_environment {
    target_environment(target_settings given, timer_service& timerService, http_client& httpClient)
        : settings(std::move(given))
        , timers(timerService)
        , client(httpClient)
        , slots(settings.slots)
        , requestLimit(settings.requestLimit)
    {
    }

    // Adds to an answer what the target says about itself.
    http_response withNotices(http_response response) const
    {
        if (double const limit = requestLimit; limit >= 0)
            response.headers.push_back({ "Merlinpier-Request-Limit", std::to_string(limit) });
        if (isLeaving)
            response.headers.push_back({ "Merlinpier-Leaving", "true" });
        return response;
    }

    target_settings const settings;
    timer_service& timers;
    http_client& client;
    work_ledger ledger;
    slot_counter slots;
    std::atomic<target_phase> phase { target_phase::Starting };
    // What it names in its answers from now on; POST /notice changes it.
    std::atomic<double> requestLimit;
    std::atomic<bool> isLeaving { false };
};

} // namespace merlinpier
