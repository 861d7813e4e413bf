// Caches parsed documents by digest, so that each document is parsed only once.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/version/Document.h"

#include <map>
#include <string>

namespace hickoryspur {

class DocumentCache
{
public:
    /** Documents are validated before they are accepted, so one that fails to parse here is treated as empty. */
    const Document &get(const DocumentVersion &version);

private:
    std::map<std::string, Document> m_parsed;
};

} // namespace hickoryspur
