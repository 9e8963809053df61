#include "platform/BackendHeartbeat.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace yuccahook;
using nlohmann::json;

namespace {

json goodHeartbeat()
{
    return json::parse(R"({"service":"one","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":3,
        "state":"ready","coldRemainingMs":10,"sequence":4,"born":1789029671074})");
}

bool isRead(const json& heartbeat)
{
    settings::Faults faults;
    return platform::parseHeartbeat("i-1", heartbeat.dump(), faults).has_value();
}

} // namespace

TEST_CASE("Heartbeats of backend servers are read whole or not at all")
{
    auto heartbeat = goodHeartbeat();

    SUBCASE("a good one")
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

    SUBCASE("a field that is missing or of another type")
    {
        const auto good = goodHeartbeat();
        for (const auto& field : good.items()) {
            CAPTURE(field.key());
            auto changed = goodHeartbeat();
            changed[field.key()] = json::array();
            CHECK_FALSE(isRead(changed));
            changed.erase(field.key());
            CHECK(isRead(changed) == (field.key() == "born")); // older writers do not say when they started
        }
    }

    SUBCASE("a state that is not named, or numbers out of range")
    {
        heartbeat["state"] = "leaving";
        CHECK_FALSE(isRead(heartbeat));
        heartbeat = goodHeartbeat();
        heartbeat["slots"] = 0;
        CHECK_FALSE(isRead(heartbeat));
        heartbeat = goodHeartbeat();
        heartbeat["sequence"] = -1;
        CHECK_FALSE(isRead(heartbeat));
    }

    SUBCASE("a farewell may name the start")
    {
        CHECK(platform::startOf(R"({"born":7})") == 7);
        CHECK(platform::startOf("") == 0);
        CHECK(platform::startOf("x") == 0);
        CHECK(platform::startOf(R"({"born":"7"})") == 0);
    }
}
