//! Frames on a byte stream: a four-byte big-endian length, then one `prost` message.

use crate::{Error, Frame};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The largest accepted frame, in bytes; above the largest request body that an entry accepts.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The largest accepted frame of a handshake, in bytes. Its sender may be anyone, and a buffer is
/// allocated for the length that a frame begins with.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 * 1024;

/// Encodes and decodes [`Frame`]s for one peer.
#[derive(Debug)]
pub struct Codec {
    lengths: LengthDelimitedCodec,
    peer: CompactString,
}

impl Codec {
    /// Makes the codec of the connection to `peer`, an address used only in errors. It accepts the
    /// frames of a handshake only.
    pub fn new(peer: CompactString) -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        let lengths = builder.max_frame_length(MAX_HANDSHAKE_FRAME_BYTES).new_codec();
        Self { lengths, peer }
    }

    /// Accepts frames of up to [`MAX_FRAME_BYTES`] from now on.
    pub(crate) fn trust_peer(&mut self) {
        self.lengths.set_max_frame_length(MAX_FRAME_BYTES);
    }

    fn io(&self, step: &'static str, source: std::io::Error) -> Error {
        Error::Io { step, peer: self.peer.clone(), source }
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, out: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, out).map_err(|source| self.io("encode", source))
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let bytes = match self.lengths.decode(input) {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Ok(None),
            Err(source) => return Err(self.io("decode", source)),
        };
        Frame::decode(bytes).map(Some).map_err(|source| Error::Protocol {
            step: "decode",
            peer: self.peer.clone(),
            detail: compact_str::format_compact!("{source}"),
        })
    }
}

impl From<std::io::Error> for Error {
    fn from(source: std::io::Error) -> Self {
        Error::Io { step: "transfer", peer: CompactString::const_new("peer"), source }
    }
}
