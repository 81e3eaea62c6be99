#include "placement/placement.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double SlownessWeight = 0.25; // weight of one report in an engine's slowness; the figure of an engine whose machine is busy for a moment must fade
constexpr double TokenTimeWeight = 0.02; // weight of one report in the time of a token, which all engines share
constexpr double MaxRatio = 4.0; // a report that differs more from what was expected counts as this
constexpr double MaxSlowness = 8.0;
constexpr unsigned MinTokensToLearn = 500; // shorter prompts say little about the time of a token
// While no engine holds a prefix, the engines' expected times are raised by up to this share, in the order of
// prefixRank(). An owner that knows nothing yet then tends to the engines that the nodes have chosen by themselves.
constexpr double HashSpread = 0.3;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration toDuration(double time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}
} // namespace

//-----------------------------------------------------------------------------
// PlacementBook::Engine
//-----------------------------------------------------------------------------

void PlacementBook::Engine::removeExpired(TimePoint before)
{
    while (!waiting.empty() && waiting.front().at < before) {
        waiting.pop_front();
    }
}

Duration PlacementBook::Engine::wait(TimePoint now) const
{
    Duration work{};
    for (const Placed &placed : waiting) {
        work += placed.work;
    }
    return std::max(Duration::zero(), work - (now - busySince));
}

unsigned PlacementBook::Engine::uncachedTokens(const std::vector<PromptPrefix> &prefixes) const
{
    unsigned tokens = 0;
    bool missing = false; // a part is cached only together with all parts before it
    for (const PromptPrefix &prefix : prefixes) {
        missing = missing || cachedByHash.count(prefix.hash) == 0;
        tokens += missing ? prefix.tokens : 0;
    }
    return tokens;
}

void PlacementBook::Engine::use(const std::vector<PromptPrefix> &prefixes, std::size_t capacity)
{
    for (const PromptPrefix &prefix : prefixes) {
        if (const auto found = cachedByHash.find(prefix.hash); found != cachedByHash.end()) {
            cached.splice(cached.begin(), cached, found->second);
        } else {
            cached.push_front(Cached{prefix.hash, prefix.tokens});
            cachedByHash[prefix.hash] = cached.begin();
            cachedTokens += prefix.tokens;
        }
    }
    while (capacity > 0 && cachedTokens > capacity && cached.size() > prefixes.size()) {
        cachedTokens -= cached.back().tokens;
        cachedByHash.erase(cached.back().hash);
        cached.pop_back();
    }
}

//-----------------------------------------------------------------------------
// PlacementBook
//-----------------------------------------------------------------------------

PlacementBook::PlacementBook(PlacementSettings settings)
    : m_settings(settings)
    , m_tokenSeconds(std::chrono::duration<double>(settings.tokenTime).count())
{
}

double PlacementBook::slownessOf(const Engine &engine, TimePoint now) const
{
    return std::pow(engine.slowness, std::exp2(-seconds(now - engine.slownessAt) / seconds(m_settings.slownessHalfLife)));
}

std::size_t PlacementBook::cacheCapacity(const EngineCandidate &engine) const
{
    return static_cast<std::size_t>(static_cast<double>(engine.cacheTokens) * m_settings.cacheShare);
}

Duration PlacementBook::readTime(unsigned tokens) const
{
    return m_settings.fixedTime + toDuration(tokens * m_tokenSeconds);
}

