#include <iostream>

#include "currantpost/tool/tool.h"

int main(int argument_count, char** arguments) {
  return static_cast<int>(currantpost::RunTool(argument_count, arguments, std::cout, std::cerr));
}
