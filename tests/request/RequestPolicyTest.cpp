#include "request/RequestPolicy.h"
#include "control/Note.h"

#include <doctest/doctest.h>

using namespace yuccahook;

namespace {

settings::Faults faultsOf(const std::string& requests)
{
    settings::Faults faults;
    control::parseNote(R"({"number":1,"author":"ana","added":[{"name":"listings","protocol":"http",)"
                       R"("address":"10.0.0.1:80","requests":)"
            + requests + "}]}",
        faults);
    return faults;
}

} // namespace

TEST_CASE("A release note sets the request policy of a service")
{
    SUBCASE("A valid policy is accepted, and absent keys have their defaults")
    {
        CHECK(faultsOf(R"({"keyRequired":true,"nonIdempotentMethods":["POST"]})").empty());
        const auto policy = request::parseRequestPolicy(R"({"keyRequired":true,"nonIdempotentMethods":["POST"]})");
        CHECK(policy.keyRequired);
        CHECK_FALSE(policy.isIdempotent("POST"));
        CHECK(policy.isIdempotent("PATCH"));
        CHECK(policy.maximumClaims == request::RequestPolicy().maximumClaims);
    }

    SUBCASE("Without a policy, POST and PATCH are not idempotent")
    {
        const auto policy = request::parseRequestPolicy("");
        CHECK_FALSE(policy.isIdempotent("PATCH"));
        CHECK(policy.isIdempotent("GET"));
    }

    SUBCASE("A fault names the path of its key, and the release note is refused")
    {
        const auto faults = faultsOf(R"({"maximumClaims":0,"retention":5})");
        REQUIRE(faults.size() == 2);
        CHECK(faults[0].path == "added[0].requests.maximumClaims");
        CHECK(faults[1].path == "added[0].requests.retention");
        CHECK(faultsOf("[]").size() == 1);
    }
}
