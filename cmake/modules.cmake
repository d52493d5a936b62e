# chiveglade_module(NAME [DEPENDS lib...]) builds every source file of the
# current directory into the static library chiveglade_NAME.
function(chiveglade_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(sources)
    add_library(chiveglade_${name} STATIC ${sources})
    target_link_libraries(chiveglade_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(chiveglade_${name} INTERFACE)
    target_link_libraries(chiveglade_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# chiveglade_tests(NAME [DEPENDS lib...]) builds every *_test.cc of the current
# directory into one Catch2 program and registers it with CTest.
function(chiveglade_tests name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE chiveglade_test_main ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name}_test)
  # Fixed seed: the verdict of a run must not depend on when it was made.
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200" TIMEOUT 300)
endfunction()
