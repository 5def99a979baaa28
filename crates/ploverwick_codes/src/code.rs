//! The table of result codes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, in part or in whole.
    MayHaveRun,
    /// The request ran.
    Ran,
}

/// Whether a caller may repeat the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Repeating the same request leads to the same refusal; the request must be changed first.
    AfterChange,
    /// The request may be repeated after the hinted delay, with the same key if it has one.
    Yes,
    /// An idempotent request may be repeated; a non-idempotent one must not.
    IfIdempotent,
    /// There is nothing to repeat.
    NotNeeded,
}

macro_rules! codes {
    ($($number:literal $variant:ident $class:ident $http:literal $grpc:literal $repeat:ident
       $summary:literal $remedy:literal;)*) => {
        /// A numbered outcome of a request. `docs/RESULTS.md` is generated from this table.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $(#[doc = $summary] $variant = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the code's name, as used in responses and logs.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => stringify!($variant),)* }
            }

            /// Returns whether the request ran.
            pub const fn class(self) -> Class {
                match self { $(Self::$variant => Class::$class,)* }
            }

            /// Returns the HTTP status for the code.
            pub const fn http(self) -> u16 {
                match self { $(Self::$variant => $http,)* }
            }

            /// Returns the gRPC status number for the code.
            pub const fn grpc(self) -> i32 {
                match self { $(Self::$variant => $grpc,)* }
            }

            /// Returns whether the caller may repeat the request.
            pub const fn repeat(self) -> Repeat {
                match self { $(Self::$variant => Repeat::$repeat,)* }
            }

            /// Returns a one-sentence description of the outcome.
            pub const fn summary(self) -> &'static str {
                match self { $(Self::$variant => $summary,)* }
            }

            /// Returns the recommended action for the caller or operator.
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$variant => $remedy,)* }
            }
        }
    };
}

