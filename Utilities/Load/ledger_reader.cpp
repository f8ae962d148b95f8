#include <Utilities/Load/ledger_reader.h>

#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr milliseconds ledgerTimeout { 20'000 };
constexpr std::size_t maximumLedgerBytes = 512ULL * 1024 * 1024;

} // namespace

result<std::vector<std::string>> readLedger(http_client& client, std::string const& address)
{
    http_client_request request;
    request.url = "http://" + address + "/ledger";
    request.timeout = ledgerTimeout;
    request.maximumBodyBytes = maximumLedgerBytes;
    auto const response = TRY(sendAndWait(client, std::move(request)));
    auto const body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || !body.is_object() || !body.contains("ran") || !body["ran"].is_array())
        return error { error_kind::Corrupt, "the answer of " + address + " is no ledger",
            "give --ledger the address of a merlinpier-target" };
    std::vector<std::string> requestIds;
    for (auto const& run : body["ran"])
        requestIds.push_back(run.value("request_id", ""));
    return requestIds;
}

} // namespace merlinpier
