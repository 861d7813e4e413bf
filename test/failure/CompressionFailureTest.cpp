// Guards the compressed texts between hosts: damaged bytes must be refused and a text of any size must come back whole.
#include "hickoryspur/process/Compression.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class CompressionFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CompressionFailureTest);
    CPPUNIT_TEST(text_ofAnySize_comesBackWhole);
    CPPUNIT_TEST(bytes_cutOrChanged_areRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void text_ofAnySize_comesBackWhole()
    {
        for (const size_t size : {0UL, 1UL, 65'536UL, 65'537UL, 3'000'000UL}) {
            std::string text;
            for (size_t i = 0; text.size() < size; ++i)
                text += "{\"name\":\"service-" + std::to_string(i) + "\"},";
            text.resize(size);
            const std::optional<std::string> back = decompressText(compressText(text));
            CPPUNIT_ASSERT(back.has_value());
            CPPUNIT_ASSERT(*back == text);
        }
    }

    void bytes_cutOrChanged_areRefused()
    {
        const std::string text(1000, 'a');
        const std::string bytes = compressText(text);
        CPPUNIT_ASSERT(!decompressText(bytes.substr(0, bytes.size() / 2)));
        CPPUNIT_ASSERT(!decompressText(""));
        std::string changed = bytes;
        changed.back() = static_cast<char>(changed.back() ^ 1);
        CPPUNIT_ASSERT(!decompressText(changed));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionFailureTest);
