// Runs all registered fixtures, or the one named on the command line, and prints the number of passed and
// failed tests.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <glog/logging.h>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    // A fixed seed makes property tests generate the same cases in every run, unless RC_PARAMS is set already.
    ::setenv("RC_PARAMS", "seed=20261204", 0);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(argv[0]);

    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = static_cast<int>(collector.testFailuresTotal());
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
