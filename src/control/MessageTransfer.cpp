#include "control/MessageTransfer.h"

#include <algorithm>
#include <utility>

namespace yuccahook::control {

bool OutgoingTransfers::add(std::string message)
{
    if (m_messages.size() >= maximumMessages)
        return false;
    m_messages.push_back(std::move(message));
    return true;
}

std::optional<MessagePart> OutgoingTransfers::next()
{
    if (m_messages.empty() || m_inFlight >= maximumPartsInFlight)
        return std::nullopt;
    const std::string& message = m_messages.front();
    MessagePart part { m_transfer, m_offset, message.size(), message.substr(m_offset, partBytes) };
    m_offset += part.bytes.size();
    if (m_offset >= message.size()) {
        m_messages.pop_front();
        m_offset = 0;
        ++m_transfer;
    }
    ++m_inFlight;
    return part;
}

void OutgoingTransfers::confirm() { m_inFlight -= std::min<std::size_t>(m_inFlight, 1); }

void OutgoingTransfers::abort()
{
    m_messages.clear();
    m_offset = 0;
    m_inFlight = 0;
    ++m_transfer;
}

IncomingTransfers::Result IncomingTransfers::add(std::uint32_t sender, const MessagePart& part)
{
    const bool isFirst = part.offset == 0;
    const bool isKnown = m_bySender.contains(sender);
    if (part.totalBytes > maximumBytes || (isFirst && !isKnown && m_bySender.size() >= maximumSenders))
        return { Status::Refused, {} };
    if (isFirst)
        m_bySender[sender] = { part.transfer, {} };
    const auto found = m_bySender.find(sender);
    const bool continues = found != m_bySender.end() && found->second.number == part.transfer
        && found->second.bytes.size() == part.offset && !part.bytes.empty()
        && part.bytes.size() <= part.totalBytes - part.offset;
    if (!continues) {
        m_bySender.erase(sender);
        return { Status::Refused, {} };
    }
    found->second.bytes += part.bytes;
    if (found->second.bytes.size() < part.totalBytes)
        return { Status::Incomplete, {} };
    Result result { Status::Complete, std::move(found->second.bytes) };
    m_bySender.erase(found);
    return result;
}

} // namespace yuccahook::control
