// Encoding and decoding of requests and answers for callers and upstreams. Requests are forwarded
// without being parsed; the few properties that are needed, such as the id and the caller's timeout,
// are read and written by a RequestCodec, which the platform adapter provides.
#pragma once

#include "hickoryspur/connection/UpstreamSignals.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/version/CustomerTable.h"

#include <msgpack.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickoryspur {

/** Header fields in the order in which they were received. */
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** A caller's request, which is forwarded unchanged, with the properties that routing and retries need. */
struct ForwardedRequest
{
    std::string method;
    std::string target;
    /** The target without its query string; selects the route. */
    std::string path;
    std::string host;
    /** The header fields that are forwarded to the upstream. */
    HeaderFields fields;
    std::string body;
    std::string id;
    /** How long the caller waits, if the request states it. It is not packed, since it has to be reduced by a hop. */
    std::optional<Duration> timeout;
    /** The customer that the request was authenticated as; empty without keyDigest. */
    CustomerName customer;
    /** The key with which it was authenticated; nullopt if it was not, or came from an entry that runs an old build. */
    std::optional<KeyDigest> keyDigest;
    /** The customer's priority by the configuration of the entry that serves the request; not packed. */
    std::optional<int> customerPriority;
    MSGPACK_DEFINE(method, target, path, host, fields, body, id, customer, keyDigest)
};

/** The same for requests of the same method, host, target and body, whichever entry gets them. */
RequestFingerprint fingerprintOf(const ForwardedRequest &request);

/** An upstream's answer as received. */
struct UpstreamAnswer
{
    unsigned status = 0;
    HeaderFields fields;
    std::string body;
    bool operator==(const UpstreamAnswer &) const = default;

    /**
     * Value of the first field of that name, or empty if there is none. Names are compared ignoring the case of ASCII
     * letters. The comparison uses no locale, since it runs several times for each sub-request.
     */
    std::string field(const std::string &name) const;
};

/** What an upstream's answer means for its request. */
struct AnswerVerdict
{
    bool success = false;
    /** The upstream states that it did not run the request. */
    bool notRun = false;
    /**
     * The answer of an upstream that has failed may be given to the caller as it is. It may not if its status would
     * promise that the request has not run, which the upstream has not stated, or if it is not signed by the upstream.
     */
    bool presentable = false;
    /** The upstream's signature of its part, which the merged answer lists. */
    std::string signature;
    /** What the upstream says of itself; nullopt if another process answered at its address. */
    std::optional<UpstreamSignals> signals;
};

/** An answer to a caller. */
struct CallerAnswer
{
    unsigned status = 200;
    HeaderFields fields;
    std::string body;
    MSGPACK_DEFINE(status, fields, body)
};

/**
 * Whether HTTP/1.1 has such an answer: a final status, a body only with a status that allows one, and fields whose
 * names and values have no other bytes than RFC 9110, sections 5.1 and 5.5, allow.
 */
bool isWellFormed(const CallerAnswer &answer);

enum class RefusalKind {
    /** The request has not run and will not run; the caller may retry later. */
    NotRunTryLater,
    /** No route matches the request. */
    NoRoute,
    /** The request is invalid. */
    Malformed,
    /** The request may have run, and there is no answer. */
    UpstreamFailed,
    /** The deadline passed or the caller disconnected; the request may have run. */
    TimedOut,
    /** The request has no key of a customer; it has not run and must not be repeated as it is. */
    Unauthenticated,
};

struct RequestCodec
{
    /** Name of the header field in which upstreams are told the name of the customer. */
    std::string customerField;
    /** The bytes of the request to one upstream, which they name; `left` is the time that the caller still waits. */
    std::function<std::string(const ForwardedRequest &, const UpstreamId &, Duration left)> encode;
    /** Whether the answer belongs to the request with this id. */
    std::function<bool(const UpstreamAnswer &, const std::string &requestId)> belongsTo;
    std::function<AnswerVerdict(const UpstreamAnswer &)> read;
    /** The answer to the caller from a single upstream's answer. */
    std::function<CallerAnswer(const UpstreamAnswer &)> passThrough;
    /** Whether the answer of another entry, which served the whole request, may be given to the caller as it is. */
    std::function<bool(const CallerAnswer &)> mayRelay;
    /** The answer to the caller from the merged body; `missing` is the number of shards without a part. */
    std::function<CallerAnswer(const std::vector<std::string> &signatures, size_t missing, std::string body)> merged;
    /** The answer to a refused or failed request; retryAfter is the delay before the caller should retry. */
    std::function<CallerAnswer(RefusalKind, Duration retryAfter)> refusal;
};

} // namespace hickoryspur
