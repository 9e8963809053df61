#include "Scenario.h"

#include "control/ControlClient.h"
#include "control/ControlNode.h"
#include "net/HttpClient.h"
#include "net/OperatorServer.h"
#include "observe/Counters.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace yuccahook::bench {

namespace {

using Clock = std::chrono::steady_clock;
using AcceptedNotes = std::map<std::uint64_t, std::uint64_t>; // revision by number

constexpr auto waitLimit = std::chrono::seconds(60);
constexpr auto pollInterval = std::chrono::milliseconds(2);
constexpr auto callTimeout = std::chrono::seconds(10);
constexpr std::uint64_t initialNotes = 10;

double secondsSince(Clock::time_point start) { return std::chrono::duration<double>(Clock::now() - start).count(); }

net::Address freeAddress()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_storage socket {};
    socklen_t length = net::Address::parseHost("127.0.0.1", 0)->toSocket(socket);
    if (::bind(probe, reinterpret_cast<const sockaddr*>(&socket), length) != 0)
        throw std::runtime_error("cannot bind a socket to a free port of 127.0.0.1");
    length = sizeof socket;
    ::getsockname(probe, reinterpret_cast<sockaddr*>(&socket), &length);
    ::close(probe);
    return net::Address::fromSocket(socket);
}

/// A temporary folder, removed by the destructor.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "yuccahook-recovery-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            throw std::runtime_error("cannot create a temporary folder");
        m_path = pattern;
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }

    std::string file(const std::string& name) const { return (m_path / name).string(); }

private:
    std::filesystem::path m_path;
};

/// A control instance with real files and sockets. Its data folder is kept when it stops.
class Instance {
public:
    Instance(settings::ControlSettings settings, net::Address operatorAddress)
        : m_settings(std::move(settings))
        , m_operator(operatorAddress)
    {
    }

    void start()
    {
        m_process = std::make_unique<Process>(m_settings, m_operator);
        if (!m_process->node.start() || !m_process->operatorServer.start())
            throw std::runtime_error("a control instance failed to start");
    }

    void stop()
    {
        m_process->operatorServer.stop();
        m_process->node.stop();
        m_process.reset();
    }

    void deleteData() { std::filesystem::remove_all(m_settings.data); }
    const net::Address& rpcAddress() const { return m_settings.listen; }
    std::uint64_t counter(const std::string& name) const { return m_process->counters.values()[name]; }

    std::optional<net::HttpResponse> call(const net::HttpRequest& request) const
    {
        return net::sendHttpRequest(m_operator, request, callTimeout);
    }

private:
    struct Process {
        Process(const settings::ControlSettings& settings, const net::Address& address)
            : operatorServer({ address }, counters)
            , node(settings, operatorServer, counters)
        {
        }

        observe::Counters counters;
        net::OperatorServer operatorServer;
        control::ControlNode node;
    };

    const settings::ControlSettings m_settings;
    const net::Address m_operator;
    std::unique_ptr<Process> m_process;
};

/// Control instances that form one quorum, and the notes that they have accepted.
class Cluster {
public:
    explicit Cluster(std::uint32_t count)
    {
        std::vector<net::Address> addresses;
        for (std::uint32_t id = 1; id <= count; ++id)
            addresses.push_back(freeAddress());
        for (std::uint32_t id = 1; id <= count; ++id) {
            settings::ControlSettings settings { id, addresses[id - 1], m_folder.file(std::to_string(id)), {} };
            for (std::uint32_t peer = 1; peer <= count; ++peer) {
                if (peer != id)
                    settings.peers.push_back({ peer, addresses[peer - 1] });
            }
            m_instances.push_back(std::make_unique<Instance>(settings, freeAddress()));
            m_instances.back()->start();
        }
    }

    Instance& operator[](std::size_t index) { return *m_instances[index]; }
    std::size_t size() const { return m_instances.size(); }
    const AcceptedNotes& accepted() const { return m_accepted; }
    std::vector<double> acceptMillis() const { return m_acceptMillis; }

