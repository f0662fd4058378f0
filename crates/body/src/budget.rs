//! The memory that callers make a process hold.
//!
//! **Load pattern.** Many callers send large bodies at once, and some never end them, or don't read
//! what they asked for. **Without this**, a process that bounds each body but not their sum runs out
//! of memory, and one that reserves what was announced refuses ordinary callers while nothing arrives.
//! **Approach.** Bytes are charged to one budget as they arrive. If it is used up, the upload that has
//! taken no memory for the longest time yields: large uploads first, and a small one only to another
//! small one. Large uploads can't take a reserve for small ones. Bodies that have arrived as a whole
//! don't yield, since their requests may have run: if they take all of it, further uploads are
//! refused.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The result of charging memory.
pub type Result<T, E = NoRoom> = std::result::Result<T, E>;

/// There is no room, or others need what was held, which is to be released at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory for the body")]
pub struct NoRoom;

/// Identifies what can be told to yield.
type HoldingId = u64;

/// The order in which they took memory.
type Position = u64;

/// Up to this size a body is small, in bytes.
pub const SMALL_BYTES: usize = 64 * 1024;

/// The part of a budget that is reserved for small bodies is its total divided by this.
const RESERVE_DIVISOR: usize = 4;

/// A number of bytes that requests share.
#[derive(Debug)]
pub struct Budget {
    total: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    /// The part of what is held that uploads will release which were told to yield.
    yielding: usize,
    next_id: HoldingId,
    next_position: Position,
    revocable: HashMap<HoldingId, Entry>,
    small: Class,
    large: Class,
}

/// Uploads that are all small, or all large. Answers that are not read count as large uploads.
#[derive(Debug, Default)]
struct Class {
    /// Those that can yield, the one that has taken no memory for the longest time first.
    order: BTreeMap<Position, HoldingId>,
    /// What they hold.
    bytes: usize,
    /// Those that wait until there is room.
    waiting: VecDeque<(HoldingId, oneshot::Sender<()>)>,
    /// What they wait for.
    waiting_bytes: usize,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// What it waits for; 0 if it does not wait.
    waits_for: usize,
    position: Position,
    /// When it last took memory.
    since: Instant,
    yields: CancellationToken,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: Arc<Budget>,
    bytes: usize,
}

/// Bytes that grow and can be told to yield: a body that is arriving, or an answer that is not read.
/// They are held until this is dropped.
#[derive(Debug)]
pub struct Revocable {
    budget: Arc<Budget>,
    id: HoldingId,
    yields: CancellationToken,
}

impl Budget {
    /// Creates a budget of so many bytes.
    pub fn new(total: usize) -> Self {
        Self { total, state: Mutex::default() }
    }

