#include "control/ClusterState.h"

#include "flow/SortedMerge.h"

#include <algorithm>
#include <functional>
#include <set>

namespace yuccahook::control {

namespace {

constexpr std::size_t maximumRecentDeltas = 4096;
constexpr std::size_t maximumRecentRoutes = 20'000; // in all recent deltas, about 5 MB; an instance may use 80 MB

bool sharesAddress(const flow::Membership& membership, const flow::ServiceSpec& spec)
{
    return std::any_of(membership.services.begin(), membership.services.end(), [&spec](const flow::ServiceSpec& other) {
        const bool datagram = other.protocol == flow::Protocol::Datagram;
        return !other.withdrawn && other.name != spec.name && other.address == spec.address
            && datagram == (spec.protocol == flow::Protocol::Datagram);
    });
}

std::set<net::Address> addressesOf(const std::vector<flow::PacketRoute>& routes)
{
    std::set<net::Address> addresses;
    for (const auto& route : routes)
        addresses.insert(route.address);
    return addresses;
}

// Merges a later delta into an earlier one.
void mergeInto(flow::MembershipDelta& total, const flow::MembershipDelta& next)
{
    total.revision = next.revision;
    total.services.insert(total.services.end(), next.services.begin(), next.services.end());
    total.routeVersion = next.routeVersion;
    total.flowIdleMillis = next.flowIdleMillis;
    total.evacuated = next.evacuated;
    total.overload = next.overload;
    if (!next.routes.empty() && !total.removedRoutes.empty()) {
        const std::set<net::Address> added = addressesOf(next.routes);
        std::erase_if(total.removedRoutes, [&added](const net::Address& address) { return added.contains(address); });
    }
    if (!next.removedRoutes.empty()) {
        const std::set<net::Address> removed(next.removedRoutes.begin(), next.removedRoutes.end());
        std::erase_if(
            total.routes, [&removed](const flow::PacketRoute& route) { return removed.contains(route.address); });
    }
    total.routes.insert(total.routes.end(), next.routes.begin(), next.routes.end());
    total.removedRoutes.insert(total.removedRoutes.end(), next.removedRoutes.begin(), next.removedRoutes.end());
    total.members.insert(total.members.end(), next.members.begin(), next.members.end());
    total.removedServices.insert(total.removedServices.end(), next.removedServices.begin(), next.removedServices.end());
    total.removedMembers.insert(total.removedMembers.end(), next.removedMembers.begin(), next.removedMembers.end());
}

} // namespace

ClusterState::ClusterState(std::uint64_t cluster) { m_membership.cluster = cluster; }

ClusterState::ClusterState(ClusterImage image)
    : m_membership(std::move(image.membership))
    , m_notes(std::move(image.notes))
    , m_lastId(image.lastId)
    , m_routeDocument(std::move(image.routeDocument))
{
}

std::optional<NoteOutcome> ClusterState::apply(const Command& command)
{
    if (const auto* submit = std::get_if<SubmitNote>(&command))
        return applyNote(*submit);
    if (const auto* members = std::get_if<UpdateMembers>(&command))
        applyMembers(*members);
    if (const auto* publish = std::get_if<PublishRoutes>(&command))
        applyRoutes(publish->table);
    if (const auto* evacuation = std::get_if<SetEvacuation>(&command))
        applyEvacuation(*evacuation);
    return std::nullopt;
}

NoteOutcome ClusterState::validateNote(const std::string& text) const
{
    NoteOutcome outcome;
    const auto note = parseNote(text, outcome.faults);
    if (!note) {
        outcome.status = NoteStatus::Invalid;
        return outcome;
    }
    flow::MembershipDelta delta;
    return validateNote(*note, delta);
}

NoteOutcome ClusterState::applyNote(const SubmitNote& submit)
{
    NoteOutcome outcome;
    const auto note = parseNote(submit.text, outcome.faults);
    if (!note) {
        outcome.status = NoteStatus::Invalid;
        return outcome;
    }
    flow::MembershipDelta delta;
    outcome = validateNote(*note, delta);
    if (outcome.status != NoteStatus::Accepted || m_notes.contains(note->number))
        return outcome;
    for (auto& service : delta.services) {
        if (service.id == 0)
            service.id = ++m_lastId;
    }
    publish(std::move(delta));
    outcome.revision = m_membership.revision;
    m_notes.emplace(note->number, NoteRecord { note->content, note->author, outcome.revision });
    return outcome;
}

NoteOutcome ClusterState::validateNote(const Note& note, flow::MembershipDelta& delta) const
{
    NoteOutcome outcome { NoteStatus::Accepted, note.number, m_membership.revision + 1, note.author, {} };
    if (const auto accepted = m_notes.find(note.number); accepted != m_notes.end()) {
        outcome.revision = accepted->second.revision;
        outcome.acceptedAuthor = accepted->second.author;
        if (accepted->second.content != note.content)
            outcome.status = NoteStatus::NumberTaken;
        return outcome;
    }
    if (note.basedOn && *note.basedOn != m_membership.revision) {
        outcome.status = NoteStatus::BaseRevisionMismatch;
        outcome.revision = m_membership.revision;
        return outcome;
    }
    const auto addFault
        = [&outcome](settings::FaultKind kind, std::string path, std::string seen, std::string allowed) {
              outcome.faults.push_back({ kind, std::move(path), std::move(seen), std::move(allowed) });
          };
    for (std::size_t index = 0; index < note.added.size(); ++index) {
        const auto& spec = note.added[index];
        const std::string path = "added[" + std::to_string(index) + "]";
        if (m_membership.serviceNamed(spec.name))
            addFault(settings::FaultKind::Conflict, path + ".name", spec.name, "a name that no other service has");
        delta.services.push_back(spec);
    }
    for (std::size_t index = 0; index < note.changed.size(); ++index) {
        const std::string path = "changed[" + std::to_string(index) + "]";
        const std::string name = note.changed[index].value("name", "");
        const auto* existing = m_membership.serviceNamed(name);
        if (!existing) {
            addFault(settings::FaultKind::Conflict, path + ".name", name, "the name of a service");
            continue;
        }
        flow::ServiceSpec spec = *existing;
        readService(note.changed[index], path, false, spec, outcome.faults);
        if (spec.protocol != existing->protocol || spec.buckets != existing->buckets)
            addFault(settings::FaultKind::Conflict, path, name, "the protocol and buckets that the service has");
        delta.services.push_back(spec);
    }
    for (std::size_t index = 0; index < note.withdrawn.size(); ++index) {
        const auto* existing = m_membership.serviceNamed(note.withdrawn[index]);
        if (!existing) {
            addFault(settings::FaultKind::Conflict, "withdrawn[" + std::to_string(index) + "]", note.withdrawn[index],
                "the name of a service");
            continue;
        }
        delta.services.push_back(*existing);
        delta.services.back().withdrawn = true;
    }
    flow::MembershipDelta provisional = delta;
    provisional.cluster = m_membership.cluster;
    provisional.revision = m_membership.revision + 1;
    std::uint32_t provisionalId = UINT32_MAX;
    for (auto& service : provisional.services) {
        if (service.id == 0)
            service.id = provisionalId--;
    }
    const auto after = flow::applyDelta(m_membership, provisional);
    for (const auto& service : delta.services) {
        if (!service.withdrawn && sharesAddress(*after, service))
            addFault(settings::FaultKind::Conflict, "", service.address.text() + " of " + service.name,
                "an address that no other service has");
    }
    if (!outcome.faults.empty())
        outcome.status = NoteStatus::Invalid;
    return outcome;
}

void ClusterState::applyMembers(const UpdateMembers& update)
{
    flow::MembershipDelta delta;
    for (flow::Member member : update.joined) {
        bool known = false;
        for (const auto& existing : m_membership.members) {
            if (existing.agent != member.agent)
                continue;
            known = known || existing.incarnation >= member.incarnation;
            if (existing.incarnation < member.incarnation)
                delta.removedMembers.push_back(existing.id); // a restarted agent replaces its earlier incarnation
        }
        if (known)
            continue;
        member.id = ++m_lastId;
        delta.members.push_back(std::move(member));
    }
    for (const std::uint32_t id : update.draining) {
        const auto* existing = m_membership.member(id);
        if (!existing || existing->state == flow::MemberState::Draining)
            continue;
        delta.members.push_back(*existing);
        delta.members.back().state = flow::MemberState::Draining;
    }
    for (const std::uint32_t id : update.removed) {
        if (m_membership.member(id))
            delta.removedMembers.push_back(id);
    }
    if (!delta.members.empty() || !delta.removedMembers.empty())
        publish(std::move(delta));
}

void ClusterState::applyRoutes(const flow::RouteTable& table)
{
    if (table.version <= m_membership.routeVersion)
        return;
    flow::MembershipDelta delta;
    delta.routeVersion = table.version;
    delta.flowIdleMillis = table.flowIdleMillis;
    delta.overload = table.overload;
    for (const auto& route : table.routes) {
        const auto* existing = m_membership.route(route.address);
        if (!existing || *existing != route)
            delta.routes.push_back(route);
    }
    delta.removedRoutes
        = flow::missingKeys<net::Address>(m_membership.routes, table.routes, std::mem_fn(&flow::PacketRoute::address));
    // A service that no route names any more is kept, so that its open flows keep their agents.
    for (const auto& listed : table.services) {
        const auto* existing = m_membership.serviceNamed(listed.name);
        if (existing && (existing->protocol != flow::Protocol::Packet || existing->cold == listed.cold))
            continue;
        flow::ServiceSpec service = existing ? *existing : flow::ServiceSpec {};
        service.id = existing ? existing->id : ++m_lastId;
        service.name = listed.name;
        service.protocol = flow::Protocol::Packet;
        service.cold = listed.cold;
        delta.services.push_back(std::move(service));
    }
    m_routeDocument = table.document;
    publish(std::move(delta));
}

void ClusterState::applyEvacuation(const SetEvacuation& order)
{
    if (m_membership.isEvacuated(order.domain) == order.active)
        return;
    auto evacuated = m_membership.evacuated;
    const auto place = std::lower_bound(evacuated.begin(), evacuated.end(), order.domain);
    if (order.active)
        evacuated.insert(place, order.domain);
    else
        evacuated.erase(place);
    publish({}, std::move(evacuated));
}

void ClusterState::publish(flow::MembershipDelta delta) { publish(std::move(delta), m_membership.evacuated); }

void ClusterState::publish(flow::MembershipDelta delta, std::vector<std::string> evacuated)
{
    delta.evacuated = std::move(evacuated);
    delta.cluster = m_membership.cluster;
    delta.revision = m_membership.revision + 1;
    if (delta.routeVersion == 0) {
        delta.routeVersion = m_membership.routeVersion;
        delta.flowIdleMillis = m_membership.flowIdleMillis;
        delta.overload = m_membership.overload;
    }
    m_membership = *flow::applyDelta(m_membership, delta);
    m_recentRouteCount += delta.routes.size();
    m_recentDeltas.push_back(std::move(delta));
    while (m_recentDeltas.size() > maximumRecentDeltas || m_recentRouteCount > maximumRecentRoutes) {
        m_recentRouteCount -= m_recentDeltas.front().routes.size();
        m_recentDeltas.pop_front();
    }
}

flow::MembershipDelta ClusterState::changesAfter(std::uint64_t revision) const
{
    const std::uint64_t missingRevisions = m_membership.revision - std::min(revision, m_membership.revision);
    if (missingRevisions > m_recentDeltas.size() || revision == 0) {
        return { m_membership.cluster, m_membership.revision, true, m_membership.services, {}, m_membership.members, {},
            m_membership.routeVersion, m_membership.flowIdleMillis, m_membership.routes, {}, {}, m_membership.evacuated,
            m_membership.overload };
    }
    flow::MembershipDelta total;
    total.cluster = m_membership.cluster;
    total.revision = m_membership.revision;
    for (std::size_t index = m_recentDeltas.size() - missingRevisions; index < m_recentDeltas.size(); ++index)
        mergeInto(total, m_recentDeltas[index]);
    return total;
}

} // namespace yuccahook::control
