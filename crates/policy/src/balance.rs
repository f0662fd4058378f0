//! Decides when engines change their role because one role is short of engines and the other is
//! not.
//!
//! **Load pattern.** Phases of some ten seconds ask now for long output, now for long prompts, with
//! waves of a few seconds on both, while engines fail. **Without this**, streams queue for seconds
//! at the decode engines while most prefill engines are idle, or the other way round, however the
//! pool was split at first. **Approach.** The need of both roles is known before it causes delays:
//! streams last for seconds, so their number rises ahead of the queue, and prompts are counted as
//! they arrive. Only engines that their role can spare are moved, so a move costs nothing but its
//! order. Where both roles are short, both are left equally short.

use crate::number::{count, float};

/// Settings of the balance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Highest mean utilization of prefill engines. Prompts are large units of work and wait for
    /// each other, so this is far below 1.
    pub prefill_utilization: f64,
    /// Highest mean utilization of decode engines, which streams share.
    pub decode_utilization: f64,
    /// Weight of a stream that waits for a decode slot, relative to one that has a slot.
    pub queued_stream_weight: f64,
    /// How many engines a role has to be short of before any change.
    pub min_shortage: f64,
    /// The same as a share of all engines; the larger of both applies.
    pub min_shortage_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_utilization: 0.5,
            decode_utilization: 0.95,
            queued_stream_weight: 0.5,
            min_shortage: 1.0,
            min_shortage_share: 0.06,
        }
    }
}

/// Number of engines that the load keeps busy from now until a change would take effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProjectedLoad {
    /// Busy prefill engines.
    pub prefill: f64,
    /// Busy decode engines.
    pub decode: f64,
}

/// Number of engines by role. Engines that are about to change count with their new role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pool {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
}

/// Returns how many engines should prefill, if one role is short of engines and the other can help.
pub fn rebalance(settings: &Settings, load: &ProjectedLoad, pool: Pool) -> Option<usize> {
    let (prefill, decode) = (engines(pool.prefill), engines(pool.decode));
    // Streams that wait for a slot do so only until more engines decode.
    let queued = (load.decode - decode).max(0.0) * settings.queued_stream_weight;
    let busy_decode = load.decode.min(decode) + queued;
    let (needed_prefill, needed_decode) =
        (load.prefill / settings.prefill_utilization, busy_decode / settings.decode_utilization);
    let min_shortage = settings.min_shortage.max((prefill + decode) * settings.min_shortage_share);
    let (short_prefill, short_decode) = (needed_prefill - prefill, needed_decode - decode);
    let desired = if short_prefill > 0.0 && short_decode > 0.0 {
        (prefill + decode) * needed_prefill / (needed_prefill + needed_decode)
    } else if short_decode > min_shortage {
        prefill - short_decode.min(prefill - needed_prefill)
    } else if short_prefill > min_shortage {
        prefill + short_prefill.min(decode - needed_decode)
    } else {
        return None;
    };
    let desired = usize::try_from(count(desired)).ok()?;
    let moved = engines(desired.abs_diff(pool.prefill));
    (moved >= min_shortage).then_some(desired)
}

/// Returns how many engines should prefill once no role is short, if `lent` of the decode engines
/// were prefill engines before. As many of them change back as the decode role can spare.
pub fn restore(
    settings: &Settings,
    load: &ProjectedLoad,
    pool: Pool,
    lent: usize,
) -> Option<usize> {
    let all = pool.prefill + pool.decode;
    let min_shortage = settings.min_shortage.max(engines(all) * settings.min_shortage_share);
    let needed_decode = (load.decode / settings.decode_utilization).ceil();
    let spare = usize::try_from(count(engines(pool.decode) - needed_decode)).ok()?;
    let desired = pool.prefill + spare.min(lent);
    (engines(desired) - engines(pool.prefill) >= min_shortage).then_some(desired)
}

/// Returns whether the pool has enough engines of both roles for the load.
pub fn is_sufficient(settings: &Settings, load: &ProjectedLoad, pool: Pool) -> bool {
    load.prefill <= engines(pool.prefill) * settings.prefill_utilization
        && load.decode <= engines(pool.decode) * settings.decode_utilization
}

fn engines(count: usize) -> f64 {
    float(u64::try_from(count).unwrap_or(u64::MAX))
}