    /// Submits the next notes to the first instance, each repeatedly until it is accepted. Throws std::runtime_error if
    /// a note is refused.
    void submit(std::uint64_t count)
    {
        for (const std::uint64_t last = m_accepted.size() + count; m_accepted.size() < last;) {
            const std::uint64_t number = m_accepted.size() + 1;
            const nlohmann::json service { { "name", "service-" + std::to_string(number) }, { "protocol", "http" },
                { "address",
                    "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":80" } };
            const nlohmann::json note { { "number", number }, { "author", "ana" },
                { "added", nlohmann::json::array({ service }) } };
            const auto start = Clock::now();
            const auto response = m_instances.front()->call({ "POST", "/notes", "", note.dump() });
            if (response && response->status == 200) {
                m_accepted[number] = nlohmann::json::parse(response->body)["revision"].get<std::uint64_t>();
                m_acceptMillis.push_back(1000 * secondsSince(start));
            } else if (response && response->status < 500) {
                throw std::runtime_error(response->body);
            } else {
                std::this_thread::sleep_for(pollInterval);
            }
        }
    }

    /// Number of accepted notes that an instance lacks or has stored with another revision.
    std::uint64_t countLostNotes(std::size_t index) const
    {
        const auto response = m_instances[index]->call({ "GET", "/notes", "", "" });
        AcceptedNotes stored;
        for (const auto& note :
            nlohmann::json::parse(response ? response->body : "{}").value("notes", nlohmann::json()))
            stored[note["number"]] = note["revision"];
        return static_cast<std::uint64_t>(
            std::count_if(m_accepted.begin(), m_accepted.end(), [&stored](const auto& note) {
                const auto found = stored.find(note.first);
                return found == stored.end() || found->second != note.second;
            }));
    }

private:
    TemporaryFolder m_folder;
    std::vector<std::unique_ptr<Instance>> m_instances;
    AcceptedNotes m_accepted;
    std::vector<double> m_acceptMillis;
};

/// Returns false if the condition is not met within waitLimit.
template <typename Condition> bool waitFor(Condition condition)
{
    for (const auto start = Clock::now(); !condition();) {
        if (Clock::now() - start > waitLimit)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

/// Starts an instance and returns the seconds until a new subscriber, which knows only this instance, has received the
/// revision.
double secondsToServe(Instance& instance, std::uint64_t revision)
{
    const auto start = Clock::now();
    instance.start();
    control::ControlClient subscriber("recovery", { instance.rpcAddress() });
    subscriber.start();
    waitFor([&] { return subscriber.membership()->revision >= revision; });
    const double seconds = secondsSince(start);
    subscriber.stop();
    return seconds;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

nlohmann::json runQuorum(std::uint64_t missedRevisions)
{
    Cluster cluster(3);
    cluster.submit(initialNotes);
    nlohmann::json figures;
    Instance& last = cluster[2];
    last.stop();
    cluster.submit(missedRevisions);
    figures["seconds_to_serve_after_restart"] = secondsToServe(last, cluster.accepted().rbegin()->second);
    last.stop();
    last.deleteData();
    cluster.submit(initialNotes);
    const auto start = Clock::now();
    figures["seconds_to_serve_after_lost_disk"] = secondsToServe(last, cluster.accepted().rbegin()->second);
    waitFor([&] { return last.counter("quorum_votes") == 1; });
    figures["seconds_to_vote_after_lost_disk"] = secondsSince(start);
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster[index].stop();
    const auto allStart = Clock::now();
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster[index].start();
    std::uint64_t lost = 0;
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        waitFor([&] { return cluster[index].counter("quorum_current") == 1; });
        lost = std::max(lost, cluster.countLostNotes(index));
    }
    figures["seconds_to_serve_after_all_restarted"] = secondsSince(allStart);
    figures["lost_after_accept"] = lost;
    figures["notes_accepted"] = cluster.accepted().size();
    figures["accept_ms_p50"] = quantile(cluster.acceptMillis(), 0.5);
    figures["accept_ms_p99"] = quantile(cluster.acceptMillis(), 0.99);
    return figures;
}

/// Restarts a single instance without its data.
nlohmann::json runWithoutJournal(std::uint64_t missedRevisions)
{
    Cluster cluster(1);
    cluster.submit(initialNotes + missedRevisions);
    cluster[0].stop();
    cluster[0].deleteData();
    const auto start = Clock::now();
    cluster[0].start();
    waitFor([&] { return cluster[0].counter("quorum_current") == 1; });
    return { { "seconds_to_serve_after_restart", secondsSince(start) },
        { "lost_after_accept", cluster.countLostNotes(0) }, { "notes_accepted", cluster.accepted().size() } };
}

nlohmann::json run(const ScenarioOptions& options)
{
    const std::uint64_t missedRevisions = options.number("revisions", 1000);
    return { { "ours", runQuorum(missedRevisions) }, { "naive", runWithoutJournal(missedRevisions) } };
}

const ScenarioRegistration registration { { "recovery",
    "Control instances on real files and loopback: seconds to serve after a restart, after many missed revisions, "
    "after a lost disk; naive is one instance that loses its data. Wall time.",
    "--revisions N missed while stopped (default 1000)", run } };

} // namespace

} // namespace yuccahook::bench
