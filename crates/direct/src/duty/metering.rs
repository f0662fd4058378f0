//! Tells the entries that may bill what customers have used, see [`crate::cluster::usage`].

use crate::cluster::messages::Payload;
use crate::cluster::usage::billers;
use crate::shared::Shared;
use std::net::SocketAddr;
use std::sync::Arc;

/// Sends a word to all others that may bill.
pub fn publish(shared: &Shared, word: &Payload) {
    for address in addresses(shared) {
        shared.post.send(word.clone(), address);
    }
}

fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let billers = billers(&shared.peers.members());
    billers.into_iter().filter_map(|member| member.address).collect()
}

/// Tells the billers what this entry has counted, for as long as the process lives.
pub async fn run(shared: Arc<Shared>) {
    let mut told = Vec::new();
    loop {
        tokio::time::sleep(shared.usage.report_interval(shared.entries())).await;
        if let Some(present) = shared.usage.window_at(shared.usage.clock.now()) {
            shared.usage.prune(present);
        }
        let billers = addresses(&shared);
        // One that has just become a biller has heard of nothing.
        let new = billers.iter().any(|address| !told.contains(address));
        for word in shared.usage.pending_updates(new) {
            publish(&shared, &word);
        }
        told = billers;
    }
}
