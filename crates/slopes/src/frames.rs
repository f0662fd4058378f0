//! Sizes of heartbeat frames, computed from encoded messages.

use crate::table::Row;
use prost::Message;
use wire::{Body, EntryStatus, Frame, Load, Ping, Pong, Usage};

/// Numbers of entries whose status an agent has received; 18 at the planned size.
const ENTRIES: [u32; 4] = [0, 18, 36, 72];

/// Numbers of busy callers whose usage an entry reports.
const USAGES: [u32; 4] = [0, 8, 16, 32];

/// Length of the prefix that gives a frame's length.
const PREFIX_BYTES: usize = 4;

/// The rows of this module.
pub(crate) fn rows() -> Vec<Row> {
    let ping = USAGES.map(|size| (f64::from(size), length(Body::Ping(ping(size)))));
    let pong = ENTRIES.map(|size| (f64::from(size), length(Body::Pong(pong(size)))));
    vec![
        Row { role: "entry", cost: "ping, bytes", per: "busy caller", points: ping.to_vec() },
        Row { role: "agent", cost: "pong, bytes", per: "sighting", points: pong.to_vec() },
    ]
}

fn length(body: Body) -> f64 {
    let bytes = Frame::new(body).encoded_len() + PREFIX_BYTES;
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

fn ping(usages: u32) -> Ping {
    Ping { nonce: 1 << 20, sender: Some(entry_status(usages)), include_entries: true }
}

fn pong(entry_statuses: u32) -> Pong {
    let load = Load {
        target: "engine-700".to_owned(),
        prompt_tokens: 20_000,
        output_tokens: 9_000,
        running: 14,
        waiting: 3,
        slots: 16,
        prefill_rate: 20_000,
        decode_rate: 4_000,
        accepting: true,
        serves: (1..=4).map(|number| format!("model-{number}")).collect(),
        role: "mixed".to_owned(),
        sequence: 1 << 30,
        config_offset: 1 << 20,
        wait_ms: 300,
        token_time_us: 40_000,
    };
    let entry_statuses = (0..entry_statuses).map(|_| entry_status(TYPICAL_USAGES)).collect();
    Pong { nonce: 1 << 20, load: Some(load), entries: entry_statuses }
}

/// Busy callers that an entry reports if it reports to many agents.
const TYPICAL_USAGES: u32 = 4;

fn entry_status(usages: u32) -> EntryStatus {
    let usage = |caller| Usage { caller, rate: 900, open: 2 };
    EntryStatus {
        entry: "entry-390".to_owned(),
        incarnation: u64::MAX,
        config_offset: 1 << 20,
        prompt_rate: 4_000,
        output_rate: 5_000,
        age_ms: 500,
        usages: (0..usages).map(u64::from).map(usage).collect(),
    }
}
