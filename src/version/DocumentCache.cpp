#include "hickoryspur/version/DocumentCache.h"

#include "hickoryspur/process/LogEvent.h"

namespace hickoryspur {

const Document &DocumentCache::get(const DocumentVersion &version)
{
    auto found = m_parsed.find(version.digest);
    if (found == m_parsed.end()) {
        Result<Document> document = parseAcceptedDocument(version.text, "document");
        if (!document)
            HS_LOG(ERROR, LogEvent::DocumentUnreadable)
                << "document number=" << version.number << " is taken as empty: " << document.error().message;
        found = m_parsed.emplace(version.digest, document.value_or(Document())).first;
    }
    return found->second;
}

} // namespace hickoryspur
