#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace currantpost {

/// One row of a table of names.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// Maps each value of an `enum class` to its name in logs, settings and JSON.
template <typename Enum, size_t kSize>
class EnumNames {
 public:
  constexpr explicit EnumNames(std::array<EnumName<Enum>, kSize> rows) : rows_(rows) {}

  /// Returns the name of a value, or "unknown" for a value that is not in the table.
  [[nodiscard]] constexpr std::string_view Name(Enum value) const {
    for (const auto& row : rows_) {
      if (row.value == value) return row.name;
    }

    return "unknown";
  }

  /// Returns the value of a name, or nothing for a name that is not in the table.
  [[nodiscard]] constexpr std::optional<Enum> Find(std::string_view name) const {
    for (const auto& row : rows_) {
      if (row.name == name) return row.value;
    }

    return std::nullopt;
  }

  /// Returns all rows, in the order of the table.
  [[nodiscard]] constexpr const std::array<EnumName<Enum>, kSize>& Rows() const { return rows_; }

 private:
  std::array<EnumName<Enum>, kSize> rows_;
};

template <typename Enum, size_t kSize>
EnumNames(std::array<EnumName<Enum>, kSize>) -> EnumNames<Enum, kSize>;

}  // namespace currantpost
