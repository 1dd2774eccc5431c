# Compiler settings, and the function that declares a package (a static library).

find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(spdlog REQUIRED)
find_package(OpenSSL REQUIRED)

add_library(bamboochute-settings INTERFACE)
target_compile_options(bamboochute-settings INTERFACE -Wall -Wextra -Wpedantic)
target_include_directories(bamboochute-settings INTERFACE
    ${PROJECT_SOURCE_DIR}/include
    ${PROJECT_SOURCE_DIR}/src
)
# g++ detects coroutines by itself; the two coroutine macros enable them in Boost.Asio for clang-based tools.
# Asio's own allocation of coroutine frames is off: after inlining one half of its operators, g++ 12 takes the pair for
# mismatched (-Wmismatched-new-delete), in other coroutines on each processor and after each change.
target_compile_definitions(bamboochute-settings INTERFACE
    BOOST_ASIO_SEPARATE_COMPILATION
    BOOST_BEAST_SEPARATE_COMPILATION
    BOOST_ASIO_NO_DEPRECATED
    BOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING
    BOOST_ASIO_HAS_CO_AWAIT=1
    BOOST_ASIO_HAS_STD_COROUTINE=1
    SPDLOG_FMT_EXTERNAL
)
target_link_libraries(bamboochute-settings INTERFACE
    Threads::Threads
    TBB::tbb
    spdlog::spdlog
    OpenSSL::Crypto
)
if(BAMBOOCHUTE_SANITIZE)
    target_compile_options(bamboochute-settings INTERFACE
        -fsanitize=${BAMBOOCHUTE_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    target_link_options(bamboochute-settings INTERFACE -fsanitize=${BAMBOOCHUTE_SANITIZE})
    if(BAMBOOCHUTE_SANITIZE STREQUAL "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
        target_compile_options(bamboochute-settings INTERFACE -Wno-error=tsan)
    endif()
endif()

# Declares the static library bamboochute-NAME.
#   SOURCES  source files of the package, one per line
#   DEPENDS  names of the packages that it links, without the prefix bamboochute-
function(bamboochute_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(bamboochute-${name} STATIC ${ARG_SOURCES})
    target_link_libraries(bamboochute-${name} PUBLIC bamboochute-settings)
    foreach(dependency IN LISTS ARG_DEPENDS)
        target_link_libraries(bamboochute-${name} PUBLIC bamboochute-${dependency})
    endforeach()
endfunction()
