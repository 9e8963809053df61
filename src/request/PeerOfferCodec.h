#pragma once

#include "request/Admission.h"
#include "request/PeerSelector.h"
#include "trunk.capnp.h"

namespace yuccahook::request {

void writeLoad(schema::SlotLoad::Builder builder, const SlotLoad& load);
SlotLoad readLoad(schema::SlotLoad::Reader reader);

/// The deadline is sent as the remaining time, because the agents' clocks differ.
void writeOffer(schema::SlotOffer::Builder builder, const AdmissionRequest& request, AdmissionTime now);

/// Reads an offer; clamps the remaining time to between 0 and one hour.
AdmissionRequest readOffer(schema::SlotOffer::Reader reader, AdmissionTime now);

} // namespace yuccahook::request
