//! Which entries may coordinate the customers of a partition.

use crate::cluster::groups::Member;
use policy::groups::{self, Entry};
use policy::quota::{EntryKey, PARTITIONS, Partition};
use policy::{Hash, mix};
use std::collections::HashSet;
use std::sync::Arc;

/// Mixed into the numbers of partitions, so that their coordinators are not the entries that other
/// rankings put first.
const SALT: Hash = 0x7175_6F74_6173_2121;

/// How many times as many entries as coordinate a group may coordinate a partition: a coordinator
/// and its standby may be down together.
const CANDIDATE_ROUNDS: usize = 2;

/// The entries that may coordinate each partition, recomputed when entries change.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    members: Option<Arc<[Member]>>,
    keys: Vec<Vec<EntryKey>>,
}

impl Candidates {
    /// Whether they were computed for these entries.
    pub(super) fn are_of(&self, members: &Arc<[Member]>) -> bool {
        self.members.as_ref().is_some_and(|known| Arc::ptr_eq(known, members))
    }

    pub(super) fn of(
        &mut self,
        partition: Partition,
        members: &Arc<[Member]>,
        leaving: &HashSet<EntryKey>,
    ) -> &[EntryKey] {
        if !self.are_of(members) {
            let entry = |member: &Member| Entry { key: member.key, weight: member.link_rate };
            let staying = members.iter().filter(|member| !leaving.contains(&member.key));
            let entries: Vec<Entry> = staying.map(entry).collect();
            self.keys = (0..PARTITIONS).map(|partition| rank(partition, &entries)).collect();
            self.members = Some(members.clone());
        }
        self.keys.get(usize::from(partition)).map_or(&[], Vec::as_slice)
    }
}

/// Returns the entries that may coordinate a partition, in the order of preference.
fn rank(partition: Partition, entries: &[Entry]) -> Vec<EntryKey> {
    let (mut rest, mut ranked) = (entries.to_vec(), Vec::new());
    for _ in 0..CANDIDATE_ROUNDS {
        let best = groups::coordinators(mix(SALT, partition.into()), &rest);
        ranked.extend(best.into_iter().map(|at| rest[at].key));
        rest.retain(|entry| !ranked.contains(&entry.key));
    }
    ranked
}
