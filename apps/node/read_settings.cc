#include "apps/node/read_settings.h"

#include <fstream>
#include <iterator>

#include "platform/platform.h"

namespace magnoliareel {

void ReadNodeSettings(const std::string& path,
                      NodeSettings& out,
                      Findings& findings) {
  std::ifstream file(path);
  if (!file) {
    findings.Add("--boot", Error::kBadSetting,
                 "the file \"" + path + "\" cannot be read");
    return;
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  platform::ParseNodeSettings(text, out, findings);
}

}  // namespace magnoliareel
