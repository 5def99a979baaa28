//! Messages between instances: single datagrams, encoded with postcard.
//!
//! A lost message does no harm: loads are sent periodically, digests reveal differences in the adapters that
//! endpoints hold, and requests are retried.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ploverwick_adapters::{Copy, Demand, Key, Request};
use ploverwick_endpoints::numbering::Numbered;
use ploverwick_endpoints::origins::Attempt;
use ploverwick_endpoints::slots::{LoanId, Notice};
use ploverwick_endpoints::{
    BrittleService, Build, EndpointObservations, Entry, Figure, LimitUpdate, LogByte, lookup,
    totals,
};
use ploverwick_names::Moment;
use ploverwick_quarantine::{DIGEST_BUCKETS, prompt};
use ploverwick_quota::{Grant, Lease};
use ploverwick_topics::Position;
use ploverwick_topics::parts::{self, Reassembler};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::metrics;
use crate::topics::{Batch, ReadStates, Topic};

/// The maximum size of a datagram; the network would fragment larger ones.
const MAX_DATAGRAM_BYTES: usize = 1_300;

/// The smallest number of held tokens that a message distinguishes from none.
const HELD_TOKENS_UNIT: f64 = 16.0;

/// An adapter at an endpoint and the number of the sender's requests that use it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AdapterUse {
    pub(crate) endpoint: Arc<str>,
    pub(crate) copy: Copy,
    pub(crate) in_use: u32,
}

/// The adapters of one base model that an endpoint holds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ModelAdapters {
    model: Arc<str>,
    adapters: Vec<(Arc<str>, u64)>,
}

/// The requests in progress at an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndpointLoad {
    pub(crate) endpoint: Arc<str>,
    pub(crate) requests: u32,
    /// The number of prompt tokens of requests whose answer has not begun.
    pub(crate) unread_tokens: u32,
    /// The number of tokens that these requests are expected to hold, rounded.
    held_tokens: LogByte,
}

impl EndpointLoad {
    pub(crate) fn new(endpoint: Arc<str>, load: ploverwick_endpoints::Load) -> Self {
        Self {
            endpoint,
            requests: load.requests,
            unread_tokens: load.unread_tokens,
            held_tokens: LogByte::round(load.held_tokens.into(), HELD_TOKENS_UNIT),
        }
    }

    pub(crate) fn counts(&self) -> ploverwick_endpoints::Load {
        ploverwick_endpoints::Load {
            requests: self.requests,
            unread_tokens: self.unread_tokens,
            held_tokens: self.held_tokens.value(HELD_TOKENS_UNIT) as u32,
        }
    }
}

/// Digests of the adapters that endpoints of one failure domain hold.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndpointDigests {
    pub(crate) domain: Arc<str>,
    /// The checksum of the numbering that the digests refer to.
    pub(crate) checksum: u32,
    /// The lower halves of the digests.
    pub(crate) digests: Vec<Numbered<u32>>,
}

/// A pause of an endpoint, from when the message is received.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndpointPause {
    pub(crate) endpoint: Arc<str>,
    ms: u16,
}

impl EndpointPause {
    pub(crate) fn new(endpoint: Arc<str>, duration: Duration) -> Self {
        let ms = u16::try_from(duration.as_millis()).unwrap_or(u16::MAX);
        Self { endpoint, ms }
    }

    pub(crate) fn duration(&self) -> Duration {
        Duration::from_millis(self.ms.into())
    }
}

/// A notice on the loan of a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SlotNotice {
    pub(crate) notice: Notice,
    pub(crate) endpoint: Arc<str>,
    pub(crate) id: LoanId,
}

/// The digests of what the sender tracks, which a receiver compares with its own.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Comparison {
    pub(crate) digests: [u64; DIGEST_BUCKETS],
    pub(crate) wants_reply: bool,
}

/// How an adapter changed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ChangeKind {
    /// The endpoint is loading it or is about to.
    Loading,
    /// The endpoint now holds it.
    Loaded,
    /// The endpoint no longer holds it.
    Unloaded,
}

/// A change of an adapter at an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) endpoint: Arc<str>,
    pub(crate) copy: Copy,
    pub(crate) kind: ChangeKind,
}

