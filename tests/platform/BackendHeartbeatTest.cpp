#include "platform/BackendHeartbeat.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace yuccahook;
using nlohmann::json;

namespace {

json validHeartbeat()
{
    return json::parse(R"({"service":"one","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":3,
        "state":"ready","coldRemainingMs":10,"sequence":4,"born":1789029671074})");
}

bool isValid(const json& heartbeat)
{
    settings::Faults faults;
    return platform::parseHeartbeat("i-1", heartbeat.dump(), faults).has_value();
}

} // namespace

TEST_CASE("A heartbeat of a backend server is parsed only if all of it is valid")
{
    auto heartbeat = validHeartbeat();

    SUBCASE("a valid heartbeat is parsed")
    {
        settings::Faults faults;
        const auto report = platform::parseHeartbeat("i-1", heartbeat.dump(), faults);
        REQUIRE(report);
        CHECK(report->id == "i-1");
        CHECK(report->service == "one");
        CHECK(report->address.text() == "10.128.0.9:8080");
        CHECK(report->slots == 3);
        CHECK(report->sequence == 4);
        CHECK(report->startedMillis == 1789029671074);
        CHECK_FALSE(report->draining);
        heartbeat["state"] = "draining";
        CHECK(platform::parseHeartbeat("i-1", heartbeat.dump(), faults)->draining);
    }

    SUBCASE("a missing field or a field of another type is refused")
    {
        const auto valid = validHeartbeat();
        for (const auto& field : valid.items()) {
            CAPTURE(field.key());
            auto changed = validHeartbeat();
            changed[field.key()] = json::array();
            CHECK_FALSE(isValid(changed));
            changed.erase(field.key());
            CHECK(isValid(changed) == (field.key() == "born")); // older backend servers do not send their start time
        }
    }

    SUBCASE("an unknown state or a number out of range is refused")
    {
        heartbeat["state"] = "leaving";
        CHECK_FALSE(isValid(heartbeat));
        heartbeat = validHeartbeat();
        heartbeat["slots"] = 0;
        CHECK_FALSE(isValid(heartbeat));
        heartbeat = validHeartbeat();
        heartbeat["sequence"] = -1;
        CHECK_FALSE(isValid(heartbeat));
    }

    SUBCASE("a departure may contain the start time")
    {
        CHECK(platform::parseDepartureStart(R"({"born":7})") == 7);
        CHECK(platform::parseDepartureStart("") == 0);
        CHECK(platform::parseDepartureStart("x") == 0);
        CHECK(platform::parseDepartureStart(R"({"born":"7"})") == 0);
    }
}
