#pragma once

#include "agent_core.hpp"
#include "generated/parsleylead.capnp.h"

namespace parsleylead {

/// The capability that an agent offers to entries. `core` must outlive it.
wire::AgentPort::Client make_agent_port(agent_core& core);

} // namespace parsleylead
