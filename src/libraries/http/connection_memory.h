/// What the connections of libmicrohttpd hold beside their bodies. Include only from .cc files.
#pragma once

#include <microhttpd.h>

#include <cstdint>
#include <functional>

namespace papayalift {

int DescriptorOf(MHD_Connection* connection);

/// Returns a function that ends the connection from any thread; it must not be called after the
/// connection's request has completed.
std::function<void()> ConnectionCloser(MHD_Connection* connection);

/// Size of the body by the headers of the request; 0 if they name none.
std::uint64_t AnnouncedBodyBytes(MHD_Connection* connection);

/// Whether so many connections of `limit` are open that stalled ones must go, so that new clients
/// can connect.
bool IsNearLimit(std::size_t connections, unsigned int limit);

/// Bounds the bytes that the system keeps for each connection of `daemon` until they are read.
void BoundReceiveBuffers(MHD_Daemon* daemon);

}  // namespace papayalift
