# Warnings that all of the project's own code compiles without.
# g++ 12 warns falsely of uninitialised variants and of restricted strings when it optimises.
add_library(currantpost_warnings INTERFACE)
target_compile_options(
  currantpost_warnings INTERFACE -Wall -Wextra -Wno-missing-field-initializers
                                 -Wno-unknown-warning-option -Wno-maybe-uninitialized
                                 -Wno-restrict)

# A deployment is built without it, so that no other compiler's warning stops it.
option(CURRANTPOST_WARNINGS_ARE_ERRORS "Stop the build at a warning" ON)

if(CURRANTPOST_WARNINGS_ARE_ERRORS)
  target_compile_options(currantpost_warnings INTERFACE -Werror)
endif()

# Declares the package NAME: all of source/, with its public headers in include/.
# Further arguments are the libraries it is built on.
function(currantpost_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/source/*.cc)
  set(target currantpost_${name})
  add_library(${target} STATIC ${sources})
  target_include_directories(${target} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/source)
  target_link_libraries(${target} PUBLIC ${ARGN} PRIVATE currantpost_warnings)
endfunction()

# Declares the test program NAME_test out of all *_test.cc of the present folder.
# Further arguments are the libraries it is built on.
function(currantpost_tests name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  set(target ${name}_test)
  add_executable(${target} ${sources})
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${target} PRIVATE ${ARGN} GTest::gtest_main rapidcheck rapidcheck_gtest
                                          currantpost_warnings)
  gtest_discover_tests(${target} DISCOVERY_TIMEOUT 60
                       PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200" TIMEOUT 300)
endfunction()
