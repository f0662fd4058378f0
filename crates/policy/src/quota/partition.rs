//! Which customers are coordinated together.

use super::CustomerKey;
use crate::mix;

/// The number of a partition, below [`PARTITIONS`].
pub type Partition = u16;

/// Number of partitions. Their coordinators share the work, and the failure of one entry holds up
/// only the customers of its partitions.
pub const PARTITIONS: Partition = 8;

/// Returns the partition of a customer, the same at all entries of all versions.
pub fn partition(customer: CustomerKey) -> Partition {
    const SALT: u64 = 0x0A77;
    Partition::try_from(mix(customer, SALT) % u64::from(PARTITIONS)).unwrap_or_default()
}
