#pragma once

#include <string_view>
#include <vector>

namespace yuccahook::kernel {

/// A component of a process that the kernel starts, stops and finds by name; not a service that callers reach.
class Service {
public:
    Service() = default;
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;
    virtual ~Service() = default;

    /// Unique within a kernel.
    virtual std::string_view name() const = 0;

    /// Names of the services that must be started before this one.
    virtual std::vector<std::string_view> dependencies() const { return {}; }

    /// Returns false when the service cannot run, after logging the reason.
    virtual bool start() = 0;

    /// Begins a planned stop: accepts no new work, continues work in progress. Returns at once.
    virtual void drain() { }

    /// Whether the drain has ended; true for services that have no work of their own to finish.
    virtual bool drained() const { return true; }

    /// Ends the service. Called once, only after a successful start.
    virtual void stop() = 0;
};

} // namespace yuccahook::kernel
