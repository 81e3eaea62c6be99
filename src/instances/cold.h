// Cold instances: they are slow and take few requests, for example after a start. Included by instances.h.
#pragma once

#include "base/base.h"

namespace vanillanotch
{

constexpr std::chrono::milliseconds MaxColdTime{600000}; // a longer cold time counts as this one

// The meaning of a stated cold time: a negative one counts as 0, one longer than MaxColdTime as that, and one that is not a number states nothing.
std::optional<std::chrono::milliseconds> coldTimeOf(std::chrono::duration<double, std::milli> stated);

} // namespace vanillanotch
