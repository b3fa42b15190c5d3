#pragma once

#include "options.h"

#include "pomeloport/coordination/configapply.h"

#include <optional>

/// Blocking client of the declarations in the platform's object store.
namespace pomeloctl
{

/// Reads and edits the stored declarations. Not thread safe.
class StoreClient
{
public:
    explicit StoreClient(Connection connection);

    /// Applies an edit, with retries; gives up after ten times the connection's timeout.
    pomeloport::configapply::Done run(pomeloport::ConfigEdit edit);

    /// Text of the stored declarations. If it cannot be read, returns nothing and sets the last reason.
    std::optional<std::string> declarations();

private:
    pomeloport::StoreReply call(const pomeloport::StoreCall &call);

    Connection m_connection;
};

} // namespace pomeloctl
