//! Reservations at one engine, in prompt tokens or streams, as kept by the entry that grants them.
//!
//! **Load pattern.** Prompts of all entries go to one engine, hundreds per second to a pool, and
//! each entry reports by datagram when its prompt was prefilled. **Without this**, a coordinator
//! would have to estimate the queue from the time that has passed. **Approach.** A grant reserves
//! the prompt's tokens, and the report that it was prefilled releases them. The report may be lost
//! and the entry may be killed, so a reservation that is not released expires.

use crate::Time;
use std::time::Duration;

/// Time after which a reservation that was not released expires. The longest prompts take a second
/// to prefill; one of typical size that counts for a second too long makes its engine look 3%
/// busier.
const EXPIRY: Duration = Duration::from_millis(1_500);

/// Identifies a reservation; chosen by the entry that requests it.
pub type ReservationId = u64;

/// The reservations at one engine.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    active: Vec<Reservation>,
}

#[derive(Debug, Clone, Copy)]
struct Reservation {
    id: ReservationId,
    amount: u64,
    expires_at: Time,
}

impl Reservations {
    /// Reserves `tokens` prompt tokens for the default time.
    pub fn reserve(&mut self, id: ReservationId, tokens: u64, now: Time) {
        self.reserve_for(id, tokens, now, EXPIRY);
    }

    /// Reserves an amount for at most `span`.
    pub fn reserve_for(&mut self, id: ReservationId, amount: u64, now: Time, span: Duration) {
        self.active.push(Reservation { id, amount, expires_at: now + span });
    }

    /// Releases a reservation; `false` if there is none with this id.
    pub fn release(&mut self, id: ReservationId) -> bool {
        let Some(at) = self.active.iter().position(|reservation| reservation.id == id) else {
            return false;
        };
        self.active.swap_remove(at);
        true
    }

    /// Returns the total reserved amount.
    pub fn total(&mut self, now: Time) -> u64 {
        self.active.retain(|reservation| now < reservation.expires_at);
        self.active.iter().map(|reservation| reservation.amount).sum()
    }
}
