#include "settings/flags/flag_table.h"

#include <arpa/inet.h>
#include <popt.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

namespace magnoliareel {
namespace {

std::string MakeVariableName(std::string_view flag) {
  std::string buf = "MAGNOLIAREEL_";
  for (const char c : flag) {
    buf += c == '-'
               ? '_'
               : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return buf;
}

std::string ParseNumber(std::string_view text,
                        int64_t min,
                        int64_t max,
                        int64_t& out) {
  int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return "'" + std::string(text) + "' is not a whole number";
  }
  if (n < min || n > max) {
    return std::to_string(n) + " is not between " + std::to_string(min) +
           " and " + std::to_string(max);
  }
  out = n;
  return {};
}

}  // namespace

bool ParseSocketAddress(std::string_view text, SocketAddress& out) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  SocketAddress address{std::string(text.substr(0, colon)), 0};
  in_addr parsed_host{};
  // inet_pton() reads to the first NUL only.
  if (!IsWord(address.host) ||
      inet_pton(AF_INET, address.host.c_str(), &parsed_host) != 1) {
    return false;
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (ec != std::errc() || end != port.data() + port.size()) {
    return false;
  }
  out = std::move(address);
  return true;
}

FlagTable::FlagTable(std::string_view program, std::string_view purpose)
    : program_(program), purpose_(purpose) {}

void FlagTable::AddText(std::string_view name,
                        std::string_view help,
                        bool required,
                        std::string& out) {
  AddFlag(Flag{std::string(name), std::string(help), out,
               required && out.empty(), [&out](std::string_view text) {
                 out = text;
                 return std::string();
               }});
}

void FlagTable::AddNumber(std::string_view name,
                          std::string_view help,
                          int64_t min,
                          int64_t max,
                          int64_t& out) {
  AddFlag(Flag{std::string(name), std::string(help), std::to_string(out), false,
               [&out, min, max](std::string_view text) {
                 return ParseNumber(text, min, max, out);
               }});
}

void FlagTable::AddAddress(std::string_view name,
                           std::string_view help,
                           bool required,
                           SocketAddress& out) {
  AddFlag(Flag{std::string(name), std::string(help),
               out.host.empty() ? "" : out.Format(),
               required && out.host.empty(), [&out](std::string_view text) {
                 return ParseSocketAddress(text, out)
                            ? std::string()
                            : "'" + std::string(text) +
                                  "' is not an IPv4 address and port";
               }});
}

void FlagTable::AddParsed(std::string_view name,
                          std::string_view help,
                          std::function<std::string(std::string_view)> parse) {
  AddFlag(
      Flag{std::string(name), std::string(help), "", false, std::move(parse)});
}

void FlagTable::AddFlag(Flag flag) {
  assert(std::none_of(flags_.begin(), flags_.end(), [&flag](const Flag& other) {
    return other.name == flag.name;
  }));
  if (!flag.default_text.empty()) {
    flag.help += " (default " + flag.default_text + ")";
  }
  flags_.push_back(std::move(flag));
}

FlagResult FlagTable::Parse(std::span<char* const> args, Findings& findings) {
  if (!ReadCommandLine(args, findings)) {
    return FlagResult::kPrinted;
  }
  for (Flag& flag : flags_) {
    ApplyFlag(flag, findings);
  }
  return findings.IsEmpty() ? FlagResult::kRun : FlagResult::kInvalid;
}

bool FlagTable::ReadCommandLine(std::span<char* const> args,
                                Findings& findings) {
  std::vector<poptOption> options;
  for (Flag& flag : flags_) {
    options.push_back({flag.name.c_str(), '\0', POPT_ARG_STRING, &flag.value, 0,
                       flag.help.c_str(), "VALUE"});
  }
  options.push_back(
      {"help", '?', POPT_ARG_NONE, &show_help_, 0, "Print this help", nullptr});
  options.push_back({"version", '\0', POPT_ARG_NONE, &show_version_, 0,
                     "Print the version", nullptr});
  options.push_back(POPT_TABLEEND);

  std::vector<const char*> argv(args.begin(), args.end());
  argv.push_back(nullptr);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext(program_.c_str(), static_cast<int>(args.size()),
                     argv.data(), options.data(), 0),
      poptFreeContext);
  poptSetOtherOptionHelp(context.get(), purpose_.c_str());
  for (int rc = poptGetNextOpt(context.get()); rc != -1;
       rc = poptGetNextOpt(context.get())) {
    if (rc < -1) {
      findings.Add(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                   Error::kUnknownFlag, poptStrerror(rc));
    }
  }
  if (show_help_ != 0) {
    poptPrintHelp(context.get(), stdout, 0);
    std::puts(
        "Each flag can also be set as MAGNOLIAREEL_NAME in the environment.");
    return false;
  }
  if (show_version_ != 0) {
    std::printf("%s %s\n", program_.c_str(), MAGNOLIAREEL_VERSION);
    return false;
  }
  for (const char* it = poptGetArg(context.get()); it != nullptr;
       it = poptGetArg(context.get())) {
    arguments_.emplace_back(it);
  }
  return true;
}

void FlagTable::ApplyFlag(Flag& flag, Findings& findings) {
  const std::string place = "--" + flag.name;
  const char* text = flag.value;
  if (text == nullptr) {
    text = std::getenv(MakeVariableName(flag.name).c_str());
  }
  if (text == nullptr) {
    if (flag.required) {
      findings.Add(
          place, Error::kMissingField,
          "must be given, or " + MakeVariableName(flag.name) + " be set");
    }
  } else if (const std::string error = flag.parse(text); !error.empty()) {
    findings.Add(place, Error::kBadSetting, error);
  }
  std::free(flag.value);
  flag.value = nullptr;
}

}  // namespace magnoliareel
