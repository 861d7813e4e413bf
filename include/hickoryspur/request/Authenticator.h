// Authenticates callers' requests by the keys of the customers in the configuration. An entry does so once, when it
// accepts the request: it removes the key and adds the field that names the customer, so that whatever is sent for the
// request later, to upstreams or to other entries, has no key and names the customer. It uses no I/O.
#pragma once

#include "hickoryspur/request/RequestCodec.h"
#include "hickoryspur/version/RouteTable.h"

#include <optional>
#include <string>

namespace hickoryspur {

/** Why a request is not authenticated. */
struct AuthenticationFailure
{
    /** For logs; contains nothing of the request. */
    const char *reason = "";
    /** The digest of the request's key if it has exactly one. */
    std::optional<KeyDigest> key;
};

class Authenticator
{
public:
    /** @param customerField Name of the header field in which upstreams are told the customer's name. */
    explicit Authenticator(std::string customerField)
        : m_customerField(std::move(customerField))
    {
    }

    /**
     * Authenticates a caller's request and replaces its key by the customer's name; on an exempt route it only removes
     * both. Changes nothing if the table has no customers. After a failure, the request must not be sent.
     */
    std::optional<AuthenticationFailure> authenticate(const RouteTable &table, const Route &route,
                                                      ForwardedRequest &request) const;
    /**
     * Checks a request that another entry has authenticated against this entry's table, which may be another one.
     * After a failure, this entry must not serve the request; its table or the other entry's is out of date.
     */
    std::optional<AuthenticationFailure> checkDelegated(const RouteTable &table, const Route &route,
                                                        ForwardedRequest &request) const;

private:
    /** Removes every key and every field that names a customer. */
    void removeFields(ForwardedRequest &request) const;

    std::string m_customerField;
};

/** Whether the key of the request, which was authenticated, is no longer one of the customer's. */
bool isKeyWithdrawn(const RouteTable &current, const ForwardedRequest &request);
/**
 * Whether a request that was accepted under another table must not be sent under the current one: its key has been
 * withdrawn, or customers have been configured since, so that its fields were not checked.
 */
bool lacksAuthentication(const RouteTable &accepted, const RouteTable &current, const ForwardedRequest &request);
/** The priority of the request's customer if that has one, otherwise the route's; 0 is the highest. */
int priorityOf(const Route &route, const ForwardedRequest &request);

} // namespace hickoryspur
