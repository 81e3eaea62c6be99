#include "bench.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace vanillanotch::bench
{

Usage readUsage(pid_t pid)
{
    Usage usage;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;) {
        values.push_back(value);
    }
    constexpr std::size_t UserTime = 11; // index among the fields that follow the program's name, see proc(5); also the two below
    constexpr std::size_t SystemTime = 12;
    constexpr std::size_t ResidentPages = 21;
    const double ticks = std::stod(values.at(UserTime)) + std::stod(values.at(SystemTime));
    usage.cpuTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ticks / static_cast<double>(::sysconf(_SC_CLK_TCK))));
    usage.residentMegabytes = std::stod(values.at(ResidentPages)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    return usage;
}

Duration quantile(std::vector<Duration> &values, double share)
{
    if (values.empty()) {
        return Duration::zero();
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double millisecondCount(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace vanillanotch::bench

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "overhead") {
        return vanillanotch::bench::runOverheadBenchmark(argc > 2 ? argv[2] : "1");
    }
    if (name == "control") {
        const auto number = [&](int index) {
            return argc > index ? std::atoi(argv[index]) : 0;
        };
        return vanillanotch::bench::runControlPlaneBenchmark(number(2), number(3), number(4));
    }
    std::fprintf(stderr, "usage: bench overhead [STREAM-WORKERS] | control [NODES SERVERS ACCOUNTS]\n");
    return 2;
}
