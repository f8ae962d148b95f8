#pragma once

#include <Utilities/Load/load_runner.h>
#include <Utilities/Load/request_mix.h>

namespace merlinpier {

// What to write at the end of a run.
enum class report_format { TableAndJson, JsonOnly };

// Everything that the command line says.
struct load_options {
    load_plan plan;
    call_shape shape;
    std::vector<std::string> mixFiles;
    // Used without mix files.
    mix_entry entry;
    std::vector<std::string> ledgers;
    report_format format { report_format::TableAndJson };
};

// Returns the mix of the questionnaires in the files, or of the one entry. BadInput names the file at fault.
result<request_mix> loadMix(load_options const&);

// Runs the load, reads the ledgers, writes the report; returns the exit code.
int runLoad(load_options const&);

} // namespace merlinpier
