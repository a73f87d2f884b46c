#pragma once

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace acaciagauge {

/// @brief Returns a number's text, or the type of a value of another kind: dump() overflows the stack on deep nesting.
inline std::string describeNumber(const nlohmann::json& value)
{
    return value.is_number() ? value.dump() : std::string("a value of type ") + value.type_name();
}

/// @brief Reads a whole number from a JSON document.
///
/// nlohmann::json converts silently: a fraction is cut off, a negative number wraps around, and `true` is 1. Here, only
/// integers without a decimal point or exponent count: once parsed as floating point, a small fraction may be lost.
/// @param low, high range of permitted values
/// @throw nlohmann::json::exception if the value has another type or is out of range
template <typename T>
T readWhole(const nlohmann::json& value, T low = std::numeric_limits<T>::min(), T high = std::numeric_limits<T>::max())
{
    bool isInRange = false;
    if (value.is_number_unsigned()) {
        auto n = value.get<std::uint64_t>();
        isInRange = std::cmp_greater_equal(n, low) && std::cmp_less_equal(n, high);
    } else if (value.is_number_integer()) {
        auto n = value.get<std::int64_t>();
        isInRange = std::cmp_greater_equal(n, low) && std::cmp_less_equal(n, high);
    }
    if (!isInRange)
        throw nlohmann::json::out_of_range::create(
            401, describeNumber(value) + " is not a whole number in range", &value);
    return value.get<T>();
}

/// @brief Reads a whole number from a field of a JSON object.
/// @throw nlohmann::json::exception if the field is missing, has another type or is out of range
template <typename T>
T readWholeField(const nlohmann::json& object, const char* name, T low = std::numeric_limits<T>::min(),
    T high = std::numeric_limits<T>::max())
{
    return readWhole<T>(object.at(name), low, high);
}

} // namespace acaciagauge
