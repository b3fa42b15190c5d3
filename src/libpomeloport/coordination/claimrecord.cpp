#include "pomeloport/coordination/claims.h"

#include "../protocol/jsonfields.h"

#include <cstdio>
#include <xxhash.h>

/// Object names and JSON codec of claims.
namespace pomeloport
{

namespace
{

std::string hexadecimal(std::uint64_t number)
{
    char buffer[17];
    std::snprintf(buffer, sizeof(buffer), "%016llx", static_cast<unsigned long long>(number));
    return buffer;
}

} // namespace

std::uint64_t claimSlice(WallTime issuedAt)
{
    return static_cast<std::uint64_t>(issuedAt.time_since_epoch() / ClaimSliceDuration);
}

std::string claimSlicePrefix(std::uint64_t slice)
{
    return hexadecimal(slice) + '.';
}

std::string claimName(const ClaimKey &key)
{
    const std::string identity = std::to_string(key.organisation.size()) + ':' + key.organisation + key.key;
    const XXH128_hash_t hash = XXH3_128bits(identity.data(), identity.size());
    return claimSlicePrefix(claimSlice(key.issuedAt)) + hexadecimal(hash.high64) + hexadecimal(hash.low64);
}

std::string encode(const ClaimRecord &record)
{
    boost::json::object object;
    object["phase"] = nameOf(record.phase);
    object["holder"] = toString(record.holder);
    object["body"] = detail::digestText(record.bodyDigest);
    object["issued_ms"] = record.issuedAt.time_since_epoch().count();
    if (record.phase == ClaimPhase::Finished) {
        object["answer"] = record.answer;
        object["answer_omitted"] = record.answerOmitted;
    }
    return boost::json::serialize(object);
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view json)
{
    detail::JsonReader reader(json);
    const auto phase = valueOf<ClaimPhase>(reader.text("phase", true));
    const auto holder = parseStreamAddress(reader.text("holder", true));
    ClaimRecord record;
    record.bodyDigest = reader.digest("body");
    record.issuedAt = WallTime(std::chrono::milliseconds(reader.number("issued_ms", true)));
    record.answer = reader.text("answer");
    record.answerOmitted = reader.boolean("answer_omitted");
    if (!reader.ok() || !phase || !holder) {
        setLastReason("malformed claim record");
        return std::nullopt;
    }
    record.phase = *phase;
    record.holder = *holder;
    return record;
}

} // namespace pomeloport
