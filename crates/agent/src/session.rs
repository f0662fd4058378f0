//! One connection from an entry: reads its frames and runs a job for each attempt.

use crate::Backend;
use crate::job;
use crate::load::Meter;
use compact_str::CompactString;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{AttemptId, Body, Connection, Frame, Key, Pipe, Pong, Reader, Submit, Writer};

/// What all sessions of an agent share.
pub(crate) struct Shared {
    pub(crate) name: CompactString,
    pub(crate) incarnation: u64,
    pub(crate) key: Key,
    pub(crate) meter: Meter,
    pub(crate) backend: Backend,
}

/// How many frames wait for the connection before jobs wait for it.
const OUTBOX_FRAMES: usize = 1_024;

/// Serves one connection until it closes.
pub(crate) async fn serve(shared: Arc<Shared>, pipe: Pipe, peer: CompactString) {
    let mut connection = Connection::new(pipe, peer.clone());
    let hello = match wire::accept(&mut connection, &shared.key, shared.hello()).await {
        Ok(hello) => hello,
        Err(error) => return log::warn!(peer = peer.as_str(), error:% = error; "peer-refused"),
    };
    log::info!(peer = hello.name.as_str(), address = peer.as_str(); "peer-connected");
    let (reader, writer) = connection.split();
    let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
    let writing = tokio::spawn(write(writer, frames));
    read(&shared, reader, outbox).await;
    writing.abort();
    log::info!(peer = hello.name.as_str(); "peer-disconnected");
}

/// Handles frames until the connection closes, then stops the work that it asked for.
async fn read(shared: &Arc<Shared>, mut reader: Reader, outbox: mpsc::Sender<Frame>) {
    let closing = CancellationToken::new();
    let _stop_all = closing.clone().drop_guard();
    let mut attempts: HashMap<AttemptId, CancellationToken> = HashMap::new();
    while let Some(frame) = reader.next().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return log::warn!(error:% = error; "peer-broken"),
        };
        attempts.retain(|_, token| !token.is_cancelled());
        match frame.body {
            Some(Body::Submit(submit)) => {
                let token = closing.child_token();
                attempts.insert(submit.attempt, token.clone());
                spawn(shared.clone(), submit, outbox.clone(), token);
            }
            Some(Body::Cancel(cancel)) => {
                if let Some(token) = attempts.remove(&cancel.attempt) {
                    token.cancel();
                }
            }
            Some(Body::Ping(ping)) => {
                let load = Some(shared.meter.load());
                let pong =
                    Frame::new(Body::Pong(Pong { nonce: ping.nonce, load, sightings: Vec::new() }));
                if outbox.send(pong).await.is_err() {
                    return;
                }
            }
            _ => {}
        }
    }
}

fn spawn(
    shared: Arc<Shared>,
    submit: Submit,
    outbox: mpsc::Sender<Frame>,
    token: CancellationToken,
) {
    tokio::spawn(async move {
        let done = token.clone().drop_guard();
        tokio::select! {
            () = job::run(&shared, submit, &outbox) => {}
            () = token.cancelled() => {}
        }
        drop(done);
    });
}

/// Writes frames, flushing once for all that are ready.
async fn write(mut writer: Writer, mut frames: mpsc::Receiver<Frame>) -> wire::Result<()> {
    while let Some(frame) = frames.recv().await {
        writer.feed(frame).await?;
        while let Ok(frame) = frames.try_recv() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
