#pragma once

#include "control/ClusterState.h"

#include <optional>
#include <string>

namespace yuccahook::control {

std::string encodeImage(const ClusterImage& image);

/// Returns nothing when the bytes are not an image that this release can read.
std::optional<ClusterImage> decodeImage(const std::string& stored);

} // namespace yuccahook::control
