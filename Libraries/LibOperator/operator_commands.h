#pragma once

#include <LibConfiguration/commit_session.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibOperator/daemon_client.h>
#include <LibOperator/exit_code.h>
#include <LibOperator/fleet_status.h>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace merlinpier {

// The clock that the commands use to wait; replaced in tests.
class operator_clock {
public:
    virtual ~operator_clock() = default;
    virtual time_point now() = 0;
    virtual void sleep(duration) = 0;
};

enum class output_format { Text, Json };

// Options of the commands that submit a change.
struct change_options {
    // The revision that the change is based on; nothing for the current one, whichever it is.
    std::optional<std::uint64_t> baseRevision;
    // Identifier of the submission; a random one is generated if it is empty.
    std::string id;
    bool waitsUntilInForce { false };
    // Time limit of the submission including its retries, and again of the wait until the version is in force.
    milliseconds timeout { 30000 };

    bool operator==(change_options const&) const = default;
};

// The request that explain asks about. Without a host, the service is named instead, and its entry points decide.
struct explained_request {
    std::string host;
    std::string service;
    std::string path;
    std::string method { "GET" };
    // Name of the tenant; empty for none.
    std::string tenant;
    // Time that the caller allows.
    std::optional<milliseconds> deadline;

    bool operator==(explained_request const&) const = default;
};

// Implements the commands of the operator's command line program. Each prints its outcome and returns the exit code.
// In the Text format, results go to the output stream, and errors and progress to the error stream. In the Json format,
// the daemon's answer or the error is written to the output stream as one line.
class operator_commands {
public:
    operator_commands(
        daemon_client&, operator_clock&, generator&, std::ostream& output, std::ostream& errors, output_format);

    // Validates answers locally, without a daemon.
    exit_code checkOffline(std::string const& answersJson);
    // Validates answers against the configuration in force.
    exit_code check(std::string const& answersJson);
    // Submits answers. Retries after an unknown outcome use the same identifier.
    exit_code submit(std::string const& answersJson, change_options const&);
    exit_code remove(std::string const& service, change_options const&);
    exit_code showAll();
    exit_code show(std::string const& service);
    // Prints only the answers of a service, in the form that submit() takes.
    exit_code showAnswers(std::string const& service);
    exit_code history();
    exit_code status();
    // Waits until every live daemon that is not silent has applied the version; after the timeout, lists those that
    // have not.
    exit_code waitUntilInForce(std::uint64_t version, milliseconds timeout);
    // Lists the requests that are suspected of crashing targets or blocked for it.
    exit_code suspects();
    // Takes all crashes off a request, so that it runs again everywhere.
    exit_code lift(std::string const& fingerprint);
    // Lists the rollouts that the daemon knows, or those of one service.
    exit_code rollouts(std::string const& service = {});
    // Rolls a rollout back.
    exit_code abortRollout(std::string const& service);
    // Shows where the daemon would send such a request now, and what it knows of the admission there.
    exit_code explain(explained_request const&);
    // Lists the tenants with their limits and their use at the daemon, or shows one.
    exit_code tenants();
    exit_code tenant(std::string const& name);
    // Prints the internal state of the daemon on this VM, as JSON.
    exit_code dump(std::string const& vm);

private:
    exit_code change(submission, change_options const&);
    result<std::string> submitUntilOutcomeKnown(submission const&, milliseconds timeout);
    result<fleet_status> pollUntilInForce(std::uint64_t version, milliseconds timeout, std::string& body);
    exit_code print(result<std::string> const& body, result<std::string> (*describe)(std::string_view));
    exit_code fail(error const&);

    daemon_client& m_client;
    operator_clock& m_clock;
    generator& m_generator;
    std::ostream& m_output;
    std::ostream& m_errors;
    output_format m_format;
};

} // namespace merlinpier
