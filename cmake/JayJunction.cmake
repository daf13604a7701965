# Build rules shared by every library, tool and test of the project.
#
# jj_daemon(NAME FOLDER [DEPS ...])  a daemon from main.cpp in its own folder: a program and, beside it, the module that it loads
# jj_add_parts(FOLDER)            adds each subfolder that has a CMakeLists.txt, in the order of the layers below
# jj_library(NAME [DEPS ...])     a library from src/*.cpp with public headers in include/NAME/
# jj_test(NAME [DEPS ...])        a doctest program from tests/*.cpp, registered with CTest
# jj_program(NAME [DEPS ...])     a program from *.cpp in its own folder

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
# Daemons are modules. Their own functions are called directly and inlined as in a program.
set(CMAKE_POSITION_INDEPENDENT_CODE ON)
set(CMAKE_CXX_VISIBILITY_PRESET hidden)
set(CMAKE_VISIBILITY_INLINES_HIDDEN ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

option(JJ_WERROR "Treat warnings as errors" ON)
set(JJ_SANITIZE "" CACHE STRING "Sanitizers: empty, 'address,undefined' or 'thread'")
option(JJ_DAEMON_ONLY "Build only the platform's daemon and what it needs, without tests" OFF)
option(JJ_CORE_ONLY "Build only the core libraries (no CAF, no Beast): the sanitizer builds of CI" OFF)

find_program(JJ_CCACHE ccache)
if(JJ_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${JJ_CCACHE}")
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)

add_library(jj_flags INTERFACE)
target_compile_options(jj_flags INTERFACE -Wall -Wextra -Wshadow -Wnon-virtual-dtor -g1 -fno-semantic-interposition)
if(JJ_WERROR)
  target_compile_options(jj_flags INTERFACE -Werror)
endif()
if(JJ_SANITIZE)
  target_compile_options(jj_flags INTERFACE -fsanitize=${JJ_SANITIZE} -fno-omit-frame-pointer)
  target_compile_definitions(jj_flags INTERFACE JJ_SANITIZED)
  target_link_options(jj_flags INTERFACE -fsanitize=${JJ_SANITIZE})
  # GCC's flow analysis gives false alarms in sanitized standard headers.
  target_compile_options(jj_flags INTERFACE -Wno-maybe-uninitialized -Wno-stringop-overflow -Wno-array-bounds)
endif()

# Libraries without sockets or CAF: what the sanitizer builds of CI cover, and what is installed for others to embed.
set(JJ_CORE_PARTS base tables wire events objects membership follower orders decisions jobs settings enginemodel replay workspaces shares streams routes capacity ledger crashes)
# What the platform's daemon is made of.
set(JJ_DAEMON_PARTS base process tables wire events settings telemetry objects membership http workspaces shares streams routes capacity ledger crashes serving)
# Parts that read outside bytes and are sanitized too, though they are not installed.
# Not by the thread sanitizer: it doesn't know the fences that Asio uses and would report what is no race.
if(NOT JJ_SANITIZE STREQUAL "thread")
  set(JJ_SANITIZED_PARTS http gateway)
endif()

function(jj_add_parts folder)
  file(GLOB parts CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*/CMakeLists.txt")
  foreach(part ${parts})
    get_filename_component(dir "${part}" DIRECTORY)
    get_filename_component(name "${dir}" NAME)
    if(JJ_CORE_ONLY AND NOT (folder STREQUAL "libs" AND (name IN_LIST JJ_CORE_PARTS OR name IN_LIST JJ_SANITIZED_PARTS)))
      continue()
    endif()
    if(JJ_DAEMON_ONLY AND NOT (folder STREQUAL "libs" AND name IN_LIST JJ_DAEMON_PARTS))
      continue()
    endif()
    add_subdirectory("${dir}")
  endforeach()
endfunction()

function(jj_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp")
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC "$<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>"
      "$<INSTALL_INTERFACE:include/jayjunction>")
    target_link_libraries(${name} PUBLIC ${ARG_DEPS} PRIVATE $<BUILD_INTERFACE:jj_flags>)
    # The headers need it: a program that embeds them may have another default.
    target_compile_features(${name} PUBLIC cxx_std_20)
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE "$<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>"
      "$<INSTALL_INTERFACE:include/jayjunction>")
    target_link_libraries(${name} INTERFACE ${ARG_DEPS})
    target_compile_features(${name} INTERFACE cxx_std_20)
  endif()
  if(name IN_LIST JJ_CORE_PARTS)
    install(TARGETS ${name} EXPORT jayjunctionTargets ARCHIVE DESTINATION lib/jayjunction)
    install(DIRECTORY include/ DESTINATION include/jayjunction)
  endif()
endfunction()

# One program for all tests of a part, so that doctest's main is compiled once a part. Each TEST_CASE is its own CTest entry
# name, so that docs can name single tests.
function(jj_test name)
  if(JJ_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp")
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_test ${sources})
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPS} jj_doctest_main jj_flags Threads::Threads)
  foreach(source ${sources})
    file(STRINGS "${source}" cases REGEX "^TEST_CASE\\(\"")
    foreach(line ${cases})
      string(REGEX REPLACE "^TEST_CASE\\(\"([^\"]*)\".*" "\\1" case "${line}")
      # doctest reads a comma in its filter as a separator; a wildcard stands for it.
      string(REPLACE "," "?" filter "${case}")
      add_test(NAME "${name}: ${case}" COMMAND ${name}_test "--test-case=${filter}")
      # A test that waits for what never comes fails instead of holding CI.
      set_tests_properties("${name}: ${case}" PROPERTIES TIMEOUT 300)
    endforeach()
  endforeach()
endfunction()

function(jj_program name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} jj_flags Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# The program is small, so that it takes signals soon after its start (see libs/process/launcher/Launcher.cpp).
function(jj_daemon name folder)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_library(${name}_module MODULE main.cpp)
  target_link_libraries(${name}_module PRIVATE ${ARG_DEPS} jj_flags Threads::Threads)
  # Libraries that nothing calls stay out of the process: each costs memory on every host.
  target_link_options(${name}_module PRIVATE -Wl,--as-needed -Wl,--gc-sections)
  set_target_properties(${name}_module PROPERTIES OUTPUT_NAME ${name} LIBRARY_OUTPUT_DIRECTORY "${folder}")
  add_executable(${name})
  target_link_libraries(${name} PRIVATE process_launcher jj_flags)
  target_compile_definitions(${name} PRIVATE JJ_DAEMON_MODULE="$<TARGET_FILE_NAME:${name}_module>")
  target_compile_options(${name} PRIVATE -fno-exceptions)
  target_link_options(${name} PRIVATE -Wl,--as-needed)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${folder}" BUILD_RPATH "$ORIGIN" INSTALL_RPATH "$ORIGIN")
  add_dependencies(${name} ${name}_module)
endfunction()

if(NOT JJ_DAEMON_ONLY)
  add_library(jj_doctest_main STATIC "${CMAKE_CURRENT_SOURCE_DIR}/cmake/doctest_main.cpp")
endif()
