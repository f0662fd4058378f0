//! What is promised for a first piece when an engine is reserved for its prompt, and how long it
//! took, by part.
//!
//! **Load pattern.** Prompts arrive at several times their mean rate for some seconds, and an
//! engine is reserved for each that can be prefilled within its objective. **Without this**, nobody
//! sees that first pieces are late although engines were reserved in time, nor in which part of
//! their way. **Approach.** The time from the arrival to the first piece is split into the parts
//! that a reservation counts and those for which it leaves time.

use std::time::Duration;

/// What was promised for the first piece when an engine was reserved for its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// The queue at the engine and the prefill.
    pub prefill: Duration,
    /// What was left for everything else.
    pub reserve: Duration,
}

/// How long a first piece took, by part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// The queue and the prefill at an engine that only prefills, including the network to it.
    pub prefill: Duration,
    /// The network, and waits at the entry.
    pub network: Duration,
    /// The transfer of the KV cache.
    pub transfer: Duration,
    /// The wait for a decode slot and, if the engine prefills the prompt itself, that too.
    pub slot: Duration,
}

impl Parts {
    /// Splits a first piece that took `total`, of which prefill took `prefill` and the decode
    /// engine `decode`. Transfers to it take about `transfer`; what exceeds that is a wait.
    pub fn new(total: Duration, prefill: Duration, decode: Duration, transfer: Duration) -> Self {
        let network = total.saturating_sub(prefill + decode);
        let transfer = transfer.min(decode);
        Self { prefill, network, transfer, slot: decode - transfer }
    }
}
