#include "pomeloport/transport/authentication.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace pomeloport
{

MessageMac hmacSha256(std::string_view key, std::string_view text)
{
    MessageMac mac{};
    unsigned int size = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, text.size(), mac.data(), &size)) {
        std::abort();
    }
    return mac;
}

bool macMatches(const MessageMac &expected, std::string_view tag)
{
    return !tag.empty() && tag.size() <= expected.size() && CRYPTO_memcmp(expected.data(), tag.data(), tag.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string result(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(result.data()), static_cast<int>(count)) != 1) {
        std::abort();
    }
    return result;
}

} // namespace pomeloport
