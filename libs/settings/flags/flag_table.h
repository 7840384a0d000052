#ifndef MAGNOLIAREEL_SETTINGS_FLAGS_FLAG_TABLE_H_
#define MAGNOLIAREEL_SETTINGS_FLAGS_FLAG_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace magnoliareel {

/** What a program does after its settings were read. */
enum class FlagResult {
  /** Run with the settings. */
  kRun,
  /** Help or the version was printed; exit with success. */
  kPrinted,
  /** There are findings; report them and exit. */
  kInvalid,
};

/** Host and port to listen on or connect to. */
struct SocketAddress {
  /** IPv4 address in dotted form. */
  std::string host;
  /** TCP port; 0 picks a free one when listening. */
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
  /** @returns "host:port" */
  std::string Format() const { return host + ":" + std::to_string(port); }
};

/** @param text  "host:port" with an IPv4 host
    @param out   receives the address
    @returns     false if the text is no such address
*/
bool ParseSocketAddress(std::string_view text, SocketAddress& out);

/** The flags of one program; each can also be given as the environment
    variable MAGNOLIAREEL_ + its name in capitals. A flag goes first.

    @see Findings, ExitCode
*/
class FlagTable {
 public:
  /** @param program  the program's name
      @param purpose  one line for --help
  */
  FlagTable(std::string_view program, std::string_view purpose);

  /** Adds a text flag.

      @param name      lower case with dashes
      @param help      one line, with the unit if any
      @param required  whether an empty value is a fault
      @param out       holds the default, receives the value
  */
  void AddText(std::string_view name,
               std::string_view help,
               bool required,
               std::string& out);

  /** Adds a number flag.

      @param name     lower case with dashes
      @param help     one line, with the unit
      @param least    smallest value
      @param greatest largest value
      @param out      holds the default, receives the value
  */
  void AddNumber(std::string_view name,
                 std::string_view help,
                 int64_t least,
                 int64_t greatest,
                 int64_t& out);

  /** Adds a host:port flag.

      @param name      lower case with dashes
      @param help      one line
      @param required  whether an empty value is a fault
      @param out       holds the default, receives the value
  */
  void AddAddress(std::string_view name,
                  std::string_view help,
                  bool required,
                  SocketAddress& out);

  /** Adds a flag of any type that a function parses.

      @param name   lower case with dashes
      @param help   one line
      @param parse  takes the text; returns an empty string or what is wrong;
                    not called if the flag was not given
  */
  void AddParsed(std::string_view name,
                 std::string_view help,
                 std::function<std::string(std::string_view)> parse);

  /** Reads environment and command line.

      @param args      the program's arguments, its name first
      @param findings  receives every fault with "--name" as its place
      @returns         what the program does next
  */
  FlagResult Parse(std::span<char* const> args, Findings& findings);

  /** @returns the arguments that are no flags, after Parse() */
  std::span<const std::string> GetArguments() const { return arguments_; }

 private:
  struct Flag {
    std::string name;
    std::string help;
    std::string shown_default;
    bool required = false;
    std::function<std::string(std::string_view)> parse;
    char* given = nullptr;
  };

  void AddFlag(Flag flag);
  bool ReadCommandLine(std::span<char* const> args, Findings& findings);
  void ApplyFlag(Flag& flag, Findings& findings);

  std::string program_;
  std::string purpose_;
  std::deque<Flag> flags_;
  std::vector<std::string> arguments_;
  int show_help_ = 0;
  int show_version_ = 0;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_SETTINGS_FLAGS_FLAG_TABLE_H_