/// Matches a reply to its request: the reply echoes it, so that the requester knows when it sent the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CorrelationId {
    /// A random number of the process, because moments of an earlier process mean nothing to the next.
    pub(crate) process: u64,
    /// When it was sent, by the sender's clock.
    pub(crate) sent_at: Moment,
}

/// The build that began the stream of an attempt.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct OriginRecord {
    pub(crate) attempt: Attempt,
    pub(crate) build: Build,
    /// How long a client may still take the stream up.
    pub(crate) remaining_ms: u32,
}

impl OriginRecord {
    pub(crate) fn new(attempt: Attempt, build: Build, expires: Moment, now: Moment) -> Self {
        let remaining = expires.since(now).as_millis();
        Self {
            attempt,
            build,
            remaining_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
        }
    }
}

/// A message from one instance to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The sender is alive and has these requests in progress at endpoints.
    Status {
        instance: Arc<str>,
        domain: Arc<str>,
        /// Its CPU capacity in thousandths of a core.
        capacity: u32,
        /// Its fencing token, if it is the placer of its failure domain.
        placer_token: Option<u64>,
        /// The number of adapters that wait for placement, if it is the placer.
        waiting: u32,
        /// Its demand for loads from the weight store, if it is the placer.
        demand: Option<Demand>,
        /// How far it has read each topic of the store, and whether it reads for others.
        read_states: ReadStates,
        loads: Vec<EndpointLoad>,
    },
    /// The requests in progress, over all instances, at endpoints of a placer's failure domain.
    LoadTotals(totals::Message),
    /// The adapters that the sender's requests use.
    AdapterUses(Vec<AdapterUse>),
    /// Requests that the receiver, a placer, have an adapter loaded at an endpoint of any build.
    LoadRequest(Request),
    /// The complete list of adapters that an endpoint holds.
    EndpointReport {
        endpoint: Arc<str>,
        adapters: Vec<ModelAdapters>,
    },
    /// Digests of the adapters that endpoints hold; a receiver with a different digest requests a report.
    EndpointDigests(EndpointDigests),
    /// Requests reports of what these endpoints hold.
    EndpointReportRequest(Vec<Arc<str>>),
    /// Changes of adapters at endpoints, in order.
    Changes(Vec<Change>),
    /// Changes in the list of endpoints, and the digest of the whole list.
    EndpointListUpdate {
        changed: Vec<Entry>,
        removed: Vec<Arc<str>>,
        digest: u64,
    },
    /// Records that the sender has read from a topic of the store.
    Records(Batch),
    /// How far the sender has read a topic of the store whose last record is too long for a message.
    TopicEnd { topic: Topic, end: Position },
    /// Requests a proof of the configuration's age.
    ProofRequest { correlation_id: CorrelationId },
    /// Answers `ProofRequest`: `age_ms` ago, the operator's topic held no records at or after `end`.
    Proof {
        correlation_id: CorrelationId,
        end: Position,
        age_ms: u64,
    },
    /// Leases the sender's shares of all quotas to the receiver's pool, and requests what its own requests need.
    QuotaLease {
        correlation_id: CorrelationId,
        lease: Lease,
    },
    /// Answers `QuotaLease` with the grants of the sender's pool.
    QuotaGrants {
        correlation_id: CorrelationId,
        grants: Vec<Grant>,
    },
    /// The sender is having a base model loaded at an endpoint of its failure domain.
    BaseLoad,
    /// The sender is no longer the placer of its failure domain.
    LeaseReleased,
    /// Quarantine entries: the crashes that are counted against requests.
    QuarantineEntries(Vec<ploverwick_quarantine::Entry>),
    /// Requests the limits of endpoints that the receiver knows.
    EndpointLimitsRequest,
    /// The limits of endpoints.
    EndpointLimits(Vec<LimitUpdate>),
    /// Digests of all crashes that the sender counts against requests. A receiver whose digests differ sends
    /// the differing entries and, if `wants_reply`, its own digests.
    QuarantineDigests(Comparison),
    /// Endpoints that have reported that they are leaving.
    Draining(Vec<Arc<str>>),
    /// What the sender observed of the speed of endpoints of the receiver's failure domain. The receiver is its
    /// placer.
    Observations(Vec<EndpointObservations>),
    /// The learned speed of endpoints of a placer's failure domain.
    Figures(Vec<Figure>),
    /// Requests that the receiver, a placer, have an adapter loaded at an endpoint of a build. It is not a field of
    /// `LoadRequest` because instances of an earlier version must still be able to read that.
    BuildLoadRequest { request: Request, build: Build },
    /// The builds that began streams of the sender. The receiver keeps them.
    Origins(Vec<OriginRecord>),
    /// Asks which build began the stream of an attempt, or else which builds of the service serve.
    OriginQuery {
        id: u64,
        service: Arc<str>,
        attempt: Option<Attempt>,
    },
    /// Answers `OriginQuery`.
    OriginReply { id: u64, reply: lookup::Reply },
    /// The crashes that are counted against parts of prompts.
    PromptEntries(Vec<prompt::Entry>),
    /// Digests of all crashes that the sender counts against parts of prompts, as in `QuarantineDigests`.
    PromptDigests(Comparison),
    /// Endpoints that get no requests for a while because they turned one away and are brittle.
    EndpointPauses(Vec<EndpointPause>),
    /// Services whose endpoints are brittle.
    BrittleServices(Vec<BrittleService>),
    /// Requests the services that the receiver knows to be brittle. The reply may be empty.
    BrittleServicesRequest,
    /// Notices on loans of slots.
    SlotNotices(Vec<SlotNotice>),
}

