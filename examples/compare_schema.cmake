# Compares the published schema with the one that the program prints.
#   PROGRAM  bamboochutectl
#   SCHEMA   the published file
execute_process(COMMAND ${PROGRAM} schema OUTPUT_VARIABLE printed COMMAND_ERROR_IS_FATAL ANY)
file(READ ${SCHEMA} published)
if(NOT printed STREQUAL published)
    message(FATAL_ERROR "${SCHEMA} is not what \"bamboochutectl schema\" prints")
endif()
