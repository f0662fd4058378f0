//! Positions in a log that comes back from older copies of itself, on a model.

use plat::epoch::{self, Epoch, LAST};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

#[test]
fn positions_of_later_epochs_are_larger() {
    let offset = |epoch, place| epoch::offset(epoch, place).expect("both are small");
    assert_eq!((offset(0, 7), offset(0, 0)), (7, 0));
    assert!(offset(3, 0) > offset(2, 1_000_000_000));
    let last = offset(LAST, (1 << 40) - 1);
    assert_eq!(
        (last, epoch::epoch(last), epoch::index(last)),
        ((1 << 53) - 1, LAST, (1 << 40) - 1)
    );
    assert_eq!((epoch::offset(LAST + 1, 0), epoch::offset(0, 1 << 40)), (None, None));
}

/// How readers know where they are in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// By the place, and trust that a place beyond the end is told.
    Places,
    /// By the place, and whoever knows more than the log writes it back.
    WriteBack,
    /// By epoch and place, and all is read anew in a new epoch.
    Epochs,
}

/// A log that holds versions, and what happens to it.
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
    /// Reads what is new, and takes what counts: versions never go back.
    fn read(&mut self, log: &mut Log, way: Way) {
        let is_new = way == Way::Epochs && self.epoch != log.epoch;
        if is_new || self.next > log.versions.len() {
            (self.epoch, self.next) = (log.epoch, 0);
        }
        let read = log.versions[self.next..].iter().copied().max().unwrap_or_default();
        self.version = self.version.max(read);
        self.next = log.versions.len();
        let kept = log.versions.iter().copied().max().unwrap_or_default();
        if way == Way::WriteBack && kept < self.version {
            log.versions.push(self.version);
        }
    }
}

/// What went wrong in one play.
#[derive(Debug, Default)]
struct Broken {
    /// A reader that had read all still had an older version than the log.
    behind: bool,
    /// A fence was given out twice, or one that is lower than another before.
    fence: bool,
}

fn play(way: Way, seed: u64) -> Broken {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut log, mut readers, mut broken) =
        (Log::default(), [Reader::default(); 4], Broken::default());
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
            // The operator writes again what was lost.
            5 => log.versions.push(log.newest),
            // A holder of a duty takes the place of its record for a fence.
            6 => {
                let place = u64::try_from(log.versions.len()).expect("some dozens");
                let epoch = if way == Way::Epochs { log.epoch } else { 0 };
                let fence = epoch::offset(epoch, place).expect("both are small");
                broken.fence |= highest.is_some_and(|highest| fence <= highest);
                highest = highest.max(Some(fence));
                log.versions.push(0);
            }
            at => readers[at - 7].read(&mut log, way),
        }
    }
    for reader in &mut readers {
        reader.read(&mut log, way);
    }
    let newest = log.versions.iter().copied().max().unwrap_or_default();
    broken.behind = readers.iter().any(|reader| reader.version < newest);
    broken
}

/// The log gives places out again. Whoever goes by places alone never reads what was written below where it
/// stood, and fences made of places repeat.
#[test]
fn ways_to_follow_a_log_that_comes_back_older() {
    const SEEDS: u64 = 10_000;
    let mut table = String::new();
    for way in [Way::Places, Way::WriteBack, Way::Epochs] {
        let plays: Vec<Broken> = (0..SEEDS).map(|seed| play(way, seed)).collect();
        let behind = plays.iter().filter(|broken| broken.behind).count();
        let fences = plays.iter().filter(|broken| broken.fence).count();
        writeln!(
            table,
            "{way:?}: of {SEEDS} plays {behind} with a reader behind, {fences} with a \
            fence that repeats or goes back"
        )
        .unwrap();
        if way == Way::Epochs {
            assert_eq!((behind, fences), (0, 0));
        }
    }
    insta::assert_snapshot!(table);
}
