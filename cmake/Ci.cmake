# Targets of the formatter and the linter: format-check and lint, which CI runs, and format.

find_program(CLANG_FORMAT clang-format)
find_program(RUN_CLANG_TIDY NAMES run-clang-tidy run-clang-tidy-14)

file(GLOB_RECURSE bamboochuteFormatted CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/include/*.hpp
    ${PROJECT_SOURCE_DIR}/src/*.hpp
    ${PROJECT_SOURCE_DIR}/src/*.cpp
    ${PROJECT_SOURCE_DIR}/platform/*.hpp
    ${PROJECT_SOURCE_DIR}/platform/*.cpp
    ${PROJECT_SOURCE_DIR}/daemons/*.cpp
    ${PROJECT_SOURCE_DIR}/daemons/*.hpp
    ${PROJECT_SOURCE_DIR}/bench/*.hpp
    ${PROJECT_SOURCE_DIR}/bench/*.cpp
    ${PROJECT_SOURCE_DIR}/fakes/*.hpp
    ${PROJECT_SOURCE_DIR}/fakes/*.cpp
    ${PROJECT_SOURCE_DIR}/tests/*.hpp
    ${PROJECT_SOURCE_DIR}/tests/*.cpp
)
list(FILTER bamboochuteFormatted EXCLUDE REGEX "/generated/")

add_custom_target(format-check
    COMMAND ${CLANG_FORMAT} --dry-run --Werror ${bamboochuteFormatted}
    VERBATIM
)
add_custom_target(format
    COMMAND ${CLANG_FORMAT} -i ${bamboochuteFormatted}
    VERBATIM
)
add_custom_target(lint
    COMMAND ${PROJECT_SOURCE_DIR}/scripts/lint ${CMAKE_BINARY_DIR}
    VERBATIM
)
