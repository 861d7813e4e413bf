// How requests and answers are spelled towards callers and upstreams. The product carries requests
// without reading them; what it must know of them, such as their id and the time their caller gives,
// is read and written by a Dialect, which an adapter provides.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickoryspur {

/** Header fields in their order, as received. */
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** A caller's request as it is carried: unchanged, with what the product must know of it. */
struct ForwardedRequest
{
    std::string method;
    std::string target;
    /** The target without its query; selects the route. */
    std::string path;
    std::string host;
    /** What goes on to the upstream. */
    HeaderFields fields;
    std::string body;
    std::string id;
    /** How long the caller waits, where it says so. */
    std::optional<Duration> timeout;
};

/** An upstream's answer as it came. */
struct UpstreamAnswer
{
    unsigned status = 0;
    HeaderFields fields;
    std::string body;
    bool operator==(const UpstreamAnswer &) const = default;

    /**
     * The first field of that name, compared without the case of ASCII letters; empty where there is none. Each
     * sub-request asks several times, so the comparison goes by no locale.
     */
    std::string field(const std::string &name) const;
};

/** What an upstream's answer says. */
struct AnswerVerdict
{
    bool success = false;
    /** The upstream states that it did not run the request. */
    bool notRun = false;
    /** The upstream's mark on a part, which the merged answer names. */
    std::string signature;
};

/** An answer to a caller. */
struct CallerAnswer
{
    unsigned status = 200;
    HeaderFields fields;
    std::string body;
};

enum class RefusalKind {
    /** Not run, and never will be; the caller may come back. */
    NotRunTryLater,
    /** No route leads there. */
    NoRoute,
    /** The request itself is wrong. */
    Malformed,
    /** It may have run, and there is no answer. */
    UpstreamFailed,
    TimedOut,
};

struct RequestCodec
{
    /** The whole request as sent to one upstream, which is named in it; `left` is what the caller still waits. */
    std::function<std::string(const ForwardedRequest &, const UpstreamId &, Duration left)> encode;
    /** Whether the answer is one to the request of this id. */
    std::function<bool(const UpstreamAnswer &, const std::string &requestId)> belongsTo;
    std::function<AnswerVerdict(const UpstreamAnswer &)> read;
    std::function<CallerAnswer(const UpstreamAnswer &)> passThrough;
    std::function<CallerAnswer(const std::vector<std::string> &signatures, size_t missing, std::string body)> merged;
    std::function<CallerAnswer(RefusalKind, Duration retryAfter)> refusal;
};

} // namespace hickoryspur
