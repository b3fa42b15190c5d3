# Warning, optimisation and sanitizer options that every target shares.
set(POMELO_SANITIZE "" CACHE STRING "Comma-separated sanitizers, for example address,undefined")

add_library(pomelo_options INTERFACE)
target_compile_options(pomelo_options INTERFACE -Wall -Wextra -Wno-missing-field-initializers -Werror)
if(POMELO_SANITIZE)
    # Sanitizer code makes GCC report library internals as uninitialised, and fences of Asio as not understood.
    add_compile_options(-fsanitize=${POMELO_SANITIZE} -fno-omit-frame-pointer -O1 -Wno-error=maybe-uninitialized -Wno-tsan)
    add_link_options(-fsanitize=${POMELO_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER
        ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()