impl Message {
    /// Creates the report of the adapters that an endpoint holds.
    pub(crate) fn endpoint_report(endpoint: &Arc<str>, copies: &[Copy]) -> Self {
        let mut models: Vec<ModelAdapters> = Vec::new();
        for copy in copies {
            let adapter = (Arc::clone(&copy.key.adapter), copy.version);
            match models.iter_mut().find(|h| h.model == copy.key.model) {
                Some(model_adapters) => model_adapters.adapters.push(adapter),
                None => models.push(ModelAdapters {
                    model: Arc::clone(&copy.key.model),
                    adapters: vec![adapter],
                }),
            }
        }
        Self::EndpointReport {
            endpoint: Arc::clone(endpoint),
            adapters: models,
        }
    }

    /// Returns the name of the kind of message, as used in metrics.
    fn kind(&self) -> &'static str {
        match self {
            Self::Status { .. } => "status",
            Self::LoadTotals(_) => "load_totals",
            Self::AdapterUses(_) => "adapter_uses",
            Self::LoadRequest { .. } => "load_request",
            Self::EndpointReport { .. } => "endpoint_report",
            Self::EndpointDigests(_) => "endpoint_digests",
            Self::EndpointReportRequest(_) => "endpoint_report_request",
            Self::Changes(_) => "changes",
            Self::EndpointListUpdate { .. } => "endpoint_list_update",
            Self::Records(_) => "records",
            Self::TopicEnd { .. } => "topic_end",
            Self::ProofRequest { .. } => "proof_request",
            Self::Proof { .. } => "proof",
            Self::QuotaLease { .. } => "quota_lease",
            Self::QuotaGrants { .. } => "quota_grants",
            Self::BaseLoad => "base_load",
            Self::LeaseReleased => "lease_released",
            Self::QuarantineEntries(_) => "quarantine_entries",
            Self::EndpointLimitsRequest => "endpoint_limits_request",
            Self::EndpointLimits(_) => "endpoint_limits",
            Self::QuarantineDigests(_) => "quarantine_digests",
            Self::Draining(_) => "draining",
            Self::Observations(_) => "observations",
            Self::Figures(_) => "figures",
            Self::BuildLoadRequest { .. } => "build_load_request",
            Self::Origins(_) => "origins",
            Self::OriginQuery { .. } => "origin_query",
            Self::OriginReply { .. } => "origin_reply",
            Self::PromptEntries(_) => "prompt_entries",
            Self::PromptDigests(_) => "prompt_digests",
            Self::EndpointPauses(_) => "endpoint_pauses",
            Self::BrittleServices(_) => "brittle_services",
            Self::BrittleServicesRequest => "brittle_services_request",
            Self::SlotNotices(_) => "slot_notices",
        }
    }

    /// Returns whether a placer relays this message from another failure domain to its own, so that information
    /// on endpoints crosses between two domains once instead of once per instance.
    pub(crate) fn is_relayed(&self) -> bool {
        match self {
            Self::LoadTotals(_)
            | Self::EndpointReport { .. }
            | Self::EndpointDigests(_)
            | Self::Changes(_)
            | Self::EndpointLimits(_)
            | Self::Draining(_)
            | Self::QuarantineEntries(_)
            | Self::PromptEntries(_)
            | Self::EndpointPauses(_)
            | Self::BrittleServices(_)
            | Self::Figures(_) => true,
            Self::Status { .. }
            | Self::AdapterUses(_)
            | Self::LoadRequest { .. }
            | Self::BuildLoadRequest { .. }
            | Self::EndpointReportRequest(_)
            | Self::EndpointListUpdate { .. }
            | Self::Records(_)
            | Self::TopicEnd { .. }
            | Self::ProofRequest { .. }
            | Self::Proof { .. }
            | Self::QuotaLease { .. }
            | Self::QuotaGrants { .. }
            | Self::EndpointLimitsRequest
            | Self::BaseLoad
            | Self::LeaseReleased
            | Self::Observations(_)
            | Self::Origins(_)
            | Self::OriginQuery { .. }
            | Self::OriginReply { .. }
            | Self::QuarantineDigests(_)
            | Self::PromptDigests(_)
            | Self::BrittleServicesRequest
            | Self::SlotNotices(_) => false,
        }
    }
}

