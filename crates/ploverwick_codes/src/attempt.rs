//! The life cycle of one attempt to run a request.
//!
//! An attempt starts as [`Unsent`]. Sending it consumes it and gives a [`Sent`] one, which has no
//! method that ends in class [`Class::NotRun`] except on the word of the endpoint itself.

use std::marker::PhantomData;
use std::time::Duration;

use crate::{Class, Code};

/// Marks an attempt of which no byte went to an endpoint.
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

/// How an attempt ended, and what the caller is told.
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

    /// Adds a hint of when to come back.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns what the caller is told of a request of which `earlier` tells the attempts before
    /// this one. A refusal speaks for its own attempt alone: "not run" is true of the request only
    /// if no attempt may have run.
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

    /// Returns what happened, for a person to read.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns when to come back, if there is a point in it.
    pub fn hint(&self) -> Option<Duration> {
        self.retry_after
    }
}

/// Proof that an endpoint said itself that it did not run an attempt.
///
/// It is made where an endpoint's or owner's refusal is decoded, and nowhere else.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    code: Code,
    message: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of a decoded answer; `None` if `code` does not mean "not run".
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
    /// Panics if `code` is not of class [`Class::NotRun`], which is a mistake in the calling code.
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
    /// Ends the attempt with its whole answer delivered.
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

    /// Ends the attempt as not run, on the endpoint's or owner's own word.
    pub fn refused(self, refusal: Refusal) -> Verdict {
        refusal.into()
    }
}
