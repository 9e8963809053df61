#include "request/ClaimTable.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>

using namespace yuccahook;
using request::ClaimDecision;
using request::ClaimState;
using request::ClaimTable;
using request::RequestReason;
using request::Time;

namespace {

constexpr Time retention = std::chrono::seconds(60);

/// Agents of one service. Messages are delivered at once, except those from or to agents in `unreachable`.
struct Agents {
    std::map<std::uint32_t, std::unique_ptr<ClaimTable>> tables;
    std::set<std::uint32_t> unreachable;
    std::map<std::uint64_t, ClaimDecision> decisions; // of all agents, by member and attempt
    std::uint64_t revision = 0;
    Time now = std::chrono::seconds(1);

    explicit Agents(std::uint32_t count, std::size_t maximumClaims = 100)
    {
        for (std::uint32_t id = 1; id <= count; ++id)
            tables[id] = std::make_unique<ClaimTable>(request::ClaimLimits { maximumClaims, 1 << 20, retention });
        publish();
    }

    void publish()
    {
        ++revision;
        std::vector<request::ClaimMember> members;
        for (const auto& [id, table] : tables)
            members.push_back({ id, "domain-" + std::to_string(id % 3) });
        for (const auto& [id, table] : tables)
            table->setView({ revision, id, members }, now);
        deliver();
    }

    void deliver()
    {
        bool moved = true;
        while (moved) {
            moved = false;
            for (const auto& [id, table] : tables) {
                for (const auto& decision : table->takeDecisions())
                    decisions[std::uint64_t { id } * 1000 + decision.attempt] = decision;
                for (const auto& outgoing : table->takeMessages()) {
                    if (unreachable.contains(outgoing.to) || unreachable.contains(id) || !tables.contains(outgoing.to))
                        continue;
                    tables.at(outgoing.to)->receive(outgoing.message, now);
                    moved = true;
                }
            }
        }
    }

    void advance(Time time)
    {
        for (const Time end = now + time; now < end;) {
            now += ClaimTable::tickInterval;
            for (const auto& [id, table] : tables)
                table->tick(now);
            deliver();
        }
    }

    std::uint64_t acquire(std::uint32_t member, const std::string& key, const std::string& body = "")
    {
        const auto attempt = tables.at(member)->acquire(key, request::digestOf("POST", "/", body), now);
        deliver();
        return attempt;
    }

    const ClaimDecision* decision(std::uint32_t member, std::uint64_t attempt) const
    {
        const auto found = decisions.find(std::uint64_t { member } * 1000 + attempt);
        return found != decisions.end() ? &found->second : nullptr;
    }

    RequestReason refusal(std::uint32_t member, const std::string& key)
    {
        const auto attempt = acquire(member, key);
        advance(std::chrono::seconds(3));
        const auto* found = decision(member, attempt);
        return found && found->kind == ClaimDecision::Kind::Refused ? found->reason : RequestReason::None;
    }

    std::size_t copies(const std::string& key) const
    {
        std::size_t count = 0;
        for (const auto& [id, table] : tables)
            count += table->find(key) ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE("A granted claim has copies on three agents in two failure domains")
{
    Agents agents(5);
    for (int index = 0; index < 50; ++index) {
        const std::string key = "key-" + std::to_string(index);
        const auto attempt = agents.acquire(1, key);
        REQUIRE(agents.decision(1, attempt));
        CHECK(agents.decision(1, attempt)->kind == ClaimDecision::Kind::Granted);
        CHECK(agents.copies(key) == 3);
    }

    SUBCASE("It has three copies again after a holder has left")
    {
        agents.tables.erase(2);
        agents.publish();
        agents.advance(std::chrono::seconds(1));
        for (int index = 0; index < 50; ++index)
            CHECK(agents.copies("key-" + std::to_string(index)) >= 3);
    }
}

TEST_CASE("A home agent grants no new claims until every member has reported its claims")
{
    Agents agents(4);
    agents.unreachable = { 4 };
    agents.tables[5] = std::make_unique<ClaimTable>(request::ClaimLimits { 100, 1 << 20, retention });
    agents.publish();
    std::string key = "key";
    while (agents.tables.at(5)->view().homeOf(key) != 5)
        key += "+";
    CHECK(agents.refusal(1, key) == RequestReason::HandoverPending);
    agents.unreachable.clear();
    agents.advance(std::chrono::seconds(1));
    const auto attempt = agents.acquire(1, key);
    REQUIRE(agents.decision(1, attempt));
    CHECK(agents.decision(1, attempt)->kind == ClaimDecision::Kind::Granted);
}

TEST_CASE("A key is refused as not run")
{
    SUBCASE("It is refused when its home agent cannot be reached")
    {
        Agents agents(5);
        std::string key = "key";
        while (agents.tables.at(1)->view().homeOf(key) != 2)
            key += "+";
        agents.unreachable = { 2 };
        CHECK(agents.refusal(1, key) == RequestReason::HomeUnreachable);
    }

    SUBCASE("It is refused when no other agent can store a third copy")
    {
        Agents agents(4);
        std::string key = "key";
        while (agents.tables.at(1)->view().homeOf(key) != 2)
            key += "+";
        agents.unreachable = { 3, 4 };
        CHECK(agents.refusal(1, key) == RequestReason::WitnessUnreachable);
    }

    SUBCASE("It is refused when the table is full, and stored claims are kept for their retention")
    {
        Agents agents(1, 2);
        const auto first = agents.acquire(1, "first");
        agents.tables.at(1)->finish(
            first, ClaimState::Answered, std::make_shared<request::RecordedAnswer>(), agents.now);
        agents.acquire(1, "second");
        CHECK(agents.refusal(1, "third") == RequestReason::ClaimsFull);
        const auto again = agents.acquire(1, "first");
        CHECK(agents.decision(1, again)->kind == ClaimDecision::Kind::Repeated);

        SUBCASE("Claims are deleted after their retention, which makes room")
        {
            agents.advance(retention + std::chrono::seconds(2));
            const auto third = agents.acquire(1, "third");
            CHECK(agents.decision(1, third)->kind == ClaimDecision::Kind::Granted);
            CHECK(agents.tables.at(1)->find("second")); // still running, so it is not deleted
        }
    }
}

TEST_CASE("Merging two attempts of one generation keeps the one that may have run")
{
    request::Claim ran { "key", {}, 1, 1, 0, ClaimState::Unknown, nullptr, {} };
    const request::Claim notRun { "key", {}, 2, 7, 0, ClaimState::NotRun, nullptr, {} };
    CHECK_FALSE(ran.merge(notRun));
    request::Claim merged = notRun;
    CHECK(merged.merge(ran));
    CHECK(merged.state == ClaimState::Unknown);
}
