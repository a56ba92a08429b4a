#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

std::string to_string(const setting_error& error) {
  const std::string place = error.path.empty() ? "settings" : error.path;
  return place + ": found " + error.value + ", allowed: " + error.allowed;
}

} // namespace parsleylead
