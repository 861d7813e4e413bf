// Precompiled header of the tests.
#pragma once
#include "Precompiled.h"

#include <cppunit/extensions/HelperMacros.h>
