// Parsing of HostSettings, and the times derived from the grace period. If a directory answer is valid for too
// long, callers that cache it still send requests to a stopping entry when its process is killed.
#include "hickoryspur/process/HostSettings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class HostSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostSettingsTest);
    CPPUNIT_TEST(settings_anyGrace_callersDrainWithinGrace);
    CPPUNIT_TEST(settings_entryWithoutAddresses_reportsEachError);
    CPPUNIT_TEST(settings_seeds_getInternalPortInNodeIds);
    CPPUNIT_TEST_SUITE_END();

    /** Parses the settings of an entry, followed by the lines in `rest`. */
    static Result<HostSettings> parseWith(const std::string &rest)
    {
        std::string text = "name: e\nrole: entry\ndata-centre: a\ninternal-address: \"10.0.0.1:7000\"\n";
        text.append(rest);
        return parseHostSettings(text, "f");
    }

public:
    void settings_anyGrace_callersDrainWithinGrace()
    {
        for (const Duration grace : {Duration(3s), Duration(6s), Duration(30s)}) {
            HostSettings settings;
            settings.grace = grace;
            CPPUNIT_ASSERT(settings.directoryValidity() > Duration::zero());
            CPPUNIT_ASSERT(settings.directoryValidity() <= settings.maxDirectoryValidity);
            // Callers that cache an answer for three times its validity have left, and 1 s remains to finish
            // their requests.
            CPPUNIT_ASSERT(3 * settings.directoryValidity() <= settings.callerDrainTime());
            CPPUNIT_ASSERT(settings.callerDrainTime() + 1s <= grace);
        }
    }

    void settings_entryWithoutAddresses_reportsEachError()
    {
        const Result<HostSettings> settings = parseWith("seeds: [nowhere]\nextra: 1\n");
        CPPUNIT_ASSERT(!settings);
        for (const char *part : {"caller-address", "nowhere", "no field extra"})
            CPPUNIT_ASSERT(settings.error().message.find(part) != std::string::npos);
    }

    void settings_seeds_getInternalPortInNodeIds()
    {
        const Result<HostSettings> settings = parseWith(
            "seeds: [\"10.0.0.2:8224\"]\ncaller-address: \"10.0.0.1:80\"\nreadiness-address: \"10.0.0.1:81\"\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(NodeId("10.0.0.2:7000"), settings->seedIds().front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostSettingsTest);
