# Libraries from the distribution's packages; scripts/packages.txt lists them.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options json)
find_package(yaml-cpp REQUIRED)
find_path(EASYLOGGING_DIR easylogging++.cc PATHS /usr/include /usr/share/easyloggingpp PATH_SUFFIXES easyloggingpp src REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_package(ZLIB REQUIRED)