    /// The bytes that are held.
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Holds a number of bytes that does not grow. Uploads yield to it, and the budget may be exceeded
    /// until they have; `None` if they hold too little.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Option<Holding> {
        let mut state = self.lock();
        let after = state.held + bytes;
        let needed = after.saturating_sub(self.total + state.yielding);
        state.make_room(None, false, needed).ok()?;
        state.held += bytes;
        Some(Holding { budget: self.clone(), bytes })
    }

    /// Begins an upload, which holds nothing yet.
    pub fn begin(self: &Arc<Self>) -> Revocable {
        self.register(&mut self.lock())
    }

    /// Holds `bytes`, more than [`SMALL_BYTES`], of an answer that is not read. Others yield to it as
    /// to a large upload, and the budget may be exceeded until they have.
    pub fn hold_unread(self: &Arc<Self>, bytes: usize) -> Option<Revocable> {
        let mut state = self.lock();
        let needed = (state.held + bytes).saturating_sub(self.limit(true) + state.yielding);
        state.make_room(None, true, needed).ok()?;
        let revocable = self.register(&mut state);
        state.charge(revocable.id, bytes);
        Some(revocable)
    }

    /// Registers an upload that holds nothing yet.
    fn register(self: &Arc<Self>, state: &mut State) -> Revocable {
        let (id, yields) = (state.next_id, CancellationToken::new());
        state.next_id += 1;
        let position = state.take_position();
        let entry = Entry {
            bytes: 0,
            waits_for: 0,
            position,
            since: Instant::now(),
            yields: yields.clone(),
        };
        state.revocable.insert(id, entry);
        state.small.order.insert(position, id);
        Revocable { budget: self.clone(), id, yields }
    }

    /// Tells the upload to yield that has taken no memory for the longest time, if that is at least
    /// `min_age`. Returns whether there was one.
    pub fn yield_oldest(&self, min_age: Duration, now: Instant) -> bool {
        let mut state = self.lock();
        let oldest = [&state.large, &state.small].map(|class| class.order.first_key_value());
        let oldest = oldest.into_iter().flatten().min().map(|(_, id)| *id);
        let is_due = |id: &HoldingId| {
            let entry = state.revocable.get(id);
            entry.is_some_and(|entry| now.saturating_duration_since(entry.since) >= min_age)
        };
        let Some(id) = oldest.filter(is_due) else { return false };
        state.tell_to_yield(id);
        true
    }

    /// Returns the limit on all that is held, up to which uploads of a class may grow.
    fn limit(&self, is_large: bool) -> usize {
        if is_large { self.total - self.total / RESERVE_DIVISOR } else { self.total }
    }

    /// Charges `bytes` to an upload, or returns what completes once they have been charged.
    fn grow(&self, id: HoldingId, bytes: usize) -> Result<Option<oneshot::Receiver<()>>> {
        let mut state = self.lock();
        let entry = state.revocable.get(&id).filter(|entry| !entry.yields.is_cancelled());
        let held = entry.ok_or(NoRoom)?.bytes;
        let is_large = held + bytes > SMALL_BYTES;
        let limit = self.limit(is_large);
        let queued = state.class(is_large).waiting_bytes;
        if state.held + bytes <= limit && queued == 0 {
            state.charge(id, bytes);
            return Ok(None);
        }
        let after = state.held + state.waiting_bytes() + bytes;
        let needed = after.saturating_sub(limit + state.yielding);
        state.make_room(Some(id), is_large, needed)?;
        let (granted, grant) = oneshot::channel();
        let class = state.class(is_large);
        class.waiting.push_back((id, granted));
        class.waiting_bytes += bytes;
        if let Some(entry) = state.revocable.get_mut(&id) {
            entry.waits_for = bytes;
        }
        Ok(Some(grant))
    }

    /// Releases bytes and charges those to uploads that wait for them, in the order of their arrival.
    fn release(&self, state: &mut State, bytes: usize) {
        state.held -= bytes;
        for is_large in [false, true] {
            while let Some((id, granted)) = state.class(is_large).waiting.pop_front() {
                let waits_for = state.revocable.get(&id).map_or(0, |entry| entry.waits_for);
                // It has ended, or was told to yield.
                if waits_for == 0 {
                    continue;
                }
                let excess = (state.held + waits_for).saturating_sub(self.limit(is_large));
                if excess > 0 {
                    // Others may have taken what it was to get.
                    let needed = excess.saturating_sub(state.yielding);
                    if state.make_room(Some(id), is_large, needed).is_err() {
                        state.tell_to_yield(id);
                        continue;
                    }
                    state.class(is_large).waiting.push_front((id, granted));
                    break;
                }
                state.stop_waiting(id);
                state.charge(id, waits_for);
                // The receiver is dropped with its upload, which has released everything then.
                let _ = granted.send(());
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn class(&mut self, is_large: bool) -> &mut Class {
        if is_large { &mut self.large } else { &mut self.small }
    }

    fn waiting_bytes(&self) -> usize {
        self.small.waiting_bytes + self.large.waiting_bytes
    }

    fn take_position(&mut self) -> Position {
        self.next_position += 1;
        self.next_position
    }

    /// Charges an upload, which becomes the last one to yield.
    fn charge(&mut self, id: HoldingId, bytes: usize) {
        self.held += bytes;
        self.remove_from_order(id);
        let position = self.take_position();
        let Some(entry) = self.revocable.get_mut(&id) else { return };
        entry.bytes += bytes;
        entry.position = position;
        entry.since = Instant::now();
        let held = entry.bytes;
        let class = self.class(held > SMALL_BYTES);
        class.order.insert(position, id);
        class.bytes += held;
    }

    fn remove_from_order(&mut self, id: HoldingId) {
        let Some(entry) = self.revocable.get(&id) else { return };
        let (position, bytes) = (entry.position, entry.bytes);
        let class = self.class(bytes > SMALL_BYTES);
        if class.order.remove(&position).is_some() {
            class.bytes -= bytes;
        }
    }

    /// Tells uploads other than `id` to yield `needed` bytes; small ones only if `is_large` is not set.
    fn make_room(&mut self, id: Option<HoldingId>, is_large: bool, needed: usize) -> Result<()> {
        let own = id.and_then(|id| self.revocable.get(&id)).map_or(0, |entry| entry.bytes);
        let others = match (is_large, own > SMALL_BYTES) {
            (false, _) => self.small.bytes + self.large.bytes - own,
            (true, true) => self.large.bytes - own,
            (true, false) => self.large.bytes,
        };
        if others < needed {
            return Err(NoRoom);
        }
        let mut freed = 0;
        while freed < needed {
            let other =
                |class: &Class| class.order.values().find(|other| Some(**other) != id).copied();
            let victim = other(&self.large);
            let victim = victim.or_else(|| if is_large { None } else { other(&self.small) });
            let Some(victim) = victim else { return Err(NoRoom) };
            freed += self.tell_to_yield(victim);
        }
        Ok(())
    }

    fn tell_to_yield(&mut self, id: HoldingId) -> usize {
        self.remove_from_order(id);
        self.stop_waiting(id);
        let Some(entry) = self.revocable.get(&id) else { return 0 };
        entry.yields.cancel();
        self.yielding += entry.bytes;
        entry.bytes
    }

    /// Removes an upload that has ended. Returns what it held.
    fn remove(&mut self, id: HoldingId) -> usize {
        self.remove_from_order(id);
        self.stop_waiting(id);
        let Some(entry) = self.revocable.remove(&id) else { return 0 };
        if entry.yields.is_cancelled() {
            self.yielding -= entry.bytes;
        }
        entry.bytes
    }

    /// Takes back what an upload waits for. Its place in the queue stays until its turn.
    fn stop_waiting(&mut self, id: HoldingId) {
        let Some(entry) = self.revocable.get_mut(&id) else { return };
        let waits_for = std::mem::take(&mut entry.waits_for);
        let is_large = entry.bytes + waits_for > SMALL_BYTES;
        self.class(is_large).waiting_bytes -= waits_for;
    }
}

impl Revocable {
    /// Holds `bytes` more, once there is room.
    pub async fn grow(&mut self, bytes: usize) -> Result<()> {
        let Some(grant) = self.budget.grow(self.id, bytes)? else { return Ok(()) };
        tokio::select! {
            biased;
            () = self.yields.cancelled() => Err(NoRoom),
            granted = grant => granted.map_err(|_| NoRoom),
        }
    }

    /// Completes when this upload has to yield.
    pub fn yields(&self) -> CancellationToken {
        self.yields.clone()
    }

    /// Ends the upload, whose body has arrived as a whole and is held further, unless it has to
    /// yield: others wait for its memory.
    pub fn finish(self) -> Result<Holding> {
        let mut state = self.budget.lock();
        if self.yields.is_cancelled() {
            return Err(NoRoom);
        }
        let bytes = state.remove(self.id);
        Ok(Holding { budget: self.budget.clone(), bytes })
    }
}

impl Drop for Revocable {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let bytes = state.remove(self.id);
        self.budget.release(&mut state, bytes);
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        self.budget.release(&mut state, self.bytes);
    }
}
