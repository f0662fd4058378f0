//! The encoding of the folded `calls` stream.

use super::scopes::{self, HolderMessage};
use crate::calls::{CallEntry, CallStatus, Calls};
use crate::record::{Answer, Intent};
use bytes::Bytes;
use compact_str::CompactString;
use plat::Offset;
use prost::Message;

#[derive(Clone, PartialEq, prost::Message)]
struct CallsMessage {
    #[prost(uint64, tag = "1")]
    end: Offset,
    #[prost(message, repeated, tag = "2")]
    holders: Vec<HolderMessage>,
    #[prost(message, repeated, tag = "3")]
    calls: Vec<CallMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CallMessage {
    #[prost(uint64, tag = "1")]
    offset: Offset,
    #[prost(string, tag = "2")]
    author: String,
    #[prost(message, optional, tag = "3")]
    intent: Option<Intent>,
    #[prost(message, optional, tag = "4")]
    answer: Option<Answer>,
    #[prost(bool, tag = "5")]
    not_run: bool,
    #[prost(bool, tag = "6")]
    unknown: bool,
}

pub(crate) fn encode(calls: &Calls) -> Bytes {
    let message = CallsMessage {
        end: calls.end,
        holders: scopes::encode(&calls.scopes),
        calls: calls.iter().map(|(key, call)| encode_call(key, call)).collect(),
    };
    message.encode_to_vec().into()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Calls, CompactString> {
    let message: CallsMessage = super::decode_message(bytes)?;
    let mut calls = Calls::without_calls(scopes::decode(message.holders), message.end);
    for call in message.calls {
        let (key, call) = decode_call(call)?;
        calls.put(key, call);
    }
    Ok(calls)
}

fn encode_call(key: &Bytes, call: &CallEntry) -> CallMessage {
    let answer = match &call.status {
        CallStatus::Answered(answer) => Some(answer.clone()),
        CallStatus::Pending | CallStatus::NotRun | CallStatus::Unknown => None,
    };
    CallMessage {
        offset: call.intent,
        author: call.author.to_string(),
        intent: Some(Intent {
            key: key.clone(),
            digest: call.digest.clone(),
            scope: String::new(),
            claim: call.claim,
        }),
        answer,
        not_run: call.status == CallStatus::NotRun,
        unknown: call.status == CallStatus::Unknown,
    }
}

fn decode_call(message: CallMessage) -> Result<(Bytes, CallEntry), CompactString> {
    let missing = || CompactString::const_new("a call without its intent");
    let intent = message.intent.ok_or_else(missing)?;
    let status = match message.answer {
        Some(answer) => CallStatus::Answered(answer),
        None if message.not_run => CallStatus::NotRun,
        None if message.unknown => CallStatus::Unknown,
        None => CallStatus::Pending,
    };
    let call = CallEntry {
        intent: message.offset,
        digest: intent.digest,
        claim: intent.claim,
        author: message.author.into(),
        status,
    };
    Ok((intent.key, call))
}
