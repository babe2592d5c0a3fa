//! Bound on what the reader of a form keeps: it reads ahead until a part's head, or the end of a
//! text, is whole.

use bytes::Bytes;
use futures::{Stream, StreamExt};
use latchwheel_http::{ArrivingBody, BoxError};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Most bytes that are received of a form before its reader gives something of them.
const MOST_BUFFERED_BYTES: usize = 256 << 10;

/// Bytes of a form that were received and not given yet. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct FormBuffer(Arc<AtomicUsize>);

impl FormBuffer {
    /// Has the stream of a form fail when too much of it is kept.
    pub(crate) fn bound<S, E>(
        &self,
        stream: S,
        hold: Option<Arc<ArrivingBody>>,
    ) -> impl Stream<Item = Result<Bytes, BoxError>> + Send
    where
        S: Stream<Item = Result<Bytes, E>> + Send,
        E: Into<BoxError>,
    {
        let buffered = self.0.clone();
        stream.map(move |piece| {
            let piece = piece.map_err(Into::into)?;
            if let Some(hold) = &hold {
                hold.note_received(piece.len());
            }
            if buffered.fetch_add(piece.len(), Ordering::Relaxed) > MOST_BUFFERED_BYTES {
                return Err("a part of the form is too large".into());
            }
            Ok(piece)
        })
    }

    /// The reader gave what was received.
    pub(crate) fn note_given(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}
