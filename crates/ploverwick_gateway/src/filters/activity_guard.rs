//! Marks client connections as idle at the end of an answer.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Frame, SizeHint};

use super::reply::{Body, BrokenAnswer};
use crate::clock::Clock;
use crate::connection::Activity;

/// Marks the client's connection as idle when dropped at the end of an answer.
#[derive(Debug)]
pub(crate) struct ActivityGuard {
    activity: Activity,
    clock: Clock,
}

impl ActivityGuard {
    pub(crate) fn new(activity: Activity, clock: Clock) -> Self {
        Self { activity, clock }
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.activity.end(self.clock.now());
    }
}

/// Wraps a body so that `guard` is dropped with it.
pub(crate) fn guarded(body: Body, guard: ActivityGuard) -> Body {
    UnsyncBoxBody::new(GuardedBody {
        body,
        _guard: guard,
    })
}

struct GuardedBody {
    body: Body,
    _guard: ActivityGuard,
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
