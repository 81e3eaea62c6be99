#include "base/base.h"

#include <limits>
#include <sstream>

namespace vanillanotch
{

namespace
{
constexpr Duration FirstUpperBound = std::chrono::microseconds(250); // upper bound of bucket 0; each further bucket's bound is twice the bound before it

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string withLabels(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

void renderHistogram(std::ostream &out, const std::string &name, const std::string &labels, const Histogram &histogram)
{
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < Histogram::BucketCount; ++i) {
        total += histogram.bucket(i);
        const bool last = i + 1 == Histogram::BucketCount;
        out << name << "_bucket{" << labels << separator << "le=\"";
        if (last) {
            out << "+Inf";
        } else {
            out << seconds(Histogram::upperBound(i));
        }
        out << "\"} " << total << '\n';
    }
    out << withLabels(name + "_sum", labels) << ' ' << seconds(histogram.sum()) << '\n';
    out << withLabels(name + "_count", labels) << ' ' << total << '\n';
}
} // namespace

Duration Histogram::upperBound(std::size_t index)
{
    if (index + 1 >= BucketCount) {
        return Duration::max();
    }
    return FirstUpperBound * (std::int64_t{1} << index);
}

void Histogram::record(Duration duration)
{
    std::size_t index = 0;
    while (duration > upperBound(index)) {
        ++index;
    }
    m_buckets[index].fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::uint64_t Histogram::bucket(std::size_t index) const
{
    return m_buckets[index].load(std::memory_order_relaxed);
}

std::uint64_t Histogram::count() const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        total += bucket(i);
    }
    return total;
}

Duration Histogram::sum() const
{
    return Duration(m_sum.load(std::memory_order_relaxed));
}

Duration Histogram::quantile(double fraction) const
{
    const double targetCount = fraction * static_cast<double>(count());
    double cumulativeCount = 0;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        cumulativeCount += static_cast<double>(bucket(i));
        if (cumulativeCount > 0 && cumulativeCount >= targetCount) {
            return upperBound(i);
        }
    }
    return Duration::zero();
}

Counter &MetricsRegistry::counter(const std::string &name, const std::string &labels)
{
    const Lock lock(m_mutex);
    return m_counters[name][labels];
}

Histogram &MetricsRegistry::histogram(const std::string &name, const std::string &labels)
{
    const Lock lock(m_mutex);
    return m_histograms[name][labels];
}

void MetricsRegistry::gauge(const std::string &name, std::function<double()> read)
{
    const Lock lock(m_mutex);
    m_gauges[name] = std::move(read);
}

std::string MetricsRegistry::renderText() const
{
    std::ostringstream out;
    std::map<std::string, std::function<double()>> gauges;
    {
        const Lock lock(m_mutex);
        gauges = m_gauges;
        for (const auto &[name, family] : m_counters) {
            out << "# TYPE " << name << " counter\n";
            for (const auto &[labels, counter] : family) {
                out << withLabels(name, labels) << ' ' << counter.value() << '\n';
            }
        }
        for (const auto &[name, family] : m_histograms) {
            out << "# TYPE " << name << " histogram\n";
            for (const auto &[labels, histogram] : family) {
                renderHistogram(out, name, labels, histogram);
            }
        }
    }
    // The registry's lock isn't held here, because `read` may lock a table whose lock has a lower rank than the registry's lock, which the lock order forbids.
    for (const auto &[name, read] : gauges) {
        out << "# TYPE " << name.substr(0, name.find('{')) << " gauge\n" << name << ' ' << read() << '\n';
    }
    return out.str();
}

} // namespace vanillanotch
