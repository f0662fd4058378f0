//! Sends a single query to another agent.

use crate::shared::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use wire::{Body, Connection, Error, Frame, Query, QueryKind};

/// Sends the query over a separate connection, since such queries are rare and their replies large.
pub(crate) async fn query(
    shared: &Shared,
    address: &CompactString,
    kind: QueryKind,
    body: Bytes,
) -> wire::Result<Bytes> {
    let pipe = shared.dialler.dial(address).await?;
    let mut connection = Connection::new(pipe, address.clone());
    wire::connect(&mut connection, &shared.key, shared.hello()).await?;
    connection.send(Frame::new(Body::Query(Query { id: 1, kind: kind.into(), body }))).await?;
    let frame = connection.receive("ask").await?;
    match frame.body {
        Some(Body::Reply(reply)) => Ok(reply.body),
        _ => Err(Error::Protocol {
            step: "ask",
            peer: address.clone(),
            detail: CompactString::const_new("a reply was due"),
        }),
    }
}
