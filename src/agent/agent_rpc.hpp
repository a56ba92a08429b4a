#pragma once

#include "agent_core.hpp"
#include "generated/parsleylead.capnp.h"

namespace parsleylead {

/// Creates the RPC interface that an agent serves to entries. `core` must outlive it.
wire::AgentPort::Client make_agent_port(agent_core& core);

} // namespace parsleylead
