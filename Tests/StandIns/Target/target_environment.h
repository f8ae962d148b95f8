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
    {
    }

    target_settings const settings;
    timer_service& timers;
    http_client& client;
    work_ledger ledger;
    slot_counter slots;
    std::atomic<target_phase> phase { target_phase::Starting };
};

} // namespace merlinpier
