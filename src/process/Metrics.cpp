#include "hickoryspur/process/Metrics.h"

#include "hickoryspur/process/Check.h"

#include <map>
#include <memory>
#include <mutex>
#include <sstream>

namespace hickoryspur {

namespace {

struct Registry
{
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>> counters;
};

Registry &registry()
{
    static Registry instance;
    return instance;
}

} // namespace

Counter &Metrics::counter(const std::string &name)
{
    Registry &all = registry();
    const std::lock_guard lock(all.mutex);
    std::unique_ptr<Counter> &slot = all.counters[name];
    if (!slot)
        slot = std::make_unique<Counter>();
    return *slot;
}

std::string Metrics::prometheusText()
{
    std::ostringstream out;
    Registry &all = registry();
    const std::lock_guard lock(all.mutex);
    for (const auto &[name, counter] : all.counters)
        out << "# TYPE " << name << " untyped\n" << name << ' ' << counter->value() << '\n';
    for (size_t i = 0; i < static_cast<size_t>(Invariant::Count); ++i) {
        const auto invariant = static_cast<Invariant>(i);
        out << "hickoryspur_invariant_checks_total{invariant=\"" << invariantName(invariant) << "\"} "
            << invariantCheckCount(invariant) << '\n';
    }
    return out.str();
}

} // namespace hickoryspur
