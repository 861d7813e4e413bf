// The headers that every fixture reads, compiled once.
#pragma once
#include "Precompiled.h"

#include <cppunit/extensions/HelperMacros.h>
