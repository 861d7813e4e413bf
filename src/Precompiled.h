// The headers that nearly every source reads, compiled once.
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
