#include "hickoryspur/process/SessionMessage.h"

namespace hickoryspur {

void EntryUpdate::setEntries(const std::vector<EntryLocation> &locations)
{
    entries.clear();
    entryDataCentres.clear();
    for (const EntryLocation &location : locations) {
        entries.push_back(location.address);
        entryDataCentres.push_back(location.dataCentre);
    }
}

std::vector<EntryLocation> EntryUpdate::entryLocations() const
{
    std::vector<EntryLocation> locations;
    for (size_t i = 0; i < entries.size(); ++i)
        locations.push_back({entries[i], i < entryDataCentres.size() ? entryDataCentres[i] : DataCentreName()});
    return locations;
}

} // namespace hickoryspur
