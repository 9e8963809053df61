#pragma once

#include "kernel/EnumNames.h"
#include "observe/Counters.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace yuccahook::control {

/// The kinds of work on the control thread whose time depends on the size of a message or of the state.
enum class ControlWork : std::uint8_t {
    EncodeCommand,
    EncodeMessage,
    DecodeMessage,
    Replicate, ///< A step of the replica; includes its writes to the journal and the other kinds that it leads to.
    ApplyEntry,
    SaveState,
    WriteView
};

/// Counts the time that the control thread spends on each kind of work, and logs work that holds up heartbeats.
class ControlWorkMeter {
public:
    explicit ControlWorkMeter(observe::Counters& counters);

    /// Measures the time until it is destroyed.
    class Span {
    public:
        Span(ControlWorkMeter& meter, ControlWork work);
        Span(const Span&) = delete;
        Span& operator=(const Span&) = delete;
        ~Span();

    private:
        ControlWorkMeter& m_meter;
        const ControlWork m_work;
        const std::chrono::steady_clock::time_point m_start;
    };

private:
    void add(ControlWork work, std::chrono::microseconds elapsed);

    std::array<observe::Counter*, 7> m_totals {};
    std::array<observe::Counter*, 7> m_longest {};
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::ControlWork> {
    static constexpr std::array<std::string_view, 7> names { "encode-command", "encode-message", "decode-message",
        "replicate", "apply-entry", "save-state", "write-view" };
};
