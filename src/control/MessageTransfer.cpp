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
    const bool isNewSender = !m_bySender.contains(sender);
    if (part.totalBytes > maximumBytes || (isNewSender && m_bySender.size() >= maximumSenders))
        return { Status::Refused, {} };
    auto& transfers = m_bySender[sender];
    const auto isSame = [&part](const Transfer& transfer) { return transfer.number == part.transfer; };
    if (part.offset == 0) {
        std::erase_if(transfers, isSame);
        if (transfers.size() >= maximumTransfers)
            transfers.pop_front();
        transfers.push_back({ part.transfer, part.totalBytes, {} });
    }
    const auto found = std::find_if(transfers.begin(), transfers.end(), isSame);
    if (found == transfers.end())
        return { Status::Refused, {} };
    const bool continues = found->totalBytes == part.totalBytes && found->bytes.size() == part.offset
        && !part.bytes.empty() && part.bytes.size() <= part.totalBytes - part.offset;
    if (!continues) {
        transfers.erase(found);
        return { Status::Refused, {} };
    }
    found->bytes += part.bytes;
    if (found->bytes.size() < part.totalBytes)
        return { Status::Incomplete, {} };
    Result result { Status::Complete, std::move(found->bytes) };
    transfers.erase(found);
    return result;
}

} // namespace yuccahook::control
