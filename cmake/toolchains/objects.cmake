# Compiles for the processor CMAKE_SYSTEM_PROCESSOR with Debian's compiler for it, on any machine. Headers and package
# files are those of this machine. Nothing is linked, as the libraries for the other processor aren't installed.

set(CMAKE_SYSTEM_NAME Linux)
set(CMAKE_CXX_COMPILER ${CMAKE_SYSTEM_PROCESSOR}-linux-gnu-g++)

set(hostArchitecture ${CMAKE_HOST_SYSTEM_PROCESSOR}-linux-gnu)
list(APPEND CMAKE_PREFIX_PATH /usr/lib/${hostArchitecture}/cmake)
list(APPEND CMAKE_LIBRARY_PATH /usr/lib/${hostArchitecture})
set(CMAKE_CXX_FLAGS_INIT "-idirafter /usr/include/${hostArchitecture}")

set(CMAKE_TRY_COMPILE_TARGET_TYPE STATIC_LIBRARY)
set(CMAKE_CXX_LINK_EXECUTABLE "${CMAKE_COMMAND} -E touch <TARGET>")
