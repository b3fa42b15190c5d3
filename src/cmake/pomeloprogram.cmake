# pomelo_program(NAME) builds the executable NAME from the .cpp files of the current folder, tests excepted.
function(pomelo_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN} pomelo_options)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
