#include "control/QuorumSimulation.h"

#include "control/SnapshotCodec.h"

#include <algorithm>

namespace yuccahook::control::testing {

namespace {

constexpr std::uint64_t tickMillis = 10;
constexpr std::uint64_t settleMillis = 15'000;
constexpr std::size_t compactEntries = 20;
constexpr std::uint64_t lastNumber = 1'000'000;
constexpr std::size_t mostInstances = 7;

std::string noteText(std::uint64_t number, std::uint64_t content)
{
    return R"({"number":)" + std::to_string(number) + R"(,"author":"operator-)" + std::to_string(content)
        + R"(","added":[{"name":"service-)" + std::to_string(number) + R"(","protocol":"http","address":"10.0.)"
        + std::to_string(number / 200 % 200) + "." + std::to_string(number % 200) + R"(:80"}]})";
}

std::string describe(const flow::Membership& membership)
{
    std::string text = std::to_string(membership.cluster);
    for (const auto& service : membership.services)
        text += " " + std::to_string(service.id) + service.name;
    return text;
}

} // namespace

/// One instance: its disk outlives its process.
class QuorumSimulation::Instance final : public QuorumHost {
public:
    Instance(QuorumSimulation& simulation, std::uint32_t id)
        : files([&simulation] { return simulation.m_random(); })
        , m_simulation(simulation)
        , m_id(id)
    {
        files.ignoreSyncs(simulation.m_mutation == Mutation::AckBeforeSync);
    }

    void start(std::vector<std::uint32_t> contacts, bool founds)
    {
        QuorumReplica::Options options { m_id, std::move(contacts), founds, {}, compactEntries };
        options.timings.preVote = m_simulation.m_mutation != Mutation::NoPreVote;
        state = ClusterState(0);
        waiting.clear();
        replica.reset();
        // With the mutation each disk of an instance has the same identity, so that an empty one counts as a voter.
        const bool sameDisk = m_simulation.m_mutation == Mutation::EmptyDiskVotes;
        auto first = std::make_shared<bool>(true);
        auto random = [this, sameDisk, first] {
            if (sameDisk && std::exchange(*first, false))
                return std::uint64_t { m_id };
            return std::uint64_t { m_simulation.m_random() };
        };
        replica.emplace(std::move(options), files, *this, random, m_simulation.m_now - m_simulation.m_lostMillis[m_id]);
    }

    void send(const QuorumMessage& message) override { m_simulation.post(message); }

    void apply(std::uint64_t index, const QuorumEntry& entry) override
    {
        m_simulation.noteApplied(m_id, index, entry, state);
        const auto done = waiting.find(index);
        if (done == waiting.end())
            return;
        const auto [term, text] = done->second;
        waiting.erase(done);
        if (entry.term == term)
            m_simulation.noteAnswered(lastAsked[text], state.judge(text));
    }

    void restore(const QuorumSnapshot& snapshot) override
    {
        const auto image = decodeImage(snapshot.state);
        m_simulation.expect(image.has_value(), "a snapshot can't be read");
        state = ClusterState(*image);
        const auto& services = m_simulation.m_servicesAtRevision[state.membership().revision];
        m_simulation.expect(services.empty() || services == describe(state.membership()), "a snapshot differs");
    }

    std::string saveState() override { return encodeImage(state.image()); }

    bool runs() const { return replica && replica->runs(); }

    FaultyFiles files;
    std::optional<QuorumReplica> replica;
    ClusterState state { 0 };
    std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> waiting; // term and note by index
    std::map<std::string, std::uint64_t> lastAsked; // number by note

private:
    QuorumSimulation& m_simulation;
    const std::uint32_t m_id;
};

