# Runs an example program and its Python counterpart with the same arguments; fails when their
# outputs differ.
#   PROGRAM  the C++ program
#   PYTHON   the Python interpreter
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
