# Compiles for arm64; see objects.cmake.
set(CMAKE_SYSTEM_PROCESSOR aarch64)
include(${CMAKE_CURRENT_LIST_DIR}/objects.cmake)
