# Fails when the published schema differs from the output of "bamboochutectl schema".
#   PROGRAM  bamboochutectl
#   SCHEMA   docs/configuration.schema.json
execute_process(COMMAND ${PROGRAM} schema OUTPUT_VARIABLE printed COMMAND_ERROR_IS_FATAL ANY)
file(READ ${SCHEMA} published)
if(NOT printed STREQUAL published)
    message(FATAL_ERROR "${SCHEMA} is not what \"bamboochutectl schema\" prints")
endif()
