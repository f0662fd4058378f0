//! The records of the stream that holds bills.

use super::Bill;
use bytes::Bytes;
use plat::epoch::Epoch;
use policy::usage::{Incarnation, WindowIndex};
use prost::Message;

/// A record: bills that are committed by it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Record {
    /// The incarnation of the entry that wrote it.
    pub(super) incarnation: Incarnation,
    /// The platform has accepted the bills of all windows before this one.
    pub(super) reported_before: WindowIndex,
    /// The epoch of the log in which it was written.
    pub(super) epoch: Epoch,
    /// The bills.
    pub(super) bills: Vec<Bill>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    reported_before: u64,
    #[prost(message, repeated, tag = "3")]
    bills: Vec<WireBill>,
    #[prost(uint64, tag = "4")]
    epoch: u64,
}

/// One bill, in columns of equal length.
#[derive(Clone, PartialEq, Message)]
struct WireBill {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(string, repeated, tag = "2")]
    customers: Vec<String>,
    #[prost(uint64, repeated, tag = "3")]
    counts: Vec<u64>,
}

/// Decodes a record.
pub(super) fn decode(bytes: &[u8]) -> Result<Record, prost::DecodeError> {
    let WireRecord { incarnation, reported_before, bills, epoch } = WireRecord::decode(bytes)?;
    let bills = bills.into_iter().map(|WireBill { window, customers, counts }| {
        let customers = customers.into_iter().map(Into::into);
        Bill { window, counts: customers.zip(counts).collect() }
    });
    Ok(Record { incarnation, reported_before, epoch, bills: bills.collect() })
}

/// Encodes a record.
pub(super) fn encode(record: &Record) -> Bytes {
    let bills = record.bills.iter().map(|bill| WireBill {
        window: bill.window,
        customers: bill.counts.keys().map(ToString::to_string).collect(),
        counts: bill.counts.values().copied().collect(),
    });
    let Record { incarnation, reported_before, epoch, .. } = *record;
    let wire = WireRecord { incarnation, reported_before, bills: bills.collect(), epoch };
    wire.encode_to_vec().into()
}
