#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <span>
#include <string>

#include "apps/node/node_flags.h"
#include "apps/node/node_process.h"
#include "apps/node/read_settings.h"
#include "process/process.h"

namespace magnoliareel {
namespace {

// Log lines that are buffered while the reader of the log is slow: enough for
// several seconds of a busy node.
constexpr size_t kLogBufferSize = 256 * 1024;
// Blocks of this size, such as long lines, are returned to the system when they
// are freed. By default, the first one that is freed raises the bound up to
// 32 MiB, and long lines then leave a fragmented heap. Larger than the buffers
// of ordinary statements.
constexpr int kMmapThresholdBytes = 128 * 1024;
constexpr int kTrimThresholdBytes = 1024 * 1024;

int Run(std::span<char* const> args) {
  NodeFlags flags;
  Findings findings;
  const FlagResult result = ParseNodeFlags(args, flags, findings);
  if (result != FlagResult::kRun) {
    return ReportSettingsFindings(result, findings);
  }
  NodeSettings settings;
  ReadNodeSettings(flags.boot, settings, findings);
  if (!findings.IsEmpty()) {
    return ReportSettingsFindings(FlagResult::kInvalid, findings);
  }
  if (flags.check) {
    std::puts("the settings have no findings");
    return 0;
  }
  settings.metrics_address = {settings.peer_address.host,
                              static_cast<uint16_t>(flags.metrics_port)};
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  LogBuffer log(kLogBufferSize);
  StartBufferedLog(log, settings.vm.value);
  NodeProcess process(std::move(settings), flags.boot, log);
  return process.Run();
}

}  // namespace
}  // namespace magnoliareel

int main(int argc, char** argv) {
  return magnoliareel::Run({argv, static_cast<size_t>(argc)});
}
