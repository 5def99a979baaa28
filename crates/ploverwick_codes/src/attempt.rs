//! The life cycle of one attempt to run a request.
//!
//! An attempt starts as [`Unsent`]. Sending it consumes it and returns a [`Sent`] attempt, which
//! can only end in class [`Class::NotRun`] through a [`Refusal`] of the endpoint or its owner.

use std::marker::PhantomData;
use std::time::Duration;

use crate::{Class, Code};

/// Marks an attempt of which no byte was sent to an endpoint.
#[derive(Debug)]
pub struct Unsent;

/// Marks an attempt that may have reached an endpoint.
#[derive(Debug)]
pub struct Sent;

/// One attempt to run a request.
#[derive(Debug)]
#[must_use = "an attempt has to end in a verdict"]
pub struct Attempt<S> {
    state: PhantomData<S>,
}

/// The result of an attempt, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    code: Code,
    message: String,
    retry_after: Option<Duration>,
}

impl Verdict {
    fn new(code: Code, message: String) -> Self {
        Self {
            code,
            message,
            retry_after: None,
        }
    }

    /// Adds a hint after which delay to repeat the request.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Combines this result with `earlier`, the combined result of the attempts before it. A
    /// refusal only covers its own attempt: the request counts as not run only if none of its
    /// attempts may have run.
    #[must_use]
    pub fn after(self, earlier: Self) -> Self {
        match (self.code.class(), earlier.code.class()) {
            (Class::NotRun, Class::Ran | Class::MayHaveRun) => earlier,
            (Class::Ran | Class::MayHaveRun, _) | (Class::NotRun, Class::NotRun) => self,
        }
    }

    /// Returns the result code.
    pub fn code(&self) -> Code {
        self.code
    }

    /// Returns a human-readable description of the outcome.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the delay after which to repeat the request, if that makes sense.
    pub fn hint(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Proof that an endpoint or its owner reported that it did not run an attempt.
///
/// It is only created where an endpoint's or owner's refusal is decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    code: Code,
    message: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal from a decoded response; returns `None` if `code` is not of class
    /// [`Class::NotRun`].
    pub fn decode(code: Code, message: String, retry_after: Option<Duration>) -> Option<Self> {
        (code.class() == Class::NotRun).then_some(Self {
            code,
            message,
            retry_after,
        })
    }

    /// Returns the result code, always of class [`Class::NotRun`].
    pub fn code(&self) -> Code {
        self.code
    }
}

impl From<Refusal> for Verdict {
    fn from(refusal: Refusal) -> Self {
        Self {
            code: refusal.code,
            message: refusal.message,
            retry_after: refusal.retry_after,
        }
    }
}

impl Attempt<Unsent> {
    /// Starts an attempt.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Ends the attempt as not run.
    ///
    /// # Panics
    /// Panics if `code` is not of class [`Class::NotRun`], which is a bug in the calling code.
    pub fn refuse(self, code: Code, message: impl Into<String>) -> Verdict {
        assert_eq!(code.class(), Class::NotRun, "an unsent attempt did not run");
        Verdict::new(code, message.into())
    }

    /// Marks the attempt as sent. Call it before the first byte is written.
    pub fn send(self) -> Attempt<Sent> {
        Attempt { state: PhantomData }
    }
}

impl Default for Attempt<Unsent> {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt<Sent> {
    /// Ends the attempt after its complete response was delivered.
    pub fn finish(self) -> Verdict {
        Verdict::new(Code::Done, String::new())
    }

    /// Ends the attempt as one that ran or may have run.
    ///
    /// # Panics
    /// Panics if `code` is of class [`Class::NotRun`]: a sent attempt cannot become "not run"
    /// without a [`Refusal`].
    pub fn fail(self, code: Code, message: impl Into<String>) -> Verdict {
        assert_ne!(code.class(), Class::NotRun, "a sent attempt may have run");
        Verdict::new(code, message.into())
    }

    /// Ends the attempt as not run, as reported by the endpoint or its owner.
    pub fn refused(self, refusal: Refusal) -> Verdict {
        refusal.into()
    }
}
