#include "catalogue.h"

namespace faultmatrix
{

namespace
{

constexpr std::string_view NoStream = "no chunk is under way at this step";
constexpr std::string_view AlreadySent = "the call was sent before this step";
constexpr std::string_view NoConnection = "a drain opens no connection that matters";

bool isChunkFault(Fault fault)
{
    return fault == Fault::ChunkLate || fault == Fault::ChunkDuplicated || fault == Fault::ChunkOutOfOrder;
}

bool hasStream(Step step)
{
    return step == Step::FirstToken || step == Step::MidStream || step == Step::End || step == Step::Cancel
        || step == Step::Drain;
}

} // namespace

std::vector<Work> worksAt(Step step)
{
    switch (step) {
    case Step::Claim:
    case Step::Record:
        return {Work::Action, Work::EngineAction};
    case Step::FirstToken:
    case Step::MidStream:
    case Step::Cancel:
        return {Work::Answer, Work::EngineAction, Work::GroupPrompt};
    case Step::Order:
    case Step::Apply:
        return {Work::Answer};
    default:
        return {Work::Answer, Work::Action, Work::EngineAction, Work::GroupPrompt};
    }
}

std::optional<std::string_view> impossible(Fault fault, Step step)
{
    if (isChunkFault(fault) && !hasStream(step)) {
        return NoStream;
    }
    const bool streaming = step == Step::FirstToken || step == Step::MidStream || step == Step::End;
    if (fault == Fault::ResetBeforeSend && streaming) {
        return AlreadySent;
    }
    const bool reset = fault == Fault::ResetBeforeSend || fault == Fault::ResetAfterSend;
    if (reset && step == Step::Drain) {
        return NoConnection;
    }
    return std::nullopt;
}

bool mayFailRequests(Fault fault)
{
    switch (fault) {
    case Fault::BackendStalls:
    // All servers of the kind refuse, for longer than the retry budget lasts.
    case Fault::BackendRefuses:
    case Fault::RouterDies:
    case Fault::InstancePauses:
    case Fault::Partition:
        return true;
    default:
        return false;
    }
}

} // namespace faultmatrix
