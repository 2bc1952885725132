//! Bodies of responses on their way to callers: read from upstreams as far as memory allows, and
//! handed to the callers' connections in small parts.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use bytes::Bytes;
use futures_lite::future;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use portfield_net::clock;

use crate::{held_memory::Held, response::Body};

/// Most bytes handed to a connection at a time: it copies them, and takes no more while it holds as
/// much as its own limit.
const PART_BYTES: usize = 16 << 10;
/// Pause before another look for memory, if the caller's reading does not free some before.
const MEMORY_PAUSE: Duration = Duration::from_millis(50);

/// Parts of a response that were read from the upstream, and not yet taken by the caller's connection.
#[derive(Debug, Default)]
struct Parts {
    queue: VecDeque<Bytes>,
    bytes: u64,
    /// How the response ended; `None` as long as it goes on.
    end: Option<Result<(), String>>,
    waker: Option<Waker>,
}

/// Writes a response that is read ahead.
#[derive(Debug)]
pub(crate) struct PartWriter {
    held: Arc<Held>,
    parts: Arc<Mutex<Parts>>,
    taken: Receiver<()>,
}

/// Reads it; the body of the response to the caller.
#[derive(Debug)]
pub(crate) struct PartReader {
    held: Arc<Held>,
    parts: Arc<Mutex<Parts>>,
    taken: Sender<()>,
    /// Exact length of the body, if known.
    length: Option<u64>,
    /// Fills the queue; cancelled when the caller's connection drops the body.
    _task: Option<Task<()>>,
}

impl PartWriter {
    /// Creates a writer and a reader.
    pub(crate) fn new(held: Arc<Held>) -> (Self, PartReader) {
        let parts = Arc::<Mutex<Parts>>::default();
        let (sender, taken) = async_channel::bounded(1);
        let reader = PartReader {
            held: held.clone(),
            parts: parts.clone(),
            taken: sender,
            length: None,
            _task: None,
        };
        (Self { held, parts, taken }, reader)
    }

    /// Adds a part if there is memory for it.
    pub(crate) fn try_push(&self, part: &Bytes) -> bool {
        let mut parts = lock(&self.parts);
        let n = part.len() as u64;
        if !self.held.grow_response(n, parts.bytes) {
            return false;
        }
        parts.bytes += n;
        parts.queue.push_back(part.clone());
        wake(&mut parts);
        true
    }

    /// Adds a part once there is memory for it.
    pub(crate) async fn push(&self, part: &Bytes) {
        while !self.try_push(part) {
            let taken = async {
                let _ = self.taken.recv().await;
            };
            future::or(taken, clock::sleep(MEMORY_PAUSE)).await;
        }
    }

    /// Ends the response: completely, or broken with a cause.
    pub(crate) fn finish(&self, end: Result<(), String>) {
        let mut parts = lock(&self.parts);
        if end.is_ok() {
            self.held.mark_whole();
        }
        parts.end = Some(end);
        wake(&mut parts);
    }
}

impl Drop for PartWriter {
    fn drop(&mut self) {
        let mut parts = lock(&self.parts);
        if parts.end.is_none() {
            // The task that reads the response has panicked: the caller must not wait for more.
            parts.end = Some(Err("the answer was given up".to_owned()));
            wake(&mut parts);
        }
    }
}

impl PartReader {
    /// Sets the exact length of the body, if it is known.
    pub(crate) fn with_length(self, length: Option<u64>) -> Self {
        Self { length, ..self }
    }

    /// Keeps the task that fills the queue, until the body is dropped.
    pub(crate) fn with_task(mut self, task: Task<()>) -> Self {
        self._task = Some(task);
        self
    }
}

impl http_body::Body for PartReader {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut parts = lock(&self.parts);
        if self.held.is_ended() {
            parts.queue.clear();
            return Poll::Ready(Some(Err(io::Error::other("ended for lack of memory"))));
        }
        let Some(first) = parts.queue.front_mut() else {
            return match parts.end.clone() {
                Some(Ok(())) => Poll::Ready(None),
                Some(Err(cause)) => Poll::Ready(Some(Err(io::Error::other(cause)))),
                None => {
                    parts.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            };
        };
        let n = first.len().min(PART_BYTES);
        let part = first.split_to(n);
        if first.is_empty() {
            parts.queue.pop_front();
        }
        parts.bytes -= n as u64;
        drop(parts);
        self.held.shrink(n as u64);
        let _ = self.taken.try_send(());
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        let parts = lock(&self.parts);
        parts.queue.is_empty() && parts.end == Some(Ok(()))
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// A body that tells the request's account how the caller's connection takes it.
struct Accounted {
    held: Arc<Held>,
    body: Body,
}

/// Wraps a body such that a caller who does not read is known.
pub(crate) fn account(held: Arc<Held>, body: Body) -> Body {
    Accounted { held, body }.boxed_unsync()
}

impl http_body::Body for Accounted {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.held.record_wanted();
        let res = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if res.is_some() {
            self.held.record_taken();
        }
        Poll::Ready(res)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn lock(parts: &Mutex<Parts>) -> MutexGuard<'_, Parts> {
    parts.lock().unwrap_or_else(PoisonError::into_inner)
}

fn wake(parts: &mut Parts) {
    if let Some(it) = parts.waker.take() {
        it.wake();
    }
}
