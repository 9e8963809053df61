#include "flow/RequestCost.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

constexpr int maximumPriority = 30; // beyond it, levels are not told apart
// The spread counts up to one mean, because a few requests many times longer than the others would otherwise leave no
// time to wait, although most are answered in time.
constexpr double maximumSpreadShare = 1;

} // namespace

RequestCost::RequestCost(const RequestClass& kind, const Work& work)
    : m_class(kind)
    , m_work(work)
    , m_worth(std::exp2(-std::min<int>(kind.priority, maximumPriority)))
{
}

double RequestCost::latestStartMillis() const
{
    const double spreadMillis = std::min(m_work.deviationMillis, maximumSpreadShare * m_work.meanMillis);
    return std::max(m_class.goalMillis - m_work.meanMillis - spreadMillis, 0.0);
}

} // namespace yuccahook::flow
