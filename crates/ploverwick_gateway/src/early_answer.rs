//! Reads answers that were sent before the whole request was.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::informational;

/// A stream to an endpoint that can still be read after a write has failed.
///
/// An endpoint may answer and close the connection without reading the rest of the request. The rest is then discarded, and
/// the answer is read to its end.
#[derive(Debug)]
pub(crate) struct Stream<T> {
    inner: T,
    /// How the first write failed. Reads return it in place of the end of the stream, as the system reports a reset only
    /// once.
    write_error: Option<io::ErrorKind>,
    informational: informational::Counter,
}

impl<T> Stream<T> {
    /// Creates a stream that fails once `informational` counts too many informational answers.
    pub(crate) fn new(inner: T, informational: informational::Counter) -> Self {
        Self {
            inner,
            write_error: None,
            informational,
        }
    }

    /// Returns the result of a write, or `discarded` from the first failure on.
    fn defer<R>(&mut self, result: io::Result<R>, discarded: R) -> io::Result<R> {
        result.or_else(|error| {
            self.write_error = Some(error.kind());
            Ok(discarded)
        })
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.informational.check()?;
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        let is_end = buffer.filled().len() == filled && buffer.remaining() > 0;
        if is_end && let Some(kind) = self.write_error {
            return Poll::Ready(Err(kind.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let result = ready!(Pin::new(&mut self.inner).poll_write(cx, bytes));
        Poll::Ready(self.defer(result, bytes.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = slices.iter().map(|slice| slice.len()).sum();
        if self.write_error.is_some() {
            return Poll::Ready(Ok(count));
        }
        let result = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, slices));
        Poll::Ready(self.defer(result, count))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(()));
        }
        let result = ready!(Pin::new(&mut self.inner).poll_flush(cx));
        Poll::Ready(self.defer(result, ()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.write_error.is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
