#include <string>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
  // Static state of the libraries in use is not a leak of the test.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
