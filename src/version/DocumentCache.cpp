#include "hickoryspur/version/DocumentCache.h"

namespace hickoryspur {

const Document &DocumentCache::get(const DocumentVersion &version)
{
    auto found = m_parsed.find(version.digest);
    if (found == m_parsed.end()) {
        Result<Document> document = parseDocument(version.text, "document");
        found = m_parsed.emplace(version.digest, document.value_or(Document())).first;
    }
    return found->second;
}

} // namespace hickoryspur
