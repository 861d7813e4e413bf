// Guards against requests that reach the wrong service because prefixes overlap or a split ignores its
// weights, against invalid route tables, and against wrong order or incomplete records in merged answers.
#include "hickoryspur/version/RouteTable.h"
#include "hickoryspur/request/TopRecords.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(routeTable_nestedPrefixes_longestMatches);
    CPPUNIT_TEST(routeTable_pathOutsidePrefix_hasNoRoute);
    CPPUNIT_TEST(routeTable_severalErrors_listsEach);
    CPPUNIT_TEST(weightedSplit_manyDraws_followsWeights);
    CPPUNIT_TEST(topRecords_equalRecords_areAllKept);
    CPPUNIT_TEST(topRecords_highBytes_compareAsUnsigned);
    CPPUNIT_TEST(topRecords_incompleteRecord_isIgnored);
    CPPUNIT_TEST_SUITE_END();

    static Route route(const std::string &name, const std::string &prefix)
    {
        Route route;
        route.name = name;
        route.host = "h";
        route.pathPrefix = prefix;
        route.services = {{ServiceName("s"), 1}};
        return route;
    }

    static std::string record(char fill) { return std::string(kRecordBytes, fill); }

public:
    void routeTable_nestedPrefixes_longestMatches()
    {
        RouteTable table;
        table.routes = {route("short", "/a/"), route("long", "/a/b/")};
        CPPUNIT_ASSERT_EQUAL(std::string("long"), table.find("h", "/a/b/c")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), table.find("h", "/a/c")->name);
        CPPUNIT_ASSERT(table.find("other", "/a/c") == nullptr);
    }

    void routeTable_pathOutsidePrefix_hasNoRoute()
    {
        RouteTable table;
        table.routes = {route("short", "/a/")};
        CPPUNIT_ASSERT(table.find("h", "/ab/c") == nullptr);
        CPPUNIT_ASSERT(table.find("h", "/a") == nullptr);
    }

    void routeTable_severalErrors_listsEach()
    {
        RouteTable table;
        table.services[ServiceName("s")] = {};
        Route twin = route("twin", "/a/");
        Route unknown = route("unknown", "/u/");
        unknown.services = {{ServiceName("nobody"), 1}};
        Route weightless = route("weightless", "/w/");
        weightless.services = {{ServiceName("s"), 0}, {ServiceName("s"), 0}};
        Route timeless = route("timeless", "/t/");
        timeless.timeout = Duration::zero();
        table.routes = {route("first", "/a/"), twin, unknown, weightless, timeless};
        CPPUNIT_ASSERT_EQUAL(size_t(4), checkRouteTable(table).size());
    }

    void weightedSplit_manyDraws_followsWeights()
    {
        Route split = route("split", "/s/");
        split.services = {{ServiceName("three"), 3}, {ServiceName("none"), 0}, {ServiceName("one"), 1}};
        int three = 0;
        for (int i = 0; i < 1000; ++i) {
            const ServiceName &picked = split.pickService(i / 1000.0);
            CPPUNIT_ASSERT(picked != ServiceName("none"));
            three += picked == ServiceName("three") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(750, three);
    }

    void topRecords_equalRecords_areAllKept()
    {
        const std::string left = record('b') + record('a');
        const std::string right = record('c') + record('b');
        CPPUNIT_ASSERT_EQUAL(record('c') + record('b') + record('b'), mergeTopRecords({left, right}, 3));
    }

    void topRecords_highBytes_compareAsUnsigned()
    {
        const std::string part = record('a') + record('\xff');
        CPPUNIT_ASSERT_EQUAL(record('\xff'), mergeTopRecords({part}, 1));
    }

    void topRecords_incompleteRecord_isIgnored()
    {
        std::string part = record('a');
        part.append(3, 'z');
        CPPUNIT_ASSERT_EQUAL(record('a'), mergeTopRecords({part}, 5));
        CPPUNIT_ASSERT_EQUAL(std::string(), mergeTopRecords({"zzz"}, 5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
