# magnoliareel_library(NAME DEPENDS a b ...): adds the current folder as a static
# library, or as an interface library if it has no sources. The sources are all .cc
# files outside tests/. The .cc files in tests/ become the executable NAME_tests and
# a ctest test of the same name.
function(magnoliareel_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  list(FILTER sources EXCLUDE REGEX "/tests/")
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/libs)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/libs)
    target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(tests)
    magnoliareel_test(${name}_tests SOURCES ${tests} DEPENDS ${name})
  endif()
endfunction()

# magnoliareel_test(NAME SOURCES f.cc ... DEPENDS a b ...): adds a CppUTest
# executable and a ctest test of the same name.
function(magnoliareel_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cc)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} CppUTest)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# magnoliareel_binary(NAME DEPENDS a b ...): adds a program from the .cc files in
# the current folder.
function(magnoliareel_binary name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()
