#include "pomeloport/coordination/configpatch.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("a patch contains only the changed part and applies only to the text that it was made from")
{
    std::string before;
    for (int i = 0; i < 1000; ++i) {
        before += "  - {name: org-" + std::to_string(i) + ", share_weight: 1}\n";
    }
    auto after = before;
    after.replace(after.find("org-500, share_weight: 1"), 24, "org-500, share_weight: 22");
    const auto patch = makePatch(7, before, 9, after, "token");
    CHECK(patch.middle.size() < 30);
    CHECK(applyPatch(patch, before) == after);
    CHECK_FALSE(applyPatch(patch, before.substr(1)));
    CHECK_FALSE(applyPatch(patch, ""));
    for (const auto &[from, to] :
         {std::pair<std::string, std::string>{"aaaa", "aa"}, {"", "x"}, {"x", ""}, {"ab", "aab"}}) {
        CHECK(applyPatch(makePatch(1, from, 2, to, ""), from) == to);
    }
}

TEST_CASE("long declarations are stored compressed and decode to the same text")
{
    ConfigObject object{"token-2", "short: yes\n", {"token-1"}};
    CHECK(decodeConfigObject(encode(object))->yaml == object.yaml);
    object.yaml.clear();
    for (int i = 0; i < 20'000; ++i) {
        object.yaml += "  - {name: org-" + std::to_string(i) + ", token: " + std::to_string(i * 7919) + "}\n";
    }
    const auto encoded = encode(object);
    CHECK(encoded.size() * 3 < object.yaml.size());
    const auto decoded = decodeConfigObject(encoded);
    REQUIRE(decoded);
    CHECK(decoded->yaml == object.yaml);
    CHECK(decoded->earlier == object.earlier);
    CHECK_FALSE(decodeConfigObject(R"({"token":"t","yaml_deflate":"not base64"})"));
    CHECK_FALSE(decodeConfigObject(R"({"token":"t","yaml_deflate":"AAAA"})"));
    CHECK_FALSE(decodeConfigObject(R"({"token":"t"})"));
}
