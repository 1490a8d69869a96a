#pragma once

#include "dispatch/operator_configuration.h"

#include <optional>
#include <string>

namespace rattanpond::dispatch {

/// Rows with the last definition of each queue that has had jobs: "queue/<name>". Jobs of a removed
/// queue go on by it, also in a process that has seen no configuration with the queue.
inline constexpr char const* kQueuePrefix = "queue/";

/// Returns the key of a queue's row, or nullopt if the name is too long for one.
std::optional<std::string> QueueKey(std::string const& aName);

/// Encodes what the jobs of a queue need of its definition.
std::string EncodeQueue(queue const& aQueue);

/// Returns nullopt if the text cannot be decoded.
std::optional<queue> DecodeQueue(std::string const& aName, std::string const& aText);

} // namespace rattanpond::dispatch