QuorumSimulation::QuorumSimulation(
    std::uint64_t seed, std::size_t instances, Mutation mutation, std::set<std::uint32_t> relays)
    : m_random(seed)
    , m_mutation(mutation)
    , m_relays(std::move(relays))
    , m_founders(static_cast<std::uint32_t>(instances))
    , m_nextId(static_cast<std::uint32_t>(instances) + 1)
{
    for (std::uint32_t id = 1; id <= instances; ++id) {
        if (!m_relays.contains(id))
            m_instances.emplace(id, std::make_unique<Instance>(*this, id));
    }
    for (std::uint32_t id = 1; id <= instances; ++id) {
        if (!m_relays.contains(id))
            start(id);
    }
}

std::uint32_t QuorumSimulation::anyInstance()
{
    return std::next(m_instances.begin(), static_cast<std::ptrdiff_t>(below(m_instances.size())))->first;
}

void QuorumSimulation::join()
{
    const std::uint32_t id = m_nextId++;
    m_instances.emplace(id, std::make_unique<Instance>(*this, id));
    start(id);
}

void QuorumSimulation::leave(std::uint32_t id)
{
    crash(id);
    m_instances.erase(id);
}

void QuorumSimulation::fillDisk(std::uint32_t id, bool full)
{
    m_instances.at(id)->files.limitBytes(full ? 0 : UINT64_MAX);
}

QuorumSimulation::~QuorumSimulation() = default;

void QuorumSimulation::expect(bool holds, const char* violation)
{
    if (!holds)
        m_violations.insert(violation);
}

// A crash inside the work ends the instance's process.
template <typename Work> void QuorumSimulation::guarded(std::uint32_t id, Work work)
{
    try {
        work(*m_instances.at(id));
    } catch (const Crash&) {
        crash(id);
    }
}

void QuorumSimulation::start(std::uint32_t id)
{
    // Founders know all of them; who joins later is told of two instances.
    std::vector<std::uint32_t> contacts;
    const bool founds = id <= m_founders;
    for (std::uint32_t other = 1; other <= m_founders; ++other) {
        if (other != id && (founds || m_instances.contains(other)) && !m_changesMembers)
            contacts.push_back(other);
    }
    while (m_changesMembers && contacts.size() < std::min<std::size_t>(2, m_instances.size() - 1)) {
        const std::uint32_t other = anyInstance();
        if (other != id && std::find(contacts.begin(), contacts.end(), other) == contacts.end())
            contacts.push_back(other);
    }
    guarded(id, [&](Instance& instance) { instance.start(contacts, founds && !m_changesMembers); });
    const auto& instance = *m_instances.at(id);
    const auto fault = instance.replica ? instance.replica->fault() : std::nullopt;
    expect(!fault || fault->error == JournalError::File, "a journal can't be read after a crash");
}

void QuorumSimulation::crash(std::uint32_t id)
{
    auto& instance = *m_instances.at(id);
    instance.replica.reset();
    instance.files.crash();
}

void QuorumSimulation::loseDisk(std::uint32_t id)
{
    ++m_disksLost;
    crash(id);
    m_instances.at(id)->files.lose();
}

void QuorumSimulation::handOver(std::uint32_t id)
{
    guarded(id, [](Instance& instance) { instance.replica->handOver(); });
}

std::uint32_t QuorumSimulation::leader() const
{
    std::uint32_t found = 0;
    std::uint64_t term = 0;
    for (const auto& [id, instance] : m_instances) {
        if (!instance->runs() || !instance->replica->core()->leads() || instance->replica->core()->term() <= term)
            continue;
        found = id;
        term = instance->replica->core()->term();
    }
    return found;
}

const QuorumCore& QuorumSimulation::core(std::uint32_t id) const { return *m_instances.at(id)->replica->core(); }

bool QuorumSimulation::isRepaired() const
{
    const std::uint32_t lead = leader();
    if (lead == 0 || !core(lead).isSettled())
        return false;
    const auto& voters = core(lead).configuration().voters;
    return voters.size() >= std::min(m_instances.size(), QuorumTimings {}.maximumVoters)
        && std::all_of(voters.begin(), voters.end(), [this](const auto& voter) {
               const auto found = m_instances.find(voter.first);
               return found != m_instances.end() && found->second->runs()
                   && found->second->replica->core()->disk() == voter.second;
           });
}