std::size_t PlacementBook::choose(const PlacementDemand &demand, const std::vector<EngineCandidate> &candidates, TimePoint now)
{
    forgetOthers(candidates);
    unsigned shared = 0;
    for (const PromptPrefix &prefix : demand.prefixes) {
        shared += prefix.tokens;
    }
    unsigned leastUncached = shared;
    for (const EngineCandidate &candidate : candidates) {
        Engine &engine = m_engines[candidate.id];
        engine.removeExpired(now - m_settings.maxUnreported);
        leastUncached = std::min(leastUncached, engine.uncachedTokens(demand.prefixes));
    }
    if (leastUncached == shared && !demand.lastEngine.empty()) {
        for (const EngineCandidate &candidate : candidates) {
            if (candidate.id == demand.lastEngine) {
                m_engines[candidate.id].use(demand.prefixes, cacheCapacity(candidate));
                leastUncached = 0;
            }
        }
    }
    const bool unknown = leastUncached == shared && !demand.prefixes.empty();
    const double target = std::chrono::duration<double>(demand.targetIn).count();
    std::size_t best = 0;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Engine &engine = m_engines.at(candidates[i].id);
        const unsigned uncached = engine.uncachedTokens(demand.prefixes);
        double time = seconds(engine.wait(now)) + seconds(readTime(demand.ownTokens + uncached)) * slownessOf(engine, now) * candidates[i].slowdown;
        if (unknown) {
            const auto hash = stableHash(std::to_string(demand.prefixes.back().hash) + candidates[i].id);
            time *= 1.0 + HashSpread * (1.0 - static_cast<double>(hash >> 11U) * 0x1p-53);
        }
        const double reread = (uncached - leastUncached) * m_tokenSeconds;
        const double cost = time + m_settings.rereadWeight * reread + m_settings.lateWeight * std::max(0.0, time - target);
        if (i == 0 || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

bool PlacementBook::holds(const PlacementDemand &demand, const EngineCandidate &engine) const
{
    const auto found = m_engines.find(engine.id);
    return found != m_engines.end() && found->second.uncachedTokens(demand.prefixes) == 0;
}

void PlacementBook::recordPlaced(const PlacementDemand &demand, const EngineCandidate &engine, TimePoint now)
{
    Engine &state = m_engines[engine.id];
    const unsigned read = demand.ownTokens + state.uncachedTokens(demand.prefixes);
    const Duration work = toDuration(seconds(readTime(read)) * slownessOf(state, now) * engine.slowdown);
    if (state.waiting.empty()) {
        state.busySince = now;
    }
    state.waiting.push_back(Placed{demand.attempt, work, state.wait(now) + work, read, now});
    state.use(demand.prefixes, cacheCapacity(engine));
}

void PlacementBook::recordReport(const PlacementReport &report, TimePoint now)
{
    const auto found = m_engines.find(report.instance);
    if (found == m_engines.end()) {
        return;
    }
    Engine &engine = found->second;
    const auto placed = std::find_if(engine.waiting.begin(), engine.waiting.end(), [&report](const Placed &candidate) {
        return candidate.attempt == report.attempt;
    });
    if (placed == engine.waiting.end()) {
        return;
    }
    if (report.firstEventAfter) {
        const double measured = std::chrono::duration<double>(*report.firstEventAfter).count();
        const double ratio = std::clamp(measured / seconds(placed->expected), 1.0 / MaxRatio, MaxRatio);
        const double slowness = slownessOf(engine, now);
        const bool alone = placed->work == placed->expected;
        if (alone && placed->readTokens >= MinTokensToLearn) {
            const double perToken = std::max(0.0, measured / slowness - seconds(m_settings.fixedTime)) / placed->readTokens;
            m_tokenSeconds += TokenTimeWeight * (std::min(perToken, m_tokenSeconds * MaxRatio) - m_tokenSeconds);
        }
        engine.slowness = std::clamp(slowness * std::pow(ratio, SlownessWeight), 1.0 / MaxSlowness, MaxSlowness);
        engine.slownessAt = now;
        engine.busySince = now;
    }
    engine.waiting.erase(placed);
}

void PlacementBook::forgetOthers(const std::vector<EngineCandidate> &candidates)
{
    if (m_engines.size() <= 2 * candidates.size()) {
        return;
    }
    std::set<std::string> ids;
    for (const EngineCandidate &candidate : candidates) {
        ids.insert(candidate.id);
    }
    for (auto it = m_engines.begin(); it != m_engines.end();) {
        it = ids.count(it->first) == 0 ? m_engines.erase(it) : std::next(it);
    }
}

} // namespace vanillanotch
