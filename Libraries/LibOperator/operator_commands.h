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

// Time as the commands use it while they wait.
class operator_clock {
public:
    virtual ~operator_clock() = default;
    virtual time_point now() = 0;
    virtual void sleep(duration) = 0;
};

enum class output_format { Text, Json };

// How a change is sent and followed.
struct change_options {
    // The revision that the change builds on; nothing for whatever is current.
    std::optional<std::uint64_t> baseRevision;
    // Empty to draw a new identifier.
    std::string id;
    bool waitsUntilInForce { false };
    milliseconds timeout { 30000 };

    bool operator==(change_options const&) const = default;
};

// The commands of the operators' program. Each prints its outcome and returns the exit code. In Text, results go to the
// output stream, errors and progress to the error stream; in Json, the daemon's answer or the error goes to the output
// stream as one line.
class operator_commands {
public:
    operator_commands(
        daemon_client&, operator_clock&, generator&, std::ostream& output, std::ostream& errors, output_format);

    // Checks answers alone, without a daemon.
    exit_code checkOffline(std::string const& answersJson);
    // Checks answers against the configuration in force.
    exit_code check(std::string const& answersJson);
    // Submits answers. The identifier stays the same while an unknown outcome is asked about again.
    exit_code submit(std::string const& answersJson, change_options const&);
    exit_code remove(std::string const& service, change_options const&);
    exit_code showAll();
    exit_code show(std::string const& service);
    // Prints the answers of a service alone, to be edited and submitted.
    exit_code showAnswers(std::string const& service);
    exit_code history();
    exit_code status();
    // Waits until every live daemon has applied the version, or names those that have not.
    exit_code waitUntilInForce(std::uint64_t version, milliseconds timeout);
    exit_code dump(std::string const& vm);

private:
    exit_code change(submission, change_options const&);
    result<std::string> sendUntilKnown(submission const&, milliseconds timeout);
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
