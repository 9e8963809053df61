#pragma once

#include "request/Admission.h"
#include "request/PeerOffer.h"
#include "trunk.capnp.h"

namespace yuccahook::request {

void writeLoad(schema::SlotLoad::Builder builder, const SlotLoad& load);
SlotLoad readLoad(schema::SlotLoad::Reader reader);

/// Deadlines travel as the time left, since agents' clocks differ.
void writeOffer(schema::SlotOffer::Builder builder, const AdmissionRequest& request, AdmissionTime now);
AdmissionRequest readOffer(schema::SlotOffer::Reader reader, AdmissionTime now);

} // namespace yuccahook::request
