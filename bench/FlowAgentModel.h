#pragma once

#include "flow/AgentFlows.h"

#include <limits>
#include <map>
#include <memory>

namespace yuccahook::bench {

/// The flow decisions of an agent. Lets the simulated cluster run flow::AgentFlows and a naive baseline alike.
/// Functions that an implementation without a directory does not need do nothing by default.
class FlowAgentModel {
public:
    virtual ~FlowAgentModel() = default;
    virtual void setMembership(const flow::MembershipPointer& membership, std::uint32_t self) = 0;
    virtual void drain() = 0;
    virtual flow::Decision decide(const flow::Packet& packet, flow::Time now) = 0;
    virtual std::vector<std::uint32_t> probeTargets() const { return {}; }
    virtual void close(const flow::FlowKey& key, flow::Time now) = 0;
    virtual bool hasOpenFlow(const flow::FlowKey& key) const = 0;
    virtual std::size_t size() const = 0;
    virtual void receive(const flow::PeerMessage&, flow::Time) { }
    virtual void tick(flow::Time) { }
    virtual std::vector<flow::PeerMessage> takeMessages() { return {}; }
    virtual flow::AgentFlows::Counts counts() const { return {}; }
    virtual std::size_t bucketsWaiting() const { return 0; }
};

/// Decides with flow::AgentFlows, without a limit on open flows.
class ProductionFlowAgent final : public FlowAgentModel {
public:
    void setMembership(const flow::MembershipPointer& membership, std::uint32_t self) override
    {
        m_flows.setMembership(membership, self);
    }
    void drain() override { m_flows.drain(); }
    flow::Decision decide(const flow::Packet& packet, flow::Time now) override { return m_flows.decide(packet, now); }
    std::vector<std::uint32_t> probeTargets() const override
    {
        return { m_flows.probeTargets().begin(), m_flows.probeTargets().end() };
    }
    void close(const flow::FlowKey& key, flow::Time now) override { m_flows.close(key, now); }
    bool hasOpenFlow(const flow::FlowKey& key) const override { return m_flows.hasOpenFlow(key); }
    std::size_t size() const override { return m_flows.size(); }
    void receive(const flow::PeerMessage& message, flow::Time now) override { m_flows.receive(message, now); }
    void tick(flow::Time now) override { m_flows.tick(now); }
    std::vector<flow::PeerMessage> takeMessages() override { return m_flows.takeMessages(); }
    flow::AgentFlows::Counts counts() const override { return m_flows.counts(); }
    std::size_t bucketsWaiting() const override { return m_flows.bucketsWaiting(); }

private:
    flow::AgentFlows m_flows { std::numeric_limits<std::uint32_t>::max() };
};

/// A target behind hash-modulo routing: opens every flow that it does not know, and delivers every packet.
class NaiveFlowAgent final : public FlowAgentModel {
public:
    void setMembership(const flow::MembershipPointer&, std::uint32_t) override { }
    void drain() override { }
    flow::Decision decide(const flow::Packet& packet, flow::Time now) override
    {
        const bool added = m_flows.emplace(packet.key, now).second;
        return { added ? flow::Verdict::Open : flow::Verdict::Deliver, 0, flow::RefusalReason::None, {} };
    }
    void close(const flow::FlowKey& key, flow::Time) override { m_flows.erase(key); }
    bool hasOpenFlow(const flow::FlowKey& key) const override { return m_flows.contains(key); }
    std::size_t size() const override { return m_flows.size(); }

private:
    std::unordered_map<flow::FlowKey, flow::Time> m_flows;
};

} // namespace yuccahook::bench
