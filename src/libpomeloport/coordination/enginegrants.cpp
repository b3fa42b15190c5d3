#include "pomeloport/coordination/leases.h"

#include "../protocol/jsonfields.h"

/// JSON codec of EngineGrants.
namespace pomeloport
{

std::string encode(const EngineGrants &grants)
{
    boost::json::object object;
    for (const auto &[engine, grant] : grants) {
        boost::json::object entry;
        entry["instance"] = grant.owner.instance;
        entry["incarnation"] = grant.owner.incarnation;
        entry["fencing"] = grant.fencingNumber;
        object[engine] = std::move(entry);
    }
    return boost::json::serialize(object);
}

std::optional<EngineGrants> decodeEngineGrants(std::string_view json)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(json, error);
    if (error || !value.is_object()) {
        setLastReason("engine grants are not a JSON object");
        return std::nullopt;
    }
    EngineGrants grants;
    for (const auto &[engine, entry] : value.get_object()) {
        detail::JsonReader reader(entry);
        EngineGrant grant;
        grant.owner.instance = reader.text("instance", true);
        grant.owner.incarnation = reader.number("incarnation", true);
        grant.fencingNumber = reader.number("fencing", true);
        if (!reader.ok()) {
            return std::nullopt;
        }
        grants.emplace(std::string(engine), std::move(grant));
    }
    return grants;
}

} // namespace pomeloport
