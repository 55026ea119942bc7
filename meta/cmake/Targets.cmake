# papayalift_library(NAME SOURCES a.cc ... LINK target ...): defines the static library of a folder.
function(papayalift_library name)
  cmake_parse_arguments(LIBRARY "" "" "SOURCES;LINK" ${ARGN})
  add_library(papayalift_${name} STATIC ${LIBRARY_SOURCES})
  target_include_directories(papayalift_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(papayalift_${name} PUBLIC ${LIBRARY_LINK})
endfunction()

# papayalift_test(NAME SOURCES a.cc ... LINK target ...): defines a Criterion test binary run by CTest.
function(papayalift_test name)
  cmake_parse_arguments(TEST "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${TEST_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${TEST_LINK} criterion rapidcheck)
  add_test(NAME ${name} COMMAND ${name} --jobs 2)
  set_tests_properties(${name} PROPERTIES TIMEOUT 900 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
