// Precompiled header: third-party and standard headers that nearly every source file includes.
#pragma once
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <msgpack.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
