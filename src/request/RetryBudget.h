#pragma once

namespace yuccahook::request {

/// Limits retries and hedges to a share of the requests, so that an outage does not cause a retry storm.
class RetryBudget {
public:
    /// Each request adds `share` of a retry to the budget, which holds at most `burst` retries and starts full.
    RetryBudget(double share, double burst);

    /// Adds the share of one request.
    void earn();

    /// Uses one retry; returns false when less than one is left.
    bool tryConsume();

    double remaining() const { return m_remaining; }

private:
    double m_share;
    double m_burst;
    double m_remaining;
};

} // namespace yuccahook::request
