#include "parsleylead/routes/route_table.hpp"

#include <doctest/doctest.h>

namespace parsleylead {
namespace {

route make_route(const std::string& host, const std::string& prefix) {
  route result;
  result.name = host + prefix;
  result.host = host;
  result.path_prefix = prefix;
  return result;
}

TEST_CASE("the route with the longest matching prefix is selected") {
  const route_table table(3, {make_route("a.example", "/x/"), make_route("a.example", "/x/y/"),
                              make_route("b.example", "/x/")});
  CHECK(table.find("a.example", "/x/1")->name == "a.example/x/");
  CHECK(table.find("a.example", "/x/y/1")->name == "a.example/x/y/");
  CHECK(table.find("b.example:80", "/x/y/1")->name == "b.example/x/");
  CHECK(table.find("b.example", "/z/") == nullptr);
  CHECK(table.find("c.example", "/x/") == nullptr);
  CHECK(route_table().find("a.example", "/x/1") == nullptr);
}

} // namespace
} // namespace parsleylead
