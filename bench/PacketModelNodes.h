#pragma once

#include "PacketModel.h"

#include <cstring>
#include <deque>
#include <unordered_map>

namespace yuccahook::bench {

/// Packets of the model: a header of 32 bytes, then the number of the request.
class ModelCodec final : public flow::PacketCodec {
public:
    std::optional<flow::PacketHeader> decode(flow::PacketBytes bytes) const override;
    void restore(std::span<std::uint8_t> packet) const override
    {
        packet[flagsAt] &= static_cast<std::uint8_t>(~bounced);
    }
    Reset reset(const flow::PacketFlow& flow, std::uint32_t sequence) const override;

    static std::vector<std::uint8_t> encode(const flow::PacketHeader& header, std::uint64_t request, std::size_t bytes);
    static std::uint64_t requestOf(flow::PacketBytes packet);

    static constexpr std::size_t flagsAt = 12;
    static constexpr std::uint8_t bounced = 16;
};

const ModelCodec& modelCodec();

/// One try of a request, on a flow of its own.
struct PacketModel::Attempt {
    std::shared_ptr<Request> request;
    flow::PacketFlow flow;
    std::uint32_t domain = 0;
    std::uint32_t answerSequence = 0;
    std::size_t backend = SIZE_MAX; // where it is open
    std::size_t placed = SIZE_MAX; // by a policy other than ours
    std::uint64_t incarnation = 0;
    bool open = false;
    bool ended = false;
};

/// A caller's request and its tries.
struct PacketModel::Request {
    std::uint64_t number = 0;
    std::uint32_t domain = 0;
    double asked = 0;
    std::uint32_t tries = 0;
    bool isUnsafe = false;
    bool ended = false;
    bool mayHaveRun = false;
};

class PacketModel::BalancerNode final : public flow::PacketOutput {
public:
    BalancerNode(PacketModel& model, std::size_t index);

    void start();
    void tick();
    void sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram) override;
    void sendToCaller(std::uint32_t host, flow::PacketBytes packet) override;
    void sendToBackend(flow::PacketBytes) override { }
    void recordDecision(const flow::FlowDecision& decision) override;

    PacketModel& model;
    std::uint32_t domain = 0;
    flow::PacketEndpoint trunk;
    std::unique_ptr<flow::PacketBalancer> core; // null while down
    bool knowsRoutes = true;
    double frozenSince = 0;
    double frozenUntil = 0;
    std::vector<std::vector<std::uint8_t>> piledUp;
};

/// An agent and its backend server.
class PacketModel::AgentNode final : public flow::PacketOutput {
public:
    AgentNode(PacketModel& model, std::size_t index);

    void start();
    void tick();
    void report();
    void sendToTrunk(const flow::PacketEndpoint& to, flow::PacketBytes datagram) override;
    void sendToCaller(std::uint32_t host, flow::PacketBytes packet) override;
    void sendToBackend(flow::PacketBytes packet) override;
    void recordDecision(const flow::FlowDecision& decision) override;

    /// The backend server takes a packet.
    void take(const std::vector<std::uint8_t>& packet);

    struct BackendFlow {
        std::uint32_t sequence = 0;
        bool asked = false;
        bool answered = false;
        std::vector<std::uint8_t> answer;
    };

    void work(const flow::PacketFlow& flow, std::uint64_t request);
    void startWaiting();
    void shed(const flow::PacketFlow& flow, std::uint64_t request);
    void send(std::vector<std::uint8_t> packet);
    double drawWork();

    PacketModel& model;
    std::size_t index = 0;
    std::uint32_t domain = 0;
    std::uint32_t service = 0;
    std::uint32_t member = 0;
    flow::PacketEndpoint trunk;
    std::unique_ptr<flow::PacketAgent> core; // null while down
    double frozenUntil = 0;

    // The backend server.
    bool alive = true;
    bool draining = false;
    double drainedAt = 0;
    std::uint64_t incarnation = 1;
    std::uint64_t reports = 0;
    double slowness = 1;
    std::uint32_t running = 0;
    std::uint64_t ran = 0;
    std::deque<std::pair<flow::PacketFlow, std::uint64_t>> waiting;
    std::unordered_map<flow::PacketFlow, BackendFlow> flows;
};

} // namespace yuccahook::bench
