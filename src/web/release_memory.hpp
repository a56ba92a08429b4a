#pragma once

namespace parsleylead {

/// Empties a container and releases its memory, which an assignment keeps.
template <class Container>
void release_memory(Container& container) {
  Container().swap(container);
}

} // namespace parsleylead
