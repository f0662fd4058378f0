//! Decides whether a new connection of a caller is accepted, and limits what it receives unread.

use crate::shared::{Settings, Shared};
use policy::overload::Resource;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// The receive buffers of all connections that callers may have take at most the memory for callers
/// divided by this.
const RECEIVE_SHARE_DIVISOR: usize = 4;

/// The smallest receive buffer of a connection, in bytes. A smaller one holds up bodies of usual size.
const MIN_RECEIVE_BYTES: usize = 8 * 1024;

/// The largest receive buffer of a connection, in bytes.
const MAX_RECEIVE_BYTES: usize = 64 * 1024;

/// For how long an upload must not have grown until it yields its connection.
const MIN_STALL: Duration = Duration::from_millis(500);

/// How long an evicted connection may take to close.
const EVICTION_TIME: Duration = Duration::from_millis(100);

/// Limits what the kernel receives on each of the callers' connections before it is read, which counts
/// as memory of the process. Returns the limit in bytes.
pub fn limit_receive_buffers(listener: &TcpListener, settings: &Settings) -> usize {
    let connections = usize::try_from(settings.max_connections).unwrap_or(usize::MAX).max(1);
    let share = settings.caller_memory / RECEIVE_SHARE_DIVISOR / connections;
    let bytes = share.clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES);
    // Connections inherit it from the socket that accepts them.
    if let Err(error) = socket2::SockRef::from(listener).set_recv_buffer_size(bytes) {
        log::warn!(target: "intake", error:% = error; "receive buffers not limited");
    }
    bytes
}

/// What this entry lacks for a new connection, whose caller is then to try another entry.
pub async fn short_resource(shared: &Shared) -> Option<Resource> {
    let fullness = shared.fullness();
    // While it stops, the load balancer sends callers to others as soon as there are any.
    let others = shared.peers.mean_fullness().filter(|_| shared.stopping().is_none());
    if !fullness.leaves_to_others(others) {
        return None;
    }
    let has_room = fullness.resource == Resource::Connections && evict_connection(shared).await;
    (!has_room).then_some(fullness.resource)
}

/// Closes a connection whose caller makes no progress with its request or its response, or else one that
/// is idle. Returns whether there is room then.
async fn evict_connection(shared: &Shared) -> bool {
    let now = Instant::now();
    let evicted = shared.callers.evict_silent(now)
        || shared.memory.yield_oldest(MIN_STALL, now)
        || shared.callers.evict_idle(now);
    if !evicted {
        return false;
    }
    // An entry that accepted at once would exceed its descriptors by those that have yet to close.
    let closed = shared.callers.fewer_than(shared.settings.max_connections);
    tokio::time::timeout(EVICTION_TIME, closed).await.is_ok()
}
