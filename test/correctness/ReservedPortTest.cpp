#include "fakes/ReservedPort.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>
#include <set>
#include <vector>

using namespace hickoryspur;

/** The ports that tests give to servers of theirs, which start while others take ports. */
class ReservedPortTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReservedPortTest);
    CPPUNIT_TEST(ports_manyReserved_differAndServersListen);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    /** So many that ports which are merely free would repeat among them. */
    static constexpr size_t kPorts = 1000;

public:
    void ports_manyReserved_differAndServersListen()
    {
        boost::asio::io_context context;
        std::list<ReservedPort> reserved;
        std::set<uint16_t> numbers;
        while (reserved.size() < kPorts)
            numbers.insert(reserved.emplace_back(context).number());
        CPPUNIT_ASSERT_EQUAL(kPorts, numbers.size());
        std::vector<tcp::acceptor> servers;
        for (const uint16_t number : numbers)
            for (const char *address : {"127.0.0.1", "127.0.0.2"})
                servers.emplace_back(context, tcp::endpoint(boost::asio::ip::make_address(address), number));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReservedPortTest);
