//! The handshake: protocol version, names, and proof that both sides know the shared key.
//!
//! A peer port that is reachable by strangers would otherwise let them run requests past all
//! limits, or read other callers' answers. Both sides send a random challenge and answer the
//! other's with an HMAC over both challenges, so that a recorded proof is of no use later.

use crate::frame::{Body, Frame};
use crate::{Connection, Error, Result};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The version of the protocol; both sides must agree on it.
pub const PROTOCOL_VERSION: u32 = 1;

/// The shared key of all processes of one fleet; never logged.
#[derive(Clone)]
pub struct Key(Bytes);

impl Key {
    /// Wraps the secret from the settings.
    pub fn new(secret: impl Into<Bytes>) -> Self {
        Self(secret.into())
    }

    fn proof(&self, role: &'static str, first: &[u8], second: &[u8]) -> Bytes {
        // HMAC accepts keys of any length, so this cannot fail.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(role.as_bytes());
        mac.update(first);
        mac.update(second);
        Bytes::copy_from_slice(&mac.finalize().into_bytes())
    }

    fn check(&self, role: &'static str, first: &[u8], second: &[u8], proof: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        self.proof(role, first, second).ct_eq(proof).into()
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The first frame of either side.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The sender's process name, unique in the fleet.
    #[prost(string, tag = "2")]
    pub name: String,
    /// A random number that changes each time the process starts.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The sender's challenge, fresh for each connection.
    #[prost(bytes = "bytes", tag = "4")]
    pub challenge: Bytes,
}

/// The answer to the other side's challenge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
    /// HMAC-SHA-256 over the sender's side and both challenges.
    #[prost(bytes = "bytes", tag = "1")]
    pub mac: Bytes,
}

const DIALLER: &str = "dialler";
const LISTENER: &str = "listener";

/// Performs the dialling side's handshake and returns the listener's [`Hello`].
pub async fn connect(connection: &mut Connection, key: &Key, me: Hello) -> Result<Hello> {
    connection.send(Frame::new(Body::Hello(me.clone()))).await?;
    let them = expect_hello(connection).await?;
    let mac = key.proof(DIALLER, &me.challenge, &them.challenge);
    connection.send(Frame::new(Body::Proof(Proof { mac }))).await?;
    let proof = expect_proof(connection).await?;
    trust(connection, key.check(LISTENER, &me.challenge, &them.challenge, &proof.mac))?;
    Ok(them)
}

/// Performs the listening side's handshake and returns the dialler's [`Hello`].
pub async fn accept(connection: &mut Connection, key: &Key, me: Hello) -> Result<Hello> {
    let them = expect_hello(connection).await?;
    connection.send(Frame::new(Body::Hello(me.clone()))).await?;
    let proof = expect_proof(connection).await?;
    trust(connection, key.check(DIALLER, &them.challenge, &me.challenge, &proof.mac))?;
    let mac = key.proof(LISTENER, &them.challenge, &me.challenge);
    connection.send(Frame::new(Body::Proof(Proof { mac }))).await?;
    Ok(them)
}

async fn expect_hello(connection: &mut Connection) -> Result<Hello> {
    let frame = connection.receive("handshake").await?;
    let Some(Body::Hello(hello)) = frame.body else {
        return Err(unexpected(connection, "a hello was due"));
    };
    if hello.version != PROTOCOL_VERSION {
        let peer = connection.peer().clone();
        return Err(Error::Version { peer, theirs: hello.version, ours: PROTOCOL_VERSION });
    }
    Ok(hello)
}

async fn expect_proof(connection: &mut Connection) -> Result<Proof> {
    let frame = connection.receive("handshake").await?;
    match frame.body {
        Some(Body::Proof(proof)) => Ok(proof),
        _ => Err(unexpected(connection, "a proof was due")),
    }
}

fn trust(connection: &Connection, known: bool) -> Result<()> {
    if known { Ok(()) } else { Err(Error::Untrusted { peer: connection.peer().clone() }) }
}

fn unexpected(connection: &Connection, detail: &str) -> Error {
    Error::Protocol {
        step: "handshake",
        peer: connection.peer().clone(),
        detail: format_compact!("{detail}"),
    }
}

impl Hello {
    /// Makes the greeting of the process `name`; `challenge` must be fresh random bytes.
    pub fn new(name: &CompactString, incarnation: u64, challenge: [u8; 16]) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            name: name.to_string(),
            incarnation,
            challenge: Bytes::copy_from_slice(&challenge),
        }
    }
}
