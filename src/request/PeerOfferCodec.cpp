#include "request/PeerOfferCodec.h"

#include <algorithm>

namespace yuccahook::request {

namespace {

constexpr AdmissionTime longestDeadline = std::chrono::hours(1);

} // namespace

void writeLoad(schema::SlotLoad::Builder builder, const SlotLoad& load)
{
    builder.setRunning(load.running);
    builder.setRunningLong(load.runningLong);
    builder.setWaiting(load.waiting);
    builder.setSlots(load.slots);
}

SlotLoad readLoad(schema::SlotLoad::Reader reader)
{
    return { reader.getRunning(), reader.getRunningLong(), reader.getWaiting(), reader.getSlots() };
}

void writeOffer(schema::SlotOffer::Builder builder, const AdmissionRequest& request, AdmissionTime now)
{
    builder.setMethod(request.method);
    builder.setPath(request.path);
    builder.setRemainingNanos((request.deadline - now).count());
    builder.setIdempotent(request.idempotent);
    builder.setMayHaveRun(request.mayHaveRun);
}

AdmissionRequest readOffer(schema::SlotOffer::Reader reader, AdmissionTime now)
{
    AdmissionRequest request;
    request.method = reader.getMethod();
    request.path = reader.getPath();
    request.deadline = now + std::clamp(AdmissionTime(reader.getRemainingNanos()), AdmissionTime {}, longestDeadline);
    request.idempotent = reader.getIdempotent();
    request.mayHaveRun = reader.getMayHaveRun();
    request.offered = true;
    return request;
}

} // namespace yuccahook::request
