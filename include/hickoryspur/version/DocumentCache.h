// Parsed documents by digest, so that a document is parsed once however often it is looked at.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/version/Document.h"

#include <map>
#include <string>

namespace hickoryspur {

class DocumentCache
{
public:
    /** An accepted document was checked before, so one that cannot be parsed here counts as empty. */
    const Document &get(const DocumentVersion &version);

private:
    std::map<std::string, Document> m_parsed;
};

} // namespace hickoryspur
