#pragma once

namespace yuccahook::request {

/// Bounds retries and hedges to a share of a service's requests, so that an outage is not followed by a storm of
/// retries.
class RetryBudget {
public:
    /// Each request earns `share` of a retry; at most `burst` are saved up.
    RetryBudget(double share, double burst);

    void earn();

    /// Takes one retry; false when none is left.
    bool take();

    double left() const { return m_left; }

private:
    double m_share;
    double m_burst;
    double m_left;
};

} // namespace yuccahook::request
