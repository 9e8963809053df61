#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yuccahook::control {

/// A part of a large message between control instances.
struct MessagePart {
    std::uint64_t transfer = 0; ///< Number of the transfer, which its sender uses for no other one.
    std::uint64_t offset = 0; ///< In bytes.
    std::uint64_t totalBytes = 0;
    std::string bytes;
};

/// The large messages to one other instance. They are sent in parts, of which a few only are unanswered at any time, so
/// that a heartbeat never waits behind more than those, and a transfer may take any time while its parts are answered.
class OutgoingTransfers {
public:
    static constexpr std::size_t partBytes = 32 << 10; ///< A message of at most this size is sent whole.
    static constexpr std::size_t maximumPartsInFlight = 8;
    static constexpr std::size_t maximumMessages = 2; ///< Under way and waiting.

    /// Transfers are numbered from `firstTransfer` on, a random number: parts that an earlier process of this instance
    /// has sent may still be read after those of this one.
    explicit OutgoingTransfers(std::uint64_t firstTransfer)
        : m_transfer(firstTransfer)
    {
    }

    /// Adds an encoded message; false when too many are waiting. The protocol sends again what is still needed.
    bool add(std::string message);

    /// The next part to send; nothing while enough are unanswered.
    std::optional<MessagePart> next();

    /// Reports that the oldest unanswered part was received.
    void confirm();

    /// Drops all messages, as after the loss of the connection.
    void abort();

    /// Whether a message is not received completely.
    bool isActive() const { return !m_messages.empty() || m_inFlight > 0; }

private:
    std::deque<std::string> m_messages; // those whose last part was not sent
    std::uint64_t m_transfer;
    std::size_t m_offset = 0; // in the first message
    std::size_t m_inFlight = 0;
};

/// Assembles the large messages of other instances.
class IncomingTransfers {
public:
    static constexpr std::uint64_t maximumBytes = 64 << 20; ///< A larger message is refused.
    static constexpr std::size_t maximumSenders = 64;
    /// Of one sender. Parts of a connection that the sender has given up are read beside those of its next one.
    static constexpr std::size_t maximumTransfers = 3;

    enum class Status : std::uint8_t { Incomplete, Complete, Refused };
    struct Result {
        Status status = Status::Incomplete;
        std::string message; ///< When complete.
    };

    /// Takes the next part of a sender. A part that does not continue its transfer is refused, and that transfer with
    /// it.
    Result add(std::uint32_t sender, const MessagePart& part);

private:
    struct Transfer {
        std::uint64_t number = 0;
        std::uint64_t totalBytes = 0;
        std::string bytes;
    };

    std::map<std::uint32_t, std::deque<Transfer>> m_bySender; // oldest first
};

} // namespace yuccahook::control
