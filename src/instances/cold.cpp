#include "instances/cold.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

std::optional<std::chrono::milliseconds> coldTimeOf(std::chrono::duration<double, std::milli> stated)
{
    if (std::isnan(stated.count())) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> longest = MaxColdTime;
    return std::chrono::ceil<std::chrono::milliseconds>(std::clamp(stated, decltype(stated)::zero(), longest));
}

} // namespace vanillanotch
