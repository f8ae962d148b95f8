#include <LibConfiguration/configuration_head.h>
#include <LibConfiguration/configuration_set.h>
#include <LibConfiguration/questionnaire.h>
#include <LibConfiguration/service_configuration.h>
#include <LibConfiguration/submission_json.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace merlinpier;

// Feeds any bytes to every reader of configuration. What is taken has to read back as the same value, and a refusal has
// to name its remedy.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const*>(data), size);
    auto const answers = parseQuestionnaire(text);
    if (answers.isError() && answers.failure().remedy.empty())
        std::abort();
    if (!answers.isError()) {
        if (parseQuestionnaire(canonicalJson(answers.value())).value() != answers.value())
            std::abort();
        auto const generated = generateServiceConfiguration(answers.value(), 1);
        if (parseServiceConfiguration(serializeServiceConfiguration(generated)).value() != generated)
            std::abort();
    }
    auto const service = parseServiceConfiguration(text);
    if (!service.isError() && serializeServiceConfiguration(service.value()) != text)
        std::abort();
    auto const contents = parseManifest(text);
    if (!contents.isError() && parseManifest(serializeManifest(contents.value())).value() != contents.value())
        std::abort();
    auto const head = parseHead(text);
    if (!head.isError() && parseHead(serializeHead(head.value())).value() != head.value())
        std::abort();
    auto const request = parseSubmission(text);
    if (!request.isError() && parseSubmission(serializeSubmission(request.value())).value() != request.value())
        std::abort();
    return 0;
}
