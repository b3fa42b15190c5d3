#include "suite.h"

#include "pomeloport/lastreason.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <string>

/// Compares routing and admission policies in virtual time, against the stated targets.
int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    benchdecisions::SuiteOptions suite;
    std::string json;
    options::options_description description("Compares routing and admission policies in virtual time");
    auto add = description.add_options();
    add("help", "print this text");
    add("seed", options::value(&suite.seed)->default_value(suite.seed), "seed of the traces");
    add("short", options::bool_switch(&suite.shortRun), "a small subset: bounds only");
    add("threads", options::value(&suite.threads)->default_value(suite.threads), "runs at a time");
    add("only", options::value(&suite.only), "run only the scenario of this name");
    add("json", options::value(&json), "write the figures to this file as well");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
    if (values.contains("help")) {
        description.print(std::cout);
        return 0;
    }
    const auto report = benchdecisions::runSuite(suite);
    report.print();
    if (!json.empty() && !report.writeJson(json)) {
        std::fprintf(stderr, "%s\n", pomeloport::lastReason().c_str());
        return 2;
    }
    return report.failed() ? 1 : 0;
}
