//! What is booked at one engine, tokens to be read or streams, as the entry knows that grants it.
//!
//! **Load pattern.** Prompts of all entries go to one engine, hundreds a second to a pool, and each
//! entry says by datagram when its prompt was read. **Without it** a coordinator would have to guess
//! from the time that passed. **How.** A grant books the prompt's tokens, and the word that it was
//! read ends the booking. That word may be lost, and the entry that was granted may be killed: a
//! booking that nobody ends lapses.

use crate::Time;
use std::time::Duration;

/// A booking that nobody has ended lapses after this time. The longest prompts take a second to be
/// read; one of usual size that is counted a second too long makes its engine look 3% busier.
const LAPSE: Duration = Duration::from_millis(1_500);

/// The name of a booking, given by the entry that asked for it.
pub type ReservationId = u64;

/// What is booked at one engine.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    booked: Vec<Booking>,
}

#[derive(Debug, Clone, Copy)]
struct Booking {
    id: ReservationId,
    amount: u64,
    lapses: Time,
}

impl Reservations {
    /// Books a prompt of which `tokens` are to be read.
    pub fn reserve(&mut self, id: ReservationId, tokens: u64, now: Time) {
        self.reserve_for(id, tokens, now, LAPSE);
    }

    /// Books this much for so long at most.
    pub fn reserve_for(&mut self, id: ReservationId, amount: u64, now: Time, span: Duration) {
        self.booked.push(Booking { id, amount, lapses: now + span });
    }

    /// Ends a booking; `false` if there is none of this name.
    pub fn release(&mut self, id: ReservationId) -> bool {
        let Some(at) = self.booked.iter().position(|booking| booking.id == id) else {
            return false;
        };
        self.booked.swap_remove(at);
        true
    }

    /// How much is booked.
    pub fn total(&mut self, now: Time) -> u64 {
        self.booked.retain(|booking| now < booking.lapses);
        self.booked.iter().map(|booking| booking.amount).sum()
    }
}
