# pomelotray_package(<name> DEPENDS <targets...>)
#
# Defines the static library pomelotray_<name> from packages/<name>/ and its subfolders. Files named main.cc and *_main.cc
# are left for the programs. A package without sources becomes an interface library.
function(pomelotray_package name)
  pomelotray_folder(${name} packages/${name} ${ARGN})
endfunction()

# pomelotray_folder(<name> <folder> DEPENDS <targets...>)
#
# The same for a folder outside of packages/.
function(pomelotray_folder name folder)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(target pomelotray_${name})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cc)
  list(FILTER sources EXCLUDE REGEX "main\\.cc$")
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/packages
      ${CMAKE_SOURCE_DIR})
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# pomelotray_program(<name> <main source> DEPENDS <targets...>)
#
# Defines an executable in <build>/bin if its main source exists.
function(pomelotray_program name source)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  if(EXISTS ${CMAKE_SOURCE_DIR}/${source})
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  endif()
endfunction()

# pomelotray_tests(<feature> DEPENDS <targets...>)
#
# Builds tests/<feature>/*_test.cc into one Boost.Test program, test_<feature>, registered with CTest.
# RC_PARAMS fixes the RapidCheck seed, so that every run gives the same verdict.
function(pomelotray_tests feature)
  cmake_parse_arguments(ARG "" "TIMEOUT" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${feature}/*.cc)
  if(NOT sources)
    return()
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(test_${feature} ${sources} ${CMAKE_SOURCE_DIR}/tests/test_main.cc)
  if(POMELOTRAY_SANITIZER STREQUAL "thread")
    target_sources(test_${feature} PRIVATE ${CMAKE_SOURCE_DIR}/tests/tsan_abseil.cc)
  endif()
  target_include_directories(test_${feature} PRIVATE ${CMAKE_SOURCE_DIR})
  # GCC 12 reports std::variant members of inlined Outcome temporaries although they are never read.
  target_compile_options(test_${feature} PRIVATE -Wno-maybe-uninitialized)
  target_compile_definitions(test_${feature} PRIVATE POMELOTRAY_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(test_${feature} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework rapidcheck)
  set_target_properties(test_${feature} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${feature} COMMAND test_${feature} --log_level=test_suite --report_level=short)
  set_tests_properties(${feature} PROPERTIES
    TIMEOUT ${ARG_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261204;POMELOTRAY_BIN_DIR=${CMAKE_BINARY_DIR}/bin")
endfunction()

# pomelotray_help_texts(<target> <folder>)
#
# Compiles the texts <folder>/*.txt into <target>, by way of help_texts.cc.in beside the folder.
function(pomelotray_help_texts target folder)
  file(GLOB texts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.txt)
  set(POMELOTRAY_HELP_ENTRIES "")
  foreach(text IN LISTS texts)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${text})
    get_filename_component(name ${text} NAME_WE)
    file(READ ${text} content)
    string(APPEND POMELOTRAY_HELP_ENTRIES "          {\"${name}\", R\"help(${content})help\"},\n")
  endforeach()
  set(generated ${CMAKE_BINARY_DIR}/generated/${target}_help_texts.cc)
  configure_file(${CMAKE_SOURCE_DIR}/${folder}/../help_texts.cc.in ${generated} @ONLY)
  target_sources(${target} PRIVATE ${generated})
endfunction()

set(ABSL_TARGETS absl::base absl::time absl::synchronization absl::strings absl::flat_hash_map
    absl::flat_hash_set absl::btree absl::hash absl::random_random)

pomelotray_package(base DEPENDS ${ABSL_TARGETS} Boost::headers nlohmann_json::nlohmann_json
  log4cplus::log4cplus Threads::Threads)
pomelotray_package(model DEPENDS pomelotray_base PkgConfig::OPENSSL)
pomelotray_package(customers DEPENDS pomelotray_model)
pomelotray_package(ports DEPENDS pomelotray_model)
pomelotray_package(adapters DEPENDS pomelotray_ports PkgConfig::HTTPLIB)
pomelotray_package(peer DEPENDS pomelotray_ports PkgConfig::NGHTTP2 PkgConfig::OPENSSL)
pomelotray_package(state DEPENDS pomelotray_ports)
pomelotray_package(scheduler DEPENDS pomelotray_ports)
pomelotray_package(shard DEPENDS pomelotray_state pomelotray_scheduler)
pomelotray_package(history DEPENDS pomelotray_model)
pomelotray_package(api DEPENDS pomelotray_ports pomelotray_history PkgConfig::HTTPLIB
  prometheus-cpp::core)
pomelotray_package(daemon DEPENDS pomelotray_shard pomelotray_api pomelotray_adapters pomelotray_peer
  docopt PkgConfig::XXHASH)
pomelotray_package(cell DEPENDS pomelotray_peer pomelotray_state pomelotray_customers prometheus-cpp::core)
pomelotray_folder(platform platform DEPENDS pomelotray_cell pomelotray_api PkgConfig::HTTPLIB)
# The same false report as in the tests (see pomelotray_tests).
target_compile_options(pomelotray_platform PRIVATE -Wno-maybe-uninitialized)
pomelotray_package(cli DEPENDS pomelotray_history pomelotray_model PkgConfig::HTTPLIB docopt)
pomelotray_help_texts(pomelotray_cli packages/cli/help)
pomelotray_package(standins DEPENDS pomelotray_adapters PkgConfig::HTTPLIB docopt)
pomelotray_package(bench DEPENDS pomelotray_scheduler pomelotray_cell absl::str_format)
pomelotray_package(load DEPENDS pomelotray_bench pomelotray_adapters)

pomelotray_program(pomelotrayd packages/daemon/main.cc DEPENDS pomelotray_daemon pomelotray_platform)
pomelotray_program(pomelotray packages/cli/main.cc DEPENDS pomelotray_cli)
pomelotray_program(pomelotray-standin packages/standins/main.cc DEPENDS pomelotray_standins)
pomelotray_program(pomelotray-load packages/load/main.cc DEPENDS pomelotray_load docopt)
pomelotray_program(pomelotray-bench packages/bench/main.cc DEPENDS pomelotray_bench docopt)
if(TARGET pomelotrayd AND TARGET pomelotray)
  install(TARGETS pomelotrayd pomelotray)
endif()

if(NOT POMELOTRAY_TESTS)
  return()
endif()

# Fakes of the ports and generators of model values that several test folders use.
file(GLOB fakes CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/fakes/*.cc
  ${CMAKE_SOURCE_DIR}/tests/model/model_generators.cc)
add_library(pomelotray_fakes STATIC EXCLUDE_FROM_ALL ${fakes})
target_include_directories(pomelotray_fakes PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(pomelotray_fakes PUBLIC pomelotray_ports rapidcheck)

pomelotray_tests(base DEPENDS pomelotray_base)
pomelotray_tests(model DEPENDS pomelotray_model)
pomelotray_tests(customers DEPENDS pomelotray_customers)
pomelotray_tests(adapters DEPENDS pomelotray_adapters pomelotray_standins)
pomelotray_tests(peer DEPENDS pomelotray_peer)
pomelotray_tests(state DEPENDS pomelotray_state pomelotray_fakes TIMEOUT 300)
pomelotray_tests(scheduler DEPENDS pomelotray_scheduler)
pomelotray_tests(shard DEPENDS pomelotray_shard pomelotray_fakes pomelotray_standins pomelotray_history
  TIMEOUT 300)
pomelotray_tests(cell DEPENDS pomelotray_cell pomelotray_fakes TIMEOUT 600)
pomelotray_tests(platform DEPENDS pomelotray_platform pomelotray_fakes)
target_sources(test_platform PRIVATE ${CMAKE_SOURCE_DIR}/tests/cell/scheduler_fixture.cc)
pomelotray_tests(soak DEPENDS pomelotray_cell PkgConfig::HTTPLIB TIMEOUT 420)
target_sources(test_soak PRIVATE ${CMAKE_SOURCE_DIR}/tests/processes/child_process.cc)
pomelotray_tests(history DEPENDS pomelotray_history)
pomelotray_tests(api DEPENDS pomelotray_api)
pomelotray_tests(cli DEPENDS pomelotray_cli pomelotray_api)
pomelotray_tests(daemon DEPENDS pomelotray_daemon)
pomelotray_tests(processes DEPENDS pomelotray_history pomelotray_adapters pomelotray_cli TIMEOUT 300)
