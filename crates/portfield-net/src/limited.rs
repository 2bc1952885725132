//! A connection from which only so many bytes are read.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};

/// A connection that fails once more than a number of bytes were read from it.
///
/// The load this answers: a server that sends bytes without end. `async-h1` limits neither the head nor the body of a
/// response.
#[derive(Debug)]
pub(crate) struct Limited<T> {
    inner: T,
    /// Bytes that may still be read.
    left: usize,
}

impl<T> Limited<T> {
    /// Limits a connection to `limit` bytes.
    pub(crate) fn new(inner: T, limit: usize) -> Self {
        Self { inner, left: limit }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let Some(left) = self.left.checked_sub(n) else {
            return Poll::Ready(Err(io::Error::other("the response is too long")));
        };
        self.left = left;
        Poll::Ready(Ok(n))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
