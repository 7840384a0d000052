#include <string>

#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv) {
  // Otherwise static state of the libraries would be reported as a leak of the
  // test that first uses it. The detector is created anew, without what was
  // allocated so far: it would go on reading that after it has been freed.
  MemoryLeakWarningPlugin::destroyGlobalDetector();
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
