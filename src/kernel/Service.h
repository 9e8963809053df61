#pragma once

#include <string_view>
#include <vector>

namespace yuccahook::kernel {

/// A part of a process that the kernel starts, stops and finds by name.
class Service {
public:
    Service() = default;
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;
    virtual ~Service() = default;

    /// Unique within a kernel.
    virtual std::string_view name() const = 0;

    /// Names of the services that must run before this one.
    virtual std::vector<std::string_view> dependencies() const { return {}; }

    /// Returns false when the service cannot run; it has logged the reason.
    virtual bool start() = 0;

    /// Begins a planned stop: no new work, work in progress goes on. Returns at once.
    virtual void drain() { }

    /// Whether a drain has ended; true for services that hold no work.
    virtual bool drained() const { return true; }

    /// Ends the service; called once after a start that succeeded.
    virtual void stop() = 0;
};

} // namespace yuccahook::kernel
