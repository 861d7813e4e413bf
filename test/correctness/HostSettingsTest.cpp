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
    CPPUNIT_TEST(settings_slackWithFraction_isRead);
    CPPUNIT_TEST(settings_admission_isArrivalUnlessCostIsSet);
    CPPUNIT_TEST(settings_numberOutOfRange_isRefused);
    CPPUNIT_TEST(settings_usage_isReadAndOptional);
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

    void settings_slackWithFraction_isRead()
    {
        const Result<HostSettings> settings = parseWith(kAddresses + "extra-slack: 62.2\nextra-share: 0.2\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(62.2, settings->extraSlack);
    }

    // Guards against a host that admits by cost, or does not, against its settings.
    void settings_admission_isArrivalUnlessCostIsSet()
    {
        CPPUNIT_ASSERT(parseWith(kAddresses)->admission == AdmissionMode::Arrival);
        CPPUNIT_ASSERT(parseWith(kAddresses + "admission: arrival\n")->admission == AdmissionMode::Arrival);
        CPPUNIT_ASSERT(parseWith(kAddresses + "admission: cost\n")->admission == AdmissionMode::Cost);
        CPPUNIT_ASSERT(parseWith(kAddresses + "admission: \"cost\"\n")->admission == AdmissionMode::Cost);
        CPPUNIT_ASSERT(!parseWith(kAddresses + "admission: other\n"));
        CPPUNIT_ASSERT(!parseWith(kAddresses + "admission: costs\n"));
    }

    void settings_numberOutOfRange_isRefused()
    {
        for (const char *line : {"extra-slack: -1", "extra-slack: .nan", "extra-slack: .inf", "extra-share: 1.5",
                                 "extra-share: .nan", "grace: 1e300s", "grace: infs", "upstream-drain: nanms"})
            CPPUNIT_ASSERT_MESSAGE(line, !parseWith(kAddresses + line + "\n"));
    }

    void settings_usage_isReadAndOptional()
    {
        CPPUNIT_ASSERT(!parseWith(kAddresses)->usageAddress);
        const Result<HostSettings> settings =
            parseWith(kAddresses + "usage-address: \"10.0.0.9:8700\"\nusage-window: \"2.5s\"\nusage-due: \"7s\"\n"
                      + "duty-lease: \"2500ms\"\nduty-rate: 12.5\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:8700"), settings->usageAddress->text());
        CPPUNIT_ASSERT(settings->usageWindow == 2500ms && settings->usageDue == 7s && settings->dutyLease == 2500ms);
        CPPUNIT_ASSERT_EQUAL(12.5, settings->dutyRate);
        CPPUNIT_ASSERT(!parseWith(kAddresses + "usage-address: nowhere\n"));
        // A report that is due after its counts have been dropped would be empty.
        CPPUNIT_ASSERT(!parseWith(kAddresses + "usage-window: \"5s\"\nusage-due: \"51s\"\n"));
    }

private:
    static inline const std::string kAddresses =
        "seeds: [\"10.0.0.2:8224\"]\ncaller-address: \"10.0.0.1:80\"\nreadiness-address: \"10.0.0.1:81\"\n";
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostSettingsTest);
