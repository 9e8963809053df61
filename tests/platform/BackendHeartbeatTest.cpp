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

    // Guards against processes that end, or stop following the list, for one odd entry among the backend servers'.
    SUBCASE("an entry that nests deeply, has a number too large or a port out of range is refused")
    {
        settings::Faults faults;
        for (const int depth : { 33, 1000, 1'000'000 }) {
            std::string nested(depth, '[');
            nested.append(depth, ']');
            CHECK_FALSE(platform::parseHeartbeat("i-1", nested, faults));
            nested.insert(0, R"({"service":)");
            CHECK_FALSE(platform::parseHeartbeat("i-1", nested, faults));
            nested += '}';
            CHECK_FALSE(platform::parseHeartbeat("i-1", nested, faults));
        }
        const std::string rest
            = R"("service":"one","zone":"a","version":"v1","state":"ready","coldRemainingMs":0,"sequence":4})";
        for (const char* number : { "1e999", "-1e999", "99999999999999999999", "18446744073709551616", "-1", "1.5" }) {
            CAPTURE(number);
            CHECK_FALSE(platform::parseHeartbeat(
                "i-1", R"({"address":"10.0.0.1:80","slots":)" + std::string(number) + "," + rest, faults));
        }
        for (const char* address : { "10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:0",
                 "10.0.0.1:", "10.0.0.1:80x", ":80", "10.0.0.999:80", "" }) {
            CAPTURE(address);
            CHECK_FALSE(platform::parseHeartbeat(
                "i-1", R"({"address":")" + std::string(address) + R"(","slots":3,)" + rest, faults));
        }
        settings::Faults none;
        CHECK(platform::parseHeartbeat("i-1", R"({"address":"10.0.0.1:80","slots":3,)" + rest, none));
    }

    SUBCASE("a departure may contain the start time")
    {
        CHECK(platform::parseDepartureStart(R"({"born":7})") == 7);
        CHECK(platform::parseDepartureStart("") == 0);
        CHECK(platform::parseDepartureStart("x") == 0);
        CHECK(platform::parseDepartureStart(R"({"born":"7"})") == 0);
    }
}
