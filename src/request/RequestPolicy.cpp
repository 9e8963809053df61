#include "request/RequestPolicy.h"

#include <algorithm>

namespace yuccahook::request {

namespace {

constexpr std::uint64_t maximumBufferBytes = 64 << 20;
constexpr std::uint64_t maximumDeadlineMillis = 3'600'000;
constexpr std::uint64_t maximumRetentionSeconds = 86'400;
constexpr std::uint64_t maximumClaimCount = 1'000'000;

} // namespace

bool RequestPolicy::isIdempotent(std::string_view method) const
{
    return std::find(nonIdempotentMethods.begin(), nonIdempotentMethods.end(), method) == nonIdempotentMethods.end();
}

void readRequestPolicy(settings::ObjectReader& reader, RequestPolicy& policy)
{
    if (reader.has("nonIdempotentMethods"))
        policy.nonIdempotentMethods.clear();
    reader.textArray("nonIdempotentMethods", policy.nonIdempotentMethods);
    reader.flag("keyRequired", policy.keyRequired);
    reader.integer("maximumBodyBytes", policy.maximumBodyBytes, 1, maximumBufferBytes);
    reader.integer("maximumAnswerBytes", policy.maximumAnswerBytes, 1, maximumBufferBytes);
    reader.integer("deadlineMillis", policy.deadlineMillis, 1, maximumDeadlineMillis);
    reader.integer("retentionSeconds", policy.retentionSeconds, 1, maximumRetentionSeconds);
    reader.integer("maximumClaims", policy.maximumClaims, 1, maximumClaimCount);
    reader.object("admission",
        [&policy](settings::ObjectReader& admission) { readAdmissionSettings(admission, policy.admission); });
}

RequestPolicy parseRequestPolicy(std::string_view text)
{
    RequestPolicy policy;
    if (text.empty())
        return policy;
    settings::Faults faults;
    const auto document = settings::parseJson(text, faults);
    if (!document)
        return policy;
    settings::ObjectReader reader(*document, "", faults);
    readRequestPolicy(reader, policy);
    return policy;
}

} // namespace yuccahook::request
