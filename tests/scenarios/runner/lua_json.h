#ifndef MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_LUA_JSON_H_
#define MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_LUA_JSON_H_

#include <json/value.h>
#include <lua.hpp>

namespace magnoliareel::scenario {

/** Pushes a JSON value onto the Lua stack. Objects and arrays become tables. */
void PushJson(lua_State* lua, const Json::Value& value);

/** Converts a Lua value to JSON.

    @param index  the value's place on the Lua stack
    @returns      an array for a table that has elements from 1, an object for
                  any other table, null for values that JSON cannot represent
*/
Json::Value ToJson(lua_State* lua, int index);

}  // namespace magnoliareel::scenario

#endif  // MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_LUA_JSON_H_
