//! The target's load, as counted by the agent from what it has accepted and not yet finished.

use compact_str::CompactString;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use wire::Load;

/// Counts the work at one target.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    target: CompactString,
    slots: u32,
    running: AtomicU32,
    prompt_tokens: AtomicU64,
    output_tokens: AtomicU64,
    sequence: AtomicU64,
}

/// The work of one request while it is counted.
pub(crate) struct Share<'a> {
    meter: &'a Meter,
    prompt_tokens: u64,
    output_tokens: u64,
}

impl Meter {
    /// Makes the meter of a target that runs `slots` requests side by side.
    pub(crate) fn new(target: CompactString, slots: u32) -> Self {
        Self { target, slots, ..Self::default() }
    }

    /// Counts a request until the share is dropped.
    pub(crate) fn add(&self, prompt_tokens: u64, output_tokens: u64) -> Share<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.prompt_tokens.fetch_add(prompt_tokens, Ordering::Relaxed);
        self.output_tokens.fetch_add(output_tokens, Ordering::Relaxed);
        Share { meter: self, prompt_tokens, output_tokens }
    }

    /// The load now.
    pub(crate) fn load(&self) -> Load {
        Load {
            target: self.target.to_string(),
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
            output_tokens: self.output_tokens.load(Ordering::Relaxed),
            running: self.running.load(Ordering::Relaxed),
            slots: self.slots,
            accepting: true,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            ..Load::default()
        }
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.meter.running.fetch_sub(1, Ordering::Relaxed);
        self.meter.prompt_tokens.fetch_sub(self.prompt_tokens, Ordering::Relaxed);
        self.meter.output_tokens.fetch_sub(self.output_tokens, Ordering::Relaxed);
    }
}
