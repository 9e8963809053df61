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

/// Why a kernel refused a registration or a start.
enum class KernelError { DuplicateName, MissingDependency, CircularDependency, ServiceFailed };

template <> struct EnumNames<KernelError> {
    static constexpr std::array<std::string_view, 4> names { "duplicate-name", "missing-dependency",
        "circular-dependency", "service-failed" };
};

/// A refusal with the name of the service it is about.
struct KernelFault {
    KernelError error;
    std::string service;
};

/// Holds the services of a process: registered and found by name, started in the order of their dependencies and
/// stopped in reverse.
class Kernel {
public:
    Kernel() = default;
    Kernel(const Kernel&) = delete;
    Kernel& operator=(const Kernel&) = delete;
    ~Kernel();

    bool add(std::unique_ptr<Service> service);

    /// Starts all services; on a failure those already started are stopped again.
    bool start();

    /// Drains in reverse order of start. Call `drained` until it is true, then `stop`.
    void drain();
    bool drained() const;
    void stop();

    /// The fault of the last call that returned false.
    const std::optional<KernelFault>& lastFault() const { return m_lastFault; }

    /// The service of that name and type, or null.
    template <typename Type> Type* find(std::string_view name) const { return dynamic_cast<Type*>(findService(name)); }

private:
    Service* findService(std::string_view name) const;
    bool refuse(KernelError error, std::string_view service);
    bool order(Service& service, std::vector<Service*>& path, std::vector<Service*>& ordered);

    std::vector<std::unique_ptr<Service>> m_services;
    std::vector<Service*> m_started;
    std::optional<KernelFault> m_lastFault;
};

} // namespace yuccahook::kernel
