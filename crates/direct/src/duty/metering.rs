//! Sends usage counts to the entries that may bill them, see [`crate::cluster::usage`].

use crate::cluster::messages::Payload;
use crate::cluster::usage::billers;
use crate::shared::Shared;
use std::net::SocketAddr;
use std::sync::Arc;

/// Sends a message to all other entries that may bill.
pub fn publish(shared: &Shared, payload: &Payload) {
    for address in addresses(shared) {
        shared.peer_socket.send(payload.clone(), address);
    }
}

fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let billers = billers(&shared.peers.members());
    billers.into_iter().filter_map(|member| member.address).collect()
}

/// Sends the counts of this entry to the billers for as long as the process lives.
pub async fn run(shared: Arc<Shared>) {
    let mut previous = Vec::new();
    loop {
        tokio::time::sleep(shared.usage.report_interval(shared.entries())).await;
        if let Some(current) = shared.usage.window_at(shared.usage.clock.now()) {
            shared.usage.prune(current);
        }
        let billers = addresses(&shared);
        // An entry that has just become a biller has received no counts yet.
        let any_new = billers.iter().any(|address| !previous.contains(address));
        for payload in shared.usage.pending_updates(any_new) {
            publish(&shared, &payload);
        }
        previous = billers;
    }
}
