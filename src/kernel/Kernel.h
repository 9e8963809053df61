#pragma once

#include "kernel/EnumNames.h"
#include "kernel/Service.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::kernel {

/// Why a kernel could not add a service or start its services.
enum class KernelError { DuplicateName, MissingDependency, CircularDependency, ServiceFailed };

template <> struct EnumNames<KernelError> {
    static constexpr std::array<std::string_view, 4> names { "duplicate-name", "missing-dependency",
        "circular-dependency", "service-failed" };
};

/// An error and the name of the service that it concerns; of the missing service for `MissingDependency`.
struct KernelFault {
    KernelError error;
    std::string service;
};

/// Owns the services of a process: finds them by name, starts them in the order of their dependencies and stops
/// them in reverse. Not thread-safe.
class Kernel {
public:
    Kernel() = default;
    Kernel(const Kernel&) = delete;
    Kernel& operator=(const Kernel&) = delete;
    ~Kernel();

    /// Registers a service; returns false, and destroys it, when its name is already in use.
    bool add(std::unique_ptr<Service> service);

    /// Starts all services. When one fails, stops those already started and returns false.
    bool start();

    /// Begins to drain the services, in reverse order of start. Poll `drained` until it is true, then call `stop`.
    void drain();
    bool drained() const;

    /// Stops the started services in reverse order of start. The destructor does so too.
    void stop();

    /// The fault of the last call that returned false; unset before the first.
    const std::optional<KernelFault>& lastFault() const { return m_lastFault; }

    /// The service with that name; null when there is none or it has another type.
    template <typename Type> Type* find(std::string_view name) const { return dynamic_cast<Type*>(findService(name)); }

private:
    Service* findService(std::string_view name) const;
    bool fail(KernelError error, std::string_view service);
    bool orderByDependencies(Service& service, std::vector<Service*>& path, std::vector<Service*>& ordered);

    std::vector<std::unique_ptr<Service>> m_services;
    std::vector<Service*> m_started;
    std::optional<KernelFault> m_lastFault;
};

} // namespace yuccahook::kernel
