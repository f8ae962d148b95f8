#pragma once

#include <LibCore/time.h>
#include <optional>

namespace merlinpier {

// The time that calls have in a process that stops and ends at a given moment. Calls end before it, so that every
// caller gets an answer: those that still wait for a slot shortly before the end are recalled, which proves that they
// have not run.
class stop_schedule {
public:
    stop_schedule(time_point begin, time_point end);

    // The time that a call may take that starts now. Nothing if it has to be refused: its time limit passes after the
    // recall, and it may not be repeated or most of the stop is over.
    std::optional<duration> timeFor(duration limit, bool isIdempotent, time_point now) const;
    // Calls that wait for a slot are recalled now.
    time_point recallTime() const;
    // Calls without an outcome end now as unknown, so that their callers get an answer before the process ends.
    time_point lastAnswerTime() const;

    bool operator==(stop_schedule const&) const = default;

private:
    time_point m_begin;
    time_point m_end;
};

} // namespace merlinpier
