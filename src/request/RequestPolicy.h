#pragma once

#include "request/AdmissionSettings.h"
#include "settings/ObjectReader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::request {

/// How the requests of a service are handled: the object `requests` of a service in a release note.
struct RequestPolicy {
    std::vector<std::string> nonIdempotentMethods { "POST", "PATCH" };
    bool keyRequired = false; ///< Refuses a non-idempotent request without an Idempotency-Key.
    std::uint64_t maximumBodyBytes = 1 << 20; ///< Largest request body that is buffered.
    std::uint64_t maximumAnswerBytes = 1 << 20; ///< Largest answer to a non-idempotent request.
    std::uint32_t deadlineMillis = 30'000; ///< From the receipt of the request to the end of the answer.
    std::uint32_t retentionSeconds = 600; ///< How long a claim and its answer are kept after the outcome is known.
    std::uint32_t maximumClaims = 10'000; ///< At each agent; beyond it new keys are refused as not run.

    AdmissionSettings admission;

    bool isIdempotent(std::string_view method) const;

    bool operator==(const RequestPolicy&) const = default;
};

/// Reads the keys of a policy; absent keys leave the fields of `policy` unchanged.
void readRequestPolicy(settings::ObjectReader& reader, RequestPolicy& policy);

/// Parses the policy in ServiceSpec::requestPolicy. Empty text or invalid JSON gives the defaults, and invalid values
/// are not reported, because release notes are validated before.
RequestPolicy parseRequestPolicy(std::string_view text);

} // namespace yuccahook::request
