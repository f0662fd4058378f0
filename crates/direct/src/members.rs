//! Which entries share the work, by a stream of the log in which each tells that it lives.

use crate::shared::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use plat::{KeyedLog, Offset};
use prost::Message;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The stream of the entries' heartbeats.
pub const STREAM: &str = "lapismast.entries";

/// How often an entry tells that it lives. The number of entries changes a few times a day, and
/// each record is a paid call.
const HEARTBEAT: Duration = Duration::from_secs(4);

/// After this time without a heartbeat an entry counts as gone: two may be lost.
const SILENCE: Duration = Duration::from_secs(13);

/// Reads are at least this far apart.
const PACE: Duration = Duration::from_millis(1_500);

/// How long a read waits for news.
const WAIT: Duration = Duration::from_secs(4);

/// Records read at once at most.
const MAX_READ: usize = 512;

/// A heartbeat of an entry.
#[derive(Clone, PartialEq, Message)]
struct Heartbeat {
    /// Its name.
    #[prost(string, tag = "1")]
    name: String,
    /// Whether it stops.
    #[prost(bool, tag = "2")]
    leaving: bool,
}

/// Tells the others that this entry lives, and that it stops.
pub async fn tell(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, stop: CancellationToken) {
    loop {
        let leaving = stop.is_cancelled();
        let name = shared.settings.name.to_string();
        let record = Bytes::from(Heartbeat { name, leaving }.encode_to_vec());
        match log.append(STREAM, vec![record]).await {
            Ok(_) => shared.metrics.store("ok"),
            Err(error) => {
                shared.metrics.store("failed");
                log::info!(target: "members", error:% = error; "heartbeat not written");
            }
        }
        if leaving {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT) => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Counts the entries that live.
pub async fn count(shared: Arc<Shared>, log: Arc<dyn KeyedLog>) {
    let mut next: Offset = 0;
    let mut heard: HashMap<CompactString, Instant> = HashMap::new();
    loop {
        match log.read(STREAM, next, MAX_READ, WAIT).await {
            Ok(batch) => {
                shared.metrics.store("ok");
                let now = Instant::now();
                for entry in batch.entries {
                    next = entry.offset + 1;
                    hear(&mut heard, &entry.bytes, now);
                }
                heard.retain(|_, at| now.duration_since(*at) < SILENCE);
            }
            Err(plat::Error::Gone { oldest, .. }) => next = oldest,
            Err(error) => {
                // What was heard stays: while the log is away nobody can be heard.
                shared.metrics.store("failed");
                log::debug!(target: "members", error:% = error; "heartbeats not read");
            }
        }
        publish(&shared, &heard);
        tokio::time::sleep(PACE).await;
    }
}

fn hear(heard: &mut HashMap<CompactString, Instant>, record: &[u8], now: Instant) {
    match Heartbeat::decode(record) {
        Ok(Heartbeat { name, leaving: true }) => {
            heard.remove(name.as_str());
        }
        Ok(Heartbeat { name, leaving: false }) => {
            heard.insert(name.into(), now);
        }
        Err(error) => {
            log::warn!(target: "members", error:% = error; "heartbeat not readable, left out");
        }
    }
}

fn publish(shared: &Shared, heard: &HashMap<CompactString, Instant>) {
    let others = heard.keys().filter(|name| **name != shared.settings.name).count();
    let entries = u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1);
    if entries != shared.entries() {
        log::info!(target: "members", entries, before = shared.entries(); "entries changed");
    }
    shared.set_entries(entries);
}
