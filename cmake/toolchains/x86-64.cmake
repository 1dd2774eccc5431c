# Compiles for x86-64; see objects.cmake.
set(CMAKE_SYSTEM_PROCESSOR x86_64)
include(${CMAKE_CURRENT_LIST_DIR}/objects.cmake)
