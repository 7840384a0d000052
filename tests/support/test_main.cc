#include <string>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
  // Otherwise static state of the libraries would be reported as a leak of the
  // test that first uses it.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
