#pragma once

#include "options.h"

#include "pomeloport/coordination/configapply.h"

#include <optional>

/// Blocking calls to the platform's object API.
namespace pomeloctl
{

/// Reads and edits the declarations in the store. Not to be shared between threads.
class StoreClient
{
public:
    explicit StoreClient(Connection connection);

    /// Carries an edit out; gives up after ten times the connection's timeout.
    pomeloport::configapply::Done run(pomeloport::ConfigEdit edit);

    /// The declarations that the store holds; nothing, with a last reason, when they cannot be read.
    std::optional<std::string> declarations();

private:
    pomeloport::StoreReply call(const pomeloport::StoreCall &call);

    Connection m_connection;
};

} // namespace pomeloctl
