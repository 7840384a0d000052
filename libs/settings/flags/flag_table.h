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

/** Result of reading the settings of a program. */
enum class FlagResult {
  /** The settings are valid; the program runs with them. */
  kRun,
  /** Help or the version was printed; the program exits with success. */
  kPrinted,
  /** There are findings; the program reports them and exits. */
  kInvalid,
};

/** IPv4 address and port to listen on or connect to. */
struct SocketAddress {
  /** IPv4 address in dotted decimal notation. */
  std::string host;
  /** TCP or UDP port; 0 picks a free port when listening. */
  uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
  /** @returns "host:port" */
  std::string Format() const { return host + ":" + std::to_string(port); }
};

/** Parses a socket address.

    @param text  "host:port" with an IPv4 host
    @param out   receives the address; unchanged on failure
    @returns     false if the text has another form
*/
bool ParseSocketAddress(std::string_view text, SocketAddress& out);

/** Parser for the command line of a program.

    A flag that is not given on the command line is read from the environment
    variable MAGNOLIAREEL_NAME, where NAME is the name of the flag in upper case
    with underscores.

    @see Findings, ExitCode
*/
class FlagTable {
 public:
  /** @param program  name of the program
      @param purpose  summary for --help, one line
  */
  FlagTable(std::string_view program, std::string_view purpose);

  /** Adds a string flag.

      @param name      lower case with dashes
      @param help      one line, with the unit if any
      @param required  whether the flag must be given if the default is empty
      @param out       holds the default and receives the value
  */
  void AddText(std::string_view name,
               std::string_view help,
               bool required,
               std::string& out);

  /** Adds an integer flag.

      @param name     lower case with dashes
      @param help     one line, with the unit
      @param min      smallest valid value
      @param max      largest valid value
      @param out      holds the default and receives the value
  */
  void AddNumber(std::string_view name,
                 std::string_view help,
                 int64_t min,
                 int64_t max,
                 int64_t& out);

  /** Adds a host:port flag.

      @param name      lower case with dashes
      @param help      one line
      @param required  whether the flag must be given if the default is empty
      @param out       holds the default and receives the value
  */
  void AddAddress(std::string_view name,
                  std::string_view help,
                  bool required,
                  SocketAddress& out);

  /** Adds a flag with its own parse function.

      @param name   lower case with dashes
      @param help   one line
      @param parse  parses the text and returns an error message, or an empty
                    string if the text is valid; not called if the flag is
                    not given
  */
  void AddParsed(std::string_view name,
                 std::string_view help,
                 std::function<std::string(std::string_view)> parse);

  /** Reads the command line and the environment.

      @param args      arguments of the program, with its name first
      @param findings  receives all errors, located by "--name"
      @returns         how the program continues
  */
  FlagResult Parse(std::span<char* const> args, Findings& findings);

  /** @returns the positional arguments; valid after Parse() */
  std::span<const std::string> GetArguments() const { return arguments_; }

 private:
  struct Flag {
    std::string name;
    std::string help;
    std::string default_text;
    bool required = false;
    std::function<std::string(std::string_view)> parse;
    // Value from the command line; allocated by popt.
    char* value = nullptr;
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