codes! {
    1000 Done Ran 200 0 NotNeeded "The request ran and its whole answer was delivered." "Nothing to do.";
    1001 EndpointFailed Ran 502 13 IfIdempotent "The endpoint ran the request and reported an error of its own." "See the endpoint's error in the message.";
    2000 ModelMalformed NotRun 400 3 AfterChange "The model is not of the form base:adapter@version." "Write the model as base:adapter@version.";
    2001 VersionMissing NotRun 400 3 AfterChange "The model names no version and the table pins none." "Name a version, or pin one in the table's version column.";
    2002 BodyMalformed NotRun 400 3 AfterChange "The body is not the JSON object that this path takes." "Send a JSON object with a string field \"model\".";
    2003 BodyTooLarge NotRun 413 8 AfterChange "The body is larger than the settings allow." "Send a shorter body or raise limits.body_bytes.";
    2004 HeaderMalformed NotRun 400 3 AfterChange "A header has a value that cannot be read." "See the message for the header and its form.";
    2005 KeyMissing NotRun 400 3 AfterChange "A non-idempotent request came without an idempotency key." "Send an Idempotency-Key header.";
    2006 KeyUnstamped NotRun 400 3 AfterChange "The idempotency key does not say when it was made." "Use a version 7 UUID as the key or add the header Ploverwick-Key-Time.";
    2007 KeyExpired NotRun 409 9 AfterChange "The idempotency key was made outside the window in which repeats are recognised." "Make a new key, if the earlier request is known not to have run.";
    2008 PathUnknown NotRun 404 5 AfterChange "No handler or service has this path." "Check the path against the settings' service prefixes.";
    2009 MethodNotAllowed NotRun 405 12 AfterChange "The path does not take this method." "Use the method that the path takes.";
    2010 CallerUnknown NotRun 401 16 AfterChange "The request carries no token of a caller in the settings." "Send Authorization: Bearer with a listed caller's token.";
    2011 ModelUnknown NotRun 404 5 AfterChange "The table has no row for this adapter and no row for all adapters." "Publish a table with a row for the adapter or for '*'.";
    2012 ResumeUnknown NotRun 409 9 AfterChange "The answer to resume is not held here and the request may not be run again for it." "Send the request again without Last-Event-ID.";
    2013 BodySlow NotRun 408 4 Yes "The body did not arrive in time." "Send the request again over a faster link.";
    2014 CrashesEndpoints NotRun 400 3 AfterChange "Endpoints crashed three times while they ran this request, or others that share a part of its prompt; it is not run any more." "Change the request; an operator can let it through again.";
    2015 KeyUnknown NotRun 401 16 AfterChange "The request carries no API key, more than one, or one that no organisation holds." "Send one valid key in the header for keys; an operator adds keys with a new configuration.";
    3000 Draining NotRun 503 14 Yes "This instance is leaving and takes no new requests." "Repeat the request; the balancer sends it elsewhere.";
    3001 NoTable NotRun 503 14 Yes "No table is in force yet." "Publish a first table; repeat after the hint.";
    3002 NoEndpoint NotRun 503 14 Yes "No live endpoint with a known owner can serve the model." "Repeat after the hint; see ploverwick status.";
    3003 Overloaded NotRun 429 8 Yes "The queues that could take the request are full." "Repeat after the hint.";
    3004 LimitReached NotRun 429 8 Yes "The table's limit for the adapter or group is reached." "Repeat after the hint or raise the limit in the table.";
    3005 DeadlineBeforeRun NotRun 504 4 Yes "The deadline passed before the request was sent to an endpoint." "Allow more time, or repeat when load is lower.";
    3006 LogUnavailable NotRun 503 14 Yes "The platform's log cannot confirm the key, so the non-idempotent request was not started." "Repeat with the same key after the hint.";
    3007 LoadFailed NotRun 503 14 Yes "The adapter could not be loaded." "Repeat after the hint; check that the version exists in the weight store.";
    3008 EndpointRefused NotRun 503 14 Yes "The endpoint refused the request before it ran." "Repeat after the hint.";
    3009 NotOwner NotRun 503 14 Yes "The instance asked does not own the endpoint." "Repeat; the entry looks for the owner again.";
    3010 PeerUnreachable NotRun 503 14 Yes "The owner of the endpoint could not be reached, and nothing was sent." "Repeat after the hint.";
    3011 Cancelled NotRun 499 1 NotNeeded "The caller left before the request was sent to an endpoint." "Nothing to do.";
    3012 NoConfiguration NotRun 503 14 Yes "This instance knows no configuration yet." "Repeat after the hint; see the platform's store if it lasts.";
    3013 ConfigurationStale NotRun 503 14 Yes "This instance could not confirm lately that its configuration is the newest, so that a key may have been revoked." "Repeat after the hint; other instances may serve. See the platform's store if it lasts.";
    3014 QuotaReached NotRun 429 8 Yes "The organisation has used what its quota allows." "Repeat after the hint or raise the organisation's quota.";
    3015 QuotaUnknown NotRun 503 14 Yes "The instance that counts the organisations' use could not be asked in time." "Repeat after the hint.";
    3016 StreamBuildGone NotRun 503 14 AfterChange "No endpoint of the software version that began the stream serves any more." "Send the request again without Last-Event-ID, to begin anew.";
    3017 StreamOriginUnknown NotRun 503 14 AfterChange "No instance that could be asked knows which software version began the stream." "Send the request again without Last-Event-ID, to begin anew.";
    3018 MemoryFull NotRun 503 14 Yes "This instance holds as many bytes of requests and answers as its memory allows." "Repeat after the hint; other instances may have room.";
    4000 Interrupted MayHaveRun 502 14 IfIdempotent "The answer broke off and cannot be resumed." "Repeat the request if it is idempotent.";
    4001 DeadlineWhileRunning MayHaveRun 504 4 IfIdempotent "The deadline passed while the request was with an endpoint." "Allow more time.";
    4002 OutcomeUnknown MayHaveRun 409 9 IfIdempotent "The request with this key was started by an instance that is gone; its outcome is not known." "Do not repeat it under a new key before checking its effect.";
    4003 WrongAdapter MayHaveRun 502 13 IfIdempotent "The endpoint answered for another adapter or version; its answer was withheld." "Repeat if idempotent; look at the endpoint.";
    4004 AnswerLost MayHaveRun 409 9 IfIdempotent "The request with this key ran, and its answer is no longer held." "Do not repeat it under a new key.";
    4005 CancelledWhileRunning MayHaveRun 499 1 IfIdempotent "The caller left while the request was with an endpoint." "Nothing to do.";
    4006 PeerLost MayHaveRun 502 14 IfIdempotent "The link to the owner broke after the request was handed over." "Repeat the request if it is idempotent.";
}

impl Code {
    /// Returns the code's number, as used in responses and logs.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Finds the code with the given number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;
    fn try_from(number: u16) -> Result<Self, String> {
        Self::from_number(number).ok_or_else(|| format!("{number} is not a result code"))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PW{:04} {}", self.number(), self.name())
    }
}
