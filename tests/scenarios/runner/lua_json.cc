#include "tests/scenarios/runner/lua_json.h"

#include <cmath>

namespace magnoliareel::scenario {

void PushJson(lua_State* lua, const Json::Value& value) {
  luaL_checkstack(lua, 8, "JSON is nested too deeply");
  switch (value.type()) {
    case Json::nullValue:
      lua_pushnil(lua);
      return;
    case Json::booleanValue:
      lua_pushboolean(lua, value.asBool() ? 1 : 0);
      return;
    case Json::intValue:
    case Json::uintValue:
      lua_pushinteger(lua, static_cast<lua_Integer>(value.asInt64()));
      return;
    case Json::realValue:
      lua_pushnumber(lua, value.asDouble());
      return;
    case Json::stringValue:
      lua_pushstring(lua, value.asCString());
      return;
    case Json::arrayValue:
      lua_newtable(lua);
      for (Json::ArrayIndex n = 0; n < value.size(); ++n) {
        PushJson(lua, value[n]);
        lua_rawseti(lua, -2, static_cast<lua_Integer>(n) + 1);
      }
      return;
    case Json::objectValue:
      lua_newtable(lua);
      for (const std::string& name : value.getMemberNames()) {
        PushJson(lua, value[name]);
        lua_setfield(lua, -2, name.c_str());
      }
      return;
  }
}

Json::Value ToJson(lua_State* lua, int index) {
  index = lua_absindex(lua, index);
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(lua, index) != 0) {
        return Json::Int64(lua_tointeger(lua, index));
      }
      return lua_tonumber(lua, index);
    case LUA_TSTRING:
      return std::string(lua_tostring(lua, index));
    case LUA_TTABLE:
      break;
    default:
      return Json::nullValue;
  }
  const auto size = static_cast<Json::ArrayIndex>(lua_rawlen(lua, index));
  Json::Value value(size > 0 ? Json::arrayValue : Json::objectValue);
  for (Json::ArrayIndex n = 0; n < size; ++n) {
    lua_rawgeti(lua, index, static_cast<lua_Integer>(n) + 1);
    value.append(ToJson(lua, -1));
    lua_pop(lua, 1);
  }
  if (size > 0) {
    return value;
  }
  lua_pushnil(lua);
  while (lua_next(lua, index) != 0) {
    lua_pushvalue(lua, -2);
    value[lua_tostring(lua, -1)] = ToJson(lua, -2);
    lua_pop(lua, 2);
  }
  return value;
}

}  // namespace magnoliareel::scenario
