# Runs an example program and its Python twin with the same arguments and compares their bytes.
#   PROGRAM  the C++ program
#   PYTHON   the interpreter
#   SCRIPT   the Python program
set(ENV{PYTHONDONTWRITEBYTECODE} 1)
foreach(credential first-credential second-credential)
    execute_process(COMMAND ${PROGRAM} --credential=${credential}
        OUTPUT_VARIABLE fromProgram COMMAND_ERROR_IS_FATAL ANY)
    execute_process(COMMAND ${PYTHON} ${SCRIPT} --credential=${credential}
        OUTPUT_VARIABLE fromPython COMMAND_ERROR_IS_FATAL ANY)
    if(NOT fromProgram STREQUAL fromPython)
        message(FATAL_ERROR "${PROGRAM} and ${SCRIPT} print different bytes")
    endif()
endforeach()
