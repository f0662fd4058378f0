//! Offsets in a log that is restored from older copies, on a model of its readers.

use plat::epoch::{self, Epoch, LAST};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

#[test]
fn offsets_of_later_epochs_are_larger() {
    let offset = |epoch, index| epoch::offset(epoch, index).expect("both are small");
    assert_eq!((offset(0, 7), offset(0, 0)), (7, 0));
    assert!(offset(3, 0) > offset(2, 1_000_000_000));
    let last = offset(LAST, (1 << 40) - 1);
    assert_eq!(
        (last, epoch::epoch(last), epoch::index(last)),
        ((1 << 53) - 1, LAST, (1 << 40) - 1)
    );
    assert_eq!((epoch::offset(LAST + 1, 0), epoch::offset(0, 1 << 40)), (None, None));
}

/// How readers keep their position in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// By index; an index beyond the end shows that the log was restored.
    Places,
    /// By index; a reader with a newer version than the log writes it back.
    WriteBack,
    /// By epoch and index; in a new epoch all records are read again.
    Epochs,
}

/// A log of versions that can be restored from an older copy.
#[derive(Debug, Default)]
struct Log {
    epoch: Epoch,
    versions: Vec<u64>,
    newest: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Reader {
    epoch: Epoch,
    next: usize,
    version: u64,
}

impl Reader {
    /// Reads the new records and keeps the highest version.
    fn read(&mut self, log: &mut Log, strategy: Strategy) {
        let is_new = strategy == Strategy::Epochs && self.epoch != log.epoch;
        if is_new || self.next > log.versions.len() {
            (self.epoch, self.next) = (log.epoch, 0);
        }
        let read = log.versions[self.next..].iter().copied().max().unwrap_or_default();
        self.version = self.version.max(read);
        self.next = log.versions.len();
        let kept = log.versions.iter().copied().max().unwrap_or_default();
        if strategy == Strategy::WriteBack && kept < self.version {
            log.versions.push(self.version);
        }
    }
}

/// The faults of one run.
#[derive(Debug, Default)]
struct Faults {
    /// A reader that had read all records still had an older version than the log.
    behind: bool,
    /// A fencing token was repeated, or lower than an earlier one.
    token: bool,
}

fn run(strategy: Strategy, seed: u64) -> Faults {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut log, mut readers, mut faults) =
        (Log::default(), [Reader::default(); 4], Faults::default());
    let mut highest = None;
    for _ in 0..60 {
        match random.random_range(0..11) {
            0..=3 => {
                log.newest += 1;
                log.versions.push(log.newest);
            }
            4 => {
                let lost = random.random_range(0..=log.versions.len().min(6));
                log.versions.truncate(log.versions.len() - lost);
                log.epoch += 1;
            }
            // The operator writes the lost version again.
            5 => log.versions.push(log.newest),
            // A lease holder uses the index of its record as a fencing token.
            6 => {
                let index = u64::try_from(log.versions.len())
                    .expect("the log has at most some dozens of records");
                let epoch = if strategy == Strategy::Epochs { log.epoch } else { 0 };
                let token = epoch::offset(epoch, index).expect("both are small");
                faults.token |= highest.is_some_and(|highest| token <= highest);
                highest = highest.max(Some(token));
                log.versions.push(0);
            }
            at => readers[at - 7].read(&mut log, strategy),
        }
    }
    for reader in &mut readers {
        reader.read(&mut log, strategy);
    }
    let newest = log.versions.iter().copied().max().unwrap_or_default();
    faults.behind = readers.iter().any(|reader| reader.version < newest);
    faults
}

/// A restored log assigns indices again. Readers that use only indices never read the records
/// written below their position, and fencing tokens made from indices repeat.
#[test]
fn strategies_to_follow_a_restored_log() {
    const SEEDS: u64 = 10_000;
    let mut table = String::new();
    for strategy in [Strategy::Places, Strategy::WriteBack, Strategy::Epochs] {
        let runs: Vec<Faults> = (0..SEEDS).map(|seed| run(strategy, seed)).collect();
        let behind = runs.iter().filter(|faults| faults.behind).count();
        let token_faults = runs.iter().filter(|faults| faults.token).count();
        writeln!(
            table,
            "{strategy:?}: of {SEEDS} plays {behind} with a reader behind, {token_faults} with a \
            fence that repeats or goes back"
        )
        .unwrap();
        if strategy == Strategy::Epochs {
            assert_eq!((behind, token_faults), (0, 0));
        }
    }
    insta::assert_snapshot!(table);
}