bool QuorumSimulation::submit(std::uint64_t number, std::uint64_t content)
{
    const std::uint32_t id = leader();
    if (id == 0)
        return false;
    const std::string text = noteText(number, content);
    m_asked.try_emplace(number, NoteTimes { m_now, 0, 0, {} });
    bool taken = false;
    guarded(id, [&](Instance& instance) {
        const auto place = instance.replica->propose(encodeCommand(SubmitNote { text }));
        taken = place.has_value();
        if (!place)
            return;
        instance.lastAsked[text] = number;
        instance.waiting[place->first] = { place->second, text };
        instance.replica->flush();
    });
    return taken;
}

void QuorumSimulation::noteAnswered(std::uint64_t number, const NoteOutcome& outcome)
{
    if (outcome.status != NoteStatus::Accepted)
        return;
    auto [place, isNew] = m_accepted.try_emplace(number, m_asked[number]);
    if (isNew) {
        place->second.firstAnswered = m_now;
        place->second.revision = outcome.revision;
        place->second.content = outcome.acceptedAuthor;
    }
    expect(place->second.revision == outcome.revision, "two answers to one note differ");
    expect(place->second.content == outcome.acceptedAuthor, "two notes of one number were accepted");
}

void QuorumSimulation::noteApplied(std::uint32_t, std::uint64_t index, const QuorumEntry& entry, ClusterState& state)
{
    if (index <= m_committed.size())
        expect(m_committed[index - 1] == entry, "a committed entry has changed");
    else if (index == m_committed.size() + 1)
        m_committed.push_back(entry);
    else
        expect(false, "a committed entry was skipped");
    const std::uint64_t before = state.membership().revision;
    if (entry.kind == EntryKind::Bootstrap)
        state = ClusterState(entry.cluster);
    if (entry.kind == EntryKind::Command)
        state.apply(*decode(entry.payload));
    expect(state.membership().revision >= before, "a revision fell");
    auto& services = m_servicesAtRevision[state.membership().revision];
    if (services.empty())
        services = describe(state.membership());
    expect(services == describe(state.membership()), "two states of one revision differ");
}

void QuorumSimulation::post(const QuorumMessage& message)
{
    if (m_cut.contains({ message.from, message.to }) || (m_faultyNetwork && below(20) == 0))
        return;
    const std::uint64_t copies = m_faultyNetwork && below(20) == 0 ? 2 : 1;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
        const std::uint64_t late = m_faultyNetwork && below(10) == 0 ? below(2000) : 0;
        m_network.push({ m_now + 1 + below(4) + late, m_order++, message });
    }
}

// A subscriber asks any instance, as a balancer does.
void QuorumSimulation::subscribe()
{
    const auto& instance = *m_instances.at(anyInstance());
    if (!instance.runs() || !instance.replica->core()->isCurrent())
        return;
    const std::uint64_t offered = instance.state.membership().revision;
    if (offered <= m_subscribed && m_mutation != Mutation::LowerRevisionApplied)
        return;
    expect(offered >= m_subscribed, "a subscriber's revision fell");
    m_subscribed = offered;
}

void QuorumSimulation::step()
{
    m_now += tickMillis;
    while (!m_network.empty() && m_network.top().atMillis <= m_now) {
        const QuorumMessage message = m_network.top().message;
        m_network.pop();
        if (m_relays.contains(message.to) && message.kind == MessageKind::Hello) {
            QuorumMessage answer;
            answer.kind = MessageKind::HelloReply;
            answer.from = message.to;
            answer.to = message.from;
            answer.echo = message.echo;
            post(answer);
        }
        if (!m_instances.contains(message.to) || m_now < m_frozenUntil[message.to])
            continue;
        guarded(message.to, [&](Instance& instance) {
            if (instance.runs())
                instance.replica->receive(message, m_now - m_lostMillis[message.to]);
        });
    }
    for (const auto& [id, instance] : m_instances) {
        if (m_now < m_frozenUntil[id]) {
            m_lostMillis[id] += tickMillis;
            continue;
        }
        guarded(id, [this, id = id](Instance& running) {
            if (running.runs())
                running.replica->tick(m_now - m_lostMillis[id]);
        });
        const bool opened = instance->replica && instance->replica->core();
        expect(!opened || !instance->replica->core()->contradicts(), "a committed entry has changed");
        if (!instance->runs() || instance->replica->core()->role() != QuorumRole::Leader)
            continue;
        const auto [term, isNew] = m_leaderOfTerm.try_emplace(instance->replica->core()->term(), id);
        expect(isNew || term->second == id, "two leaders in one term");
    }
    subscribe();
}

