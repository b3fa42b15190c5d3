#define CATCH_CONFIG_RUNNER
#include "pomeloport/logging.h"

#include <catch2/catch.hpp>

int main(int argc, char **argv)
{
    pomeloport::startLogging("unit-tests", "error");
    return Catch::Session().run(argc, argv);
}
