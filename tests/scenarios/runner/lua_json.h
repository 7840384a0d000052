#ifndef MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_LUA_JSON_H_
#define MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_LUA_JSON_H_

#include <json/value.h>
#include <lua.hpp>

namespace magnoliareel::scenario {

/** Pushes a JSON value onto the Lua stack as tables and plain values. */
void PushJson(lua_State* lua, const Json::Value& value);

/** @returns the Lua value at an index as JSON; a table with a first element is
    a list */
Json::Value ToJson(lua_State* lua, int index);

}  // namespace magnoliareel::scenario

#endif  // MAGNOLIAREEL_TESTS_SCENARIOS_RUNNER_LUA_JSON_H_