/// Returns the adapters of a report.
pub(crate) fn copies(adapters: Vec<ModelAdapters>) -> Vec<Copy> {
    let copies = adapters.into_iter().flat_map(|model_adapters| {
        let model = model_adapters.model;
        model_adapters
            .adapters
            .into_iter()
            .map(move |(adapter, version)| {
                let key = Key {
                    model: Arc::clone(&model),
                    adapter,
                };
                Copy { key, version }
            })
    });
    copies.collect()
}

/// The UDP socket for messages between instances.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    /// The port that all instances use.
    port: u16,
    parts: Mutex<Reassembler>,
}

impl PeerSocket {
    /// Binds the socket to an address whose port all instances use.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            port: address.port(),
            parts: Mutex::default(),
        })
    }

    /// Sends a message to instances.
    pub(crate) fn send(&self, message: &Message, to: &[IpAddr]) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= parts::MAX_MESSAGE_BYTES => bytes,
            Ok(bytes) => {
                spdlog::warn!("message_too_long bytes={}", bytes.len());
                return;
            }
            Err(error) => {
                spdlog::warn!("message_unwritable cause=\"{}\"", error);
                return;
            }
        };
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return self.send_datagram(message.kind(), &bytes, to);
        }
        for part in parts::split(&bytes, MAX_DATAGRAM_BYTES) {
            self.send_datagram(message.kind(), &part, to);
        }
    }

    fn send_datagram(&self, kind: &'static str, bytes: &[u8], to: &[IpAddr]) {
        metrics::datagrams(kind, to.len(), bytes.len());
        for ip in to {
            // A full send buffer drops the message, as the network may.
            if let Err(error) = self.socket.try_send_to(bytes, (*ip, self.port).into()) {
                spdlog::debug!("message_lost to={} cause=\"{}\"", ip, error);
            }
        }
    }

    /// Waits for the next datagram; returns `None` if it could not be read or does not complete a message.
    pub(crate) async fn receive(&self, buffer: &mut [u8]) -> Option<(Message, IpAddr)> {
        let (length, from) = match self.socket.recv_from(buffer).await {
            Ok(received) => received,
            Err(error) => {
                spdlog::warn!("message_unread cause=\"{}\"", error);
                tokio::task::yield_now().await;
                return None;
            }
        };
        let datagram = &buffer[..length];
        if parts::is_part(datagram) {
            let whole = self
                .parts
                .lock()
                .expect("no holder of the lock panics")
                .add_part(datagram, from.ip())?;
            return decode(&whole, from);
        }
        decode(datagram, from)
    }
}

fn decode(bytes: &[u8], from: SocketAddr) -> Option<(Message, IpAddr)> {
    match postcard::from_bytes(bytes) {
        Ok(message) => Some((message, from.ip())),
        Err(error) => {
            spdlog::warn!("message_malformed from={} cause=\"{}\"", from, error);
            None
        }
    }
}
