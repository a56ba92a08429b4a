#include "parsleylead/settings/setting_error.hpp"

namespace parsleylead {

std::string to_string(const setting_error& error) {
  const std::string path = error.path.empty() ? "settings" : error.path;
  return path + ": found " + error.value + ", allowed: " + error.allowed;
}

} // namespace parsleylead