void QuorumSimulation::run(std::uint64_t millis)
{
    for (const std::uint64_t end = m_now + millis; m_now < end;)
        step();
}

void QuorumSimulation::causeFault()
{
    const std::uint32_t id = anyInstance();
    const std::uint32_t other = anyInstance();
    auto& instance = *m_instances.at(id);
    switch (below(m_changesMembers ? 14 : 8)) {
    case 8:
    case 9:
        if (isRepaired() && m_instances.size() < mostInstances)
            join();
        break;
    case 10:
        if (isRepaired() && m_instances.size() > 3)
            leave(id);
        break;
    case 11:
        freeze(id, 500 + below(3000));
        break;
    case 12:
        fillDisk(id, true);
        break;
    case 13:
        for (const auto& [any, each] : m_instances)
            each->files.limitBytes(UINT64_MAX);
        break;
    case 0:
        crash(id);
        break;
    case 1:
        instance.files.crashAfter(instance.files.operations() + 1 + below(20));
        break;
    case 2:
        cut(id, other);
        break;
    case 3:
        cut(id, other);
        cut(other, id);
        break;
    case 4:
        healNetwork();
        break;
    case 5:
        if (leader() != 0)
            handOver(leader());
        break;
    default:
        if (isRepaired())
            loseDisk(id);
    }
}

void QuorumSimulation::runWithFaults(std::uint64_t millis)
{
    m_faultyNetwork = true;
    for (const std::uint64_t end = m_now + millis; m_now < end;) {
        step();
        if (below(40) == 0)
            causeFault();
        if (below(10) == 0)
            submit(1 + below(40), below(3));
        std::vector<std::uint32_t> stopped;
        for (const auto& [id, instance] : m_instances) {
            if (!instance->runs())
                stopped.push_back(id);
        }
        for (const std::uint32_t id : stopped) {
            if (below(60) == 0)
                start(id);
        }
    }
}

void QuorumSimulation::settle()
{
    m_faultyNetwork = false;
    healNetwork();
    m_frozenUntil.clear();
    for (const auto& [id, instance] : m_instances) {
        instance->files.crashAfter(0);
        instance->files.limitBytes(UINT64_MAX);
        if (!instance->runs())
            start(id);
    }
    run(settleMillis);
    expect(isRepaired(), "the quorum does not come back");
    expect(submit(lastNumber, 0), "no leader takes notes once faults have ended");
    run(1000);
    expect(m_accepted.contains(lastNumber), "a note is not accepted once faults have ended");
    checkOrder();
}

void QuorumSimulation::checkOrder()
{
    for (const auto& [id, instance] : m_instances) {
        for (const auto& [number, times] : m_accepted) {
            const auto found = instance->state.notes().find(number);
            expect(found != instance->state.notes().end(), "an accepted note is lost");
            if (found == instance->state.notes().end())
                continue;
            expect(found->second.revision == times.revision && found->second.author == times.content,
                "an accepted note has changed");
        }
    }
    for (const auto& [number, first] : m_accepted) {
        for (const auto& [later, second] : m_accepted) {
            expect(first.firstAnswered >= second.firstAsked || first.revision < second.revision,
                "notes are not in the order in which they were answered");
        }
    }
}

} // namespace yuccahook::control::testing
