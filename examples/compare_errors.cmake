# Fails unless the operators' page lists exactly the errors that "bamboochutectl errors" prints: each printed
# row must stand in the page, and both must have the same number of rows.
#   PROGRAM  bamboochutectl
#   PAGE     docs/operate/errors.md
execute_process(COMMAND ${PROGRAM} errors OUTPUT_VARIABLE printed COMMAND_ERROR_IS_FATAL ANY)
file(READ ${PAGE} page)
string(REGEX MATCHALL "[^\n]+" rows "${printed}")
foreach(row ${rows})
    string(FIND "${page}" "\n${row}" place)
    if(place EQUAL -1)
        message(FATAL_ERROR "${PAGE} lacks the row: ${row}")
    endif()
endforeach()
list(LENGTH rows printedCount)
string(REGEX MATCHALL "\n\\| BC[0-9]+ " pageRows "${page}")
list(LENGTH pageRows pageCount)
if(NOT printedCount EQUAL pageCount)
    message(FATAL_ERROR "${PAGE} has ${pageCount} rows, the program ${printedCount}")
endif()
