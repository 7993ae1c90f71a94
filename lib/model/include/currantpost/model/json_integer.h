#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

/// Integers of JSON texts from other processes. The library's own conversions wrap numbers around
/// that the type can't hold.

namespace currantpost {

/// Reads an integer. Drops a fraction. Throws `nlohmann::json::exception` if it is no number or
/// not between the limits.
template <std::integral Value>
Value ReadInteger(const nlohmann::json& json, Value least = std::numeric_limits<Value>::min(),
                  Value most = std::numeric_limits<Value>::max()) {
  if (!json.is_number()) {
    throw nlohmann::json::type_error::create(302, "an integer is expected", &json);
  }

  const auto checked = [&](auto number) {
    if (std::cmp_less(number, least) || std::cmp_greater(number, most)) {
      throw nlohmann::json::out_of_range::create(406, "the integer is out of range", &json);
    }
    return static_cast<Value>(number);
  };

  if (json.is_number_unsigned()) return checked(json.get<uint64_t>());
  if (json.is_number_integer()) return checked(json.get<int64_t>());

  constexpr double kBeyondInt64 = 9'223'372'036'854'775'808.0;
  const auto number = json.get<double>();
  const bool is_int64 = number >= -kBeyondInt64 && number < kBeyondInt64;
  if (!is_int64) throw nlohmann::json::out_of_range::create(406, "the number is too large", &json);

  return checked(static_cast<int64_t>(number));
}

/// Reads an optional member of an object. Returns `missing` if it is not there.
template <std::integral Value>
Value ReadIntegerOr(const nlohmann::json& json, const char* key, Value missing,
                    Value least = std::numeric_limits<Value>::min(),
                    Value most = std::numeric_limits<Value>::max()) {
  return json.contains(key) ? ReadInteger<Value>(json.at(key), least, most) : missing;
}

/// Reads an optional member that is an array of integers. Returns none if it is not there.
template <std::integral Value>
std::vector<Value> ReadIntegers(const nlohmann::json& json, const char* key) {
  std::vector<Value> numbers;
  if (!json.contains(key)) return numbers;

  for (const auto& number : json.at(key).get_ref<const nlohmann::json::array_t&>()) {
    numbers.push_back(ReadInteger<Value>(number));
  }

  return numbers;
}

}  // namespace currantpost
