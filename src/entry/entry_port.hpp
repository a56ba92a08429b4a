#pragma once

#include <functional>

#include "agent_links.hpp"
#include "catalogue_service.hpp"
#include "generated/parsleylead.capnp.h"
#include "member_service.hpp"
#include "parsleylead/entry/dispatcher.hpp"

namespace parsleylead {

/// Dependencies of the RPC service of an entry. Referenced objects must outlive the service.
struct entry_port_context {
  dispatcher& job_dispatcher;
  agent_links& agents;
  catalogue_service& catalogue;
  member_service& members;
  rpc_loop& loop;
};

/// Creates the RPC service that agents and other entries call. Control thread only.
kj::Own<wire::EntryPort::Server> make_entry_port(const entry_port_context& context);

} // namespace parsleylead
