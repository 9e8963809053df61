#pragma once

#include "control/ClusterState.h"

#include <optional>
#include <string>

namespace yuccahook::control {

std::string encodeImage(const ClusterImage& image);

/// Nothing when the bytes are not an image of this release.
std::optional<ClusterImage> decodeImage(const std::string& bytes);

} // namespace yuccahook::control
