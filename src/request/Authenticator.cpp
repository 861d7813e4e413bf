#include "hickoryspur/request/Authenticator.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string_view>

namespace hickoryspur {

namespace {

using boost::beast::iequals;

const boost::beast::string_view kAuthorization = "authorization";
const boost::beast::string_view kScheme = "bearer";

/** The key in the value of an Authorization field; empty if it has another scheme or no key. */
std::string_view keyIn(std::string_view value)
{
    if (value.size() <= kScheme.size() || !iequals({value.data(), kScheme.size()}, kScheme)
        || value[kScheme.size()] != ' ')
        return {};
    value.remove_prefix(kScheme.size());
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    return value;
}

/** Finds the request's customer by its key. */
std::optional<AuthenticationFailure> findCustomer(const CustomerTable &customers, ForwardedRequest &request)
{
    const std::string *authorization = nullptr;
    for (const auto &[name, value] : request.fields) {
        if (!iequals(name, kAuthorization))
            continue;
        if (authorization)
            return AuthenticationFailure{"several-keys", std::nullopt};
        authorization = &value;
    }
    if (!authorization)
        return AuthenticationFailure{"no-key", std::nullopt};
    const std::string_view key = keyIn(*authorization);
    if (key.empty())
        return AuthenticationFailure{"other-scheme", std::nullopt};
    const KeyDigest digest = digestOfKey(key);
    const Customer *customer = customers.find(digest);
    if (!customer)
        return AuthenticationFailure{"unknown-key", digest};
    request.customer = customer->name;
    request.customerPriority = customer->priority;
    request.keyDigest = digest;
    return std::nullopt;
}

} // namespace

std::optional<AuthenticationFailure> Authenticator::authenticate(const RouteTable &table, const Route &route,
                                                                 ForwardedRequest &request) const
{
    if (table.customers.empty())
        return std::nullopt;
    if (!route.authExempt)
        if (std::optional<AuthenticationFailure> failure = findCustomer(table.customers, request))
            return failure;
    removeFields(request);
    if (request.keyDigest)
        request.fields.emplace_back(m_customerField, request.customer.value());
    return std::nullopt;
}

std::optional<AuthenticationFailure> Authenticator::checkDelegated(const RouteTable &table, const Route &route,
                                                                   ForwardedRequest &request) const
{
    if (table.customers.empty())
        return std::nullopt;
    if (route.authExempt) {
        removeFields(request);
        request.customer = CustomerName();
        request.keyDigest.reset();
        return std::nullopt;
    }
    if (!request.keyDigest)
        return AuthenticationFailure{"delegated-without-customer", std::nullopt};
    const Customer *customer = table.customers.find(*request.keyDigest);
    if (!customer || customer->name != request.customer)
        return AuthenticationFailure{"delegated-unknown-key", request.keyDigest};
    request.customerPriority = customer->priority;
    return std::nullopt;
}

void Authenticator::removeFields(ForwardedRequest &request) const
{
    std::erase_if(request.fields, [this](const auto &field) {
        return iequals(field.first, kAuthorization) || iequals(field.first, m_customerField);
    });
}

bool isKeyWithdrawn(const RouteTable &current, const ForwardedRequest &request)
{
    if (!request.keyDigest || current.customers.empty())
        return false;
    const Customer *customer = current.customers.find(*request.keyDigest);
    return !customer || customer->name != request.customer;
}

bool lacksAuthentication(const RouteTable &accepted, const RouteTable &current, const ForwardedRequest &request)
{
    if (&accepted == &current || current.customers.empty())
        return false;
    return request.keyDigest ? isKeyWithdrawn(current, request) : accepted.customers.empty();
}

int priorityOf(const Route &route, const ForwardedRequest &request)
{
    return request.customerPriority.value_or(route.priority);
}

} // namespace hickoryspur
