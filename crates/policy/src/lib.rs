//! Decisions under load: admission, queueing, routing, retries, limits and engine roles.
//!
//! Every module is pure: it opens no connection, starts no task and reads no clock. The time is
//! passed in as [`Time`] and random numbers as `&mut dyn rand::Rng`, so each decision can be
//! understood, tested and measured by itself. The documentation of each module describes the load
//! pattern that it handles, what happens without it, and the reasons for its constants.
//! `docs/DECISIONS.md` contains the measurements, which [`simulation`] makes with these same types.

pub mod admission;
pub mod binding;
pub mod clock;
pub mod connect_timeout;
pub mod connections;
pub mod decode;
pub mod demand;
pub mod dissemination;
pub mod distance;
pub mod drain;
pub mod estimate;
pub mod extra_budget;
pub mod groups;
pub mod holders;
pub mod lease;
pub mod limits;
pub mod link;
pub mod membership;
pub mod outlier;
pub mod overload;
pub mod pace;
pub mod pacing;
pub mod pause;
pub mod poison;
pub mod prefill;
pub mod promise;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reachability;
pub mod region_order;
pub mod reservations;
pub mod retry;
pub mod retry_detection;
pub mod reuse;
pub mod roles;
pub mod round_trip;
pub mod route;
pub mod signals;
pub mod simulation;
pub mod split;
pub mod subset;
pub mod succession;
pub mod throughput;
pub mod transfer;
pub mod usage;
pub mod versions;

mod number;

use compact_str::CompactString;
use std::time::Duration;

/// A point in time, as the time since an epoch that the process chooses, such as its start.
pub type Time = Duration;

/// The name of a caller.
pub type CallerId = CompactString;

/// The name of a target.
pub type TargetId = CompactString;

/// The hash that identifies a name in decisions, see [`hash`].
pub type Hash = u64;

/// Hashes a name. The result is the same in all processes of all versions, so that they agree on
/// rendezvous choices.
pub fn hash(name: &str) -> Hash {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Shortens a hash for datagrams. Among 700 engines, two share a short hash with a probability of
/// 0.006%.
pub fn short_hash(engine: Hash) -> u32 {
    // Casting to a smaller integer keeps the lower half.
    #[expect(clippy::cast_possible_truncation, reason = "half of a hash is a hash")]
    let short = engine as u32;
    short
}

/// Mixes two hashes into one, for rendezvous hashing.
///
/// Two rounds of multiplication suffice: the inputs are hashes already, and a decision computes one
/// for each of 700 targets.
pub fn mix(a: Hash, b: Hash) -> Hash {
    const ODD: u64 = 0x9E37_79B9_7F4A_7C15;
    let x = (a ^ b.rotate_left(32)).wrapping_mul(ODD);
    (x ^ (x >> 29)).wrapping_mul(ODD) ^ (x >> 32)
}
