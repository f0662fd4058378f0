//! The handshake: protocol version, names, and proof that both sides have the shared key.
//!
//! Without it, anyone who can connect to a peer port could run requests that bypass all limits, or
//! read the answers of other callers. Each side sends a random challenge and answers the other's
//! with an HMAC over both challenges, so that a recorded proof cannot be replayed.

use crate::frame::{Body, Frame};
use crate::{Connection, Error, Result};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The version of the protocol; both sides must agree on it.
pub const PROTOCOL_VERSION: u32 = 1;

/// The shared key of all processes of a fleet; it is never logged.
#[derive(Clone)]
pub struct Key(Bytes);

impl Key {
    /// Makes the key from the secret in the settings.
    pub fn new(secret: impl Into<Bytes>) -> Self {
        Self(secret.into())
    }

    fn proof(&self, role: &'static str, first: &[u8], second: &[u8]) -> Bytes {
        // HMAC accepts keys of any length, so this cannot fail.
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(role.as_bytes());
        mac.update(first);
        mac.update(second);
        Bytes::copy_from_slice(&mac.finalize().into_bytes())
    }

    fn verify(&self, role: &'static str, first: &[u8], second: &[u8], proof: &[u8]) -> bool {
        use subtle::ConstantTimeEq;
        self.proof(role, first, second).ct_eq(proof).into()
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The first frame of each side.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The sender's process name, unique in the fleet.
    #[prost(string, tag = "2")]
    pub name: String,
    /// A random number that is different after each start of the process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The sender's challenge, different for each connection.
    #[prost(bytes = "bytes", tag = "4")]
    pub challenge: Bytes,
}

/// The response to the other side's challenge.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
    /// HMAC-SHA-256 over the sender's role and both challenges.
    #[prost(bytes = "bytes", tag = "1")]
    pub mac: Bytes,
}

const DIALLER: &str = "dialler";
const LISTENER: &str = "listener";

/// Performs the dialling side's handshake and returns the listener's [`Hello`].
pub async fn connect(connection: &mut Connection, key: &Key, ours: Hello) -> Result<Hello> {
    connection.send(Frame::new(Body::Hello(ours.clone()))).await?;
    let theirs = expect_hello(connection).await?;
    let mac = key.proof(DIALLER, &ours.challenge, &theirs.challenge);
    connection.send(Frame::new(Body::Proof(Proof { mac }))).await?;
    let proof = expect_proof(connection).await?;
    require_valid(
        connection,
        key.verify(LISTENER, &ours.challenge, &theirs.challenge, &proof.mac),
    )?;
    connection.trust_peer();
    Ok(theirs)
}

/// Performs the listening side's handshake and returns the dialler's [`Hello`].
pub async fn accept(connection: &mut Connection, key: &Key, ours: Hello) -> Result<Hello> {
    let theirs = expect_hello(connection).await?;
    connection.send(Frame::new(Body::Hello(ours.clone()))).await?;
    let proof = expect_proof(connection).await?;
    require_valid(connection, key.verify(DIALLER, &theirs.challenge, &ours.challenge, &proof.mac))?;
    let mac = key.proof(LISTENER, &theirs.challenge, &ours.challenge);
    connection.trust_peer();
    connection.send(Frame::new(Body::Proof(Proof { mac }))).await?;
    Ok(theirs)
}

async fn expect_hello(connection: &mut Connection) -> Result<Hello> {
    let frame = connection.receive("handshake").await?;
    let Some(Body::Hello(hello)) = frame.body else {
        return Err(unexpected(connection, "expected a hello"));
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
        _ => Err(unexpected(connection, "expected a proof")),
    }
}

fn require_valid(connection: &Connection, valid: bool) -> Result<()> {
    if valid { Ok(()) } else { Err(Error::Untrusted { peer: connection.peer().clone() }) }
}

fn unexpected(connection: &Connection, detail: &str) -> Error {
    Error::Protocol {
        step: "handshake",
        peer: connection.peer().clone(),
        detail: format_compact!("{detail}"),
    }
}

impl Hello {
    /// Makes the hello of the process `name`; `challenge` must be new random bytes.
    pub fn new(name: &CompactString, incarnation: u64, challenge: [u8; 16]) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            name: name.to_string(),
            incarnation,
            challenge: Bytes::copy_from_slice(&challenge),
        }
    }
}
