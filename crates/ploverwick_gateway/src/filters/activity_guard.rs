//! Marks client connections as idle at the end of an answer, and as unread while the client does not take it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Frame, SizeHint};
use ploverwick_names::Moment;
use tokio::time::Instant;

use super::reply::{Body, BrokenAnswer, ReadDeadline};
use crate::clock::Clock;
use crate::connection::Activity;

/// Marks the client's connection as idle when dropped at the end of an answer.
#[derive(Debug)]
pub(crate) struct ActivityGuard {
    activity: Activity,
    clock: Clock,
    read_deadline: Option<Moment>,
}

impl ActivityGuard {
    pub(crate) fn new(
        activity: Activity,
        clock: Clock,
        read_deadline: Option<ReadDeadline>,
    ) -> Self {
        let read_deadline = read_deadline
            .map(|ReadDeadline(at)| clock.now() + at.saturating_duration_since(Instant::now()));
        Self {
            activity,
            clock,
            read_deadline,
        }
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.activity.end(self.clock.now());
    }
}

/// Wraps a body so that `guard` is dropped with it.
pub(crate) fn guarded(body: Body, guard: ActivityGuard) -> Body {
    UnsyncBoxBody::new(GuardedBody { body, guard })
}

struct GuardedBody {
    body: Body,
    guard: ActivityGuard,
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        self.guard.activity.set_read();
        let poll = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = poll
            && let Some(deadline) = self.guard.read_deadline
        {
            self.guard.activity.set_unread(deadline);
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
