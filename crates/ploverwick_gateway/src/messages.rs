//! Messages between instances: single datagrams, encoded with postcard.
//!
//! A lost message does no harm: loads are repeated, holdings are compared by digests, and a question
//! is asked again.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use ploverwick_adapters::{Copy, Key, Need};
use ploverwick_endpoints::{Entry, LimitUpdate};
use ploverwick_names::Moment;
use ploverwick_quarantine::DIGEST_BUCKETS;
use ploverwick_quota::{Grant, Lease};
use ploverwick_topics::Position;
use ploverwick_topics::parts::{self, Reassembler};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::metrics;
use crate::topics::{Batch, ReadStates, Topic};

/// The longest datagram; longer ones would be cut into packets by the network.
const MAX_DATAGRAM_BYTES: usize = 1_300;

/// An adapter at an endpoint and the requests of the sender that use it.
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

/// What is under way at an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndpointLoad {
    pub(crate) endpoint: Arc<str>,
    pub(crate) requests: u32,
    /// The tokens of prompts that no answer has begun for.
    pub(crate) reading: u32,
}

impl EndpointLoad {
    pub(crate) fn new(endpoint: Arc<str>, load: ploverwick_endpoints::Load) -> Self {
        Self {
            endpoint,
            requests: load.requests,
            reading: load.reading,
        }
    }

    pub(crate) fn counts(&self) -> ploverwick_endpoints::Load {
        ploverwick_endpoints::Load {
            requests: self.requests,
            reading: self.reading,
        }
    }
}

/// The digest of what an endpoint holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EndpointDigest {
    pub(crate) endpoint: Arc<str>,
    pub(crate) digest: u64,
}

/// What happened to an adapter at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ChangeKind {
    /// It is on its way there.
    Loading,
    /// The endpoint holds it from now on.
    Loaded,
    /// The endpoint does not hold it any more.
    Unloaded,
}

/// A change at an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) endpoint: Arc<str>,
    pub(crate) copy: Copy,
    pub(crate) kind: ChangeKind,
}

/// What an answer names so that the asker knows to which question it belongs, and when it asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueryId {
    /// Drawn anew by each process: moments of an earlier one mean nothing to the next.
    pub(crate) process: u64,
    /// When it was asked, by the asker's clock.
    pub(crate) sent_at: Moment,
}

/// What one instance tells another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// It runs, and has these requests under way at endpoints.
    Status {
        instance: Arc<str>,
        domain: Arc<str>,
        /// The part of a processor that it has, in thousandths of a core.
        capacity: u32,
        placer_token: Option<u64>,
        /// The adapters that wait for a place, if it places them.
        waiting: u32,
        /// How far it has read each topic of the store, and whether it reads it for others.
        read_states: ReadStates,
        loads: Vec<EndpointLoad>,
    },
    /// The requests of all instances at endpoints of a placer's failure domain.
    LoadTotals(Vec<EndpointLoad>),
    /// Its requests use these adapters.
    AdapterUses(Vec<AdapterUse>),
    /// A request needs an adapter.
    Need { copy: Copy, need: Need },
    /// An endpoint holds these adapters and no others.
    EndpointReport {
        endpoint: Arc<str>,
        adapters: Vec<ModelAdapters>,
    },
    /// Digests of what endpoints hold; whoever has another one asks.
    EndpointDigests(Vec<EndpointDigest>),
    /// Asks what these endpoints hold.
    EndpointReportRequest(Vec<Arc<str>>),
    /// What changed at endpoints, in this order.
    Changes(Vec<Change>),
    /// What changed in the list of endpoints, and the digest of all of it.
    RosterUpdate {
        changed: Vec<Entry>,
        removed: Vec<Arc<str>>,
        digest: u64,
    },
    /// What the sender read of a topic of the store.
    Records(Batch),
    /// How far the sender has read a topic of the store, whose last record is too long for a message.
    TopicEnd { topic: Topic, end: Position },
    /// Asks what is proven of the age of the configuration.
    ProofRequest { query_id: QueryId },
    /// Answers a question: what the operator's topic held before `end` was all of it, `age_ms` before.
    Proof {
        query_id: QueryId,
        end: Position,
        age_ms: u64,
    },
    /// Lends the sender's parts of all quotas, and asks for what its requests need.
    QuotaLease { query_id: QueryId, lease: Lease },
    /// Answers that: what the sender's pool grants.
    QuotaGrants {
        query_id: QueryId,
        grants: Vec<Grant>,
    },
    /// The sender has a base model loaded at an endpoint of its failure domain.
    BaseLoad,
    /// The sender no longer places the adapters of its failure domain.
    LeaseReleased,
    /// The crashes that are counted against requests.
    QuarantineEntries(Vec<ploverwick_quarantine::Entry>),
    /// Asks which limits of endpoints the receiver knows.
    EndpointLimitsRequest,
    /// The limits of endpoints.
    EndpointLimits(Vec<LimitUpdate>),
    /// Digests of all crashes that the sender counts against requests; whoever has others tells what
    /// differs, and, if it was asked, its own digests.
    QuarantineDigests {
        digests: [u64; DIGEST_BUCKETS],
        wants_reply: bool,
    },
    /// Endpoints that have reported that they are leaving.
    Draining(Vec<Arc<str>>),
}

impl Message {
    /// Makes the message that says what an endpoint holds.
    pub(crate) fn endpoint_report(endpoint: &Arc<str>, copies: &[Copy]) -> Self {
        let mut models: Vec<ModelAdapters> = Vec::new();
        for copy in copies {
            let adapter = (Arc::clone(&copy.key.adapter), copy.version);
            match models.iter_mut().find(|h| h.model == copy.key.model) {
                Some(holding) => holding.adapters.push(adapter),
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

    /// Returns whether a placer passes this on to its failure domain when it comes from another one:
    /// what is known of endpoints crosses between two domains once and not once for each instance.
    pub(crate) fn is_relayed(&self) -> bool {
        match self {
            Self::LoadTotals(_)
            | Self::EndpointReport { .. }
            | Self::EndpointDigests(_)
            | Self::Changes(_)
            | Self::EndpointLimits(_)
            | Self::Draining(_)
            | Self::QuarantineEntries(_) => true,
            Self::Status { .. }
            | Self::AdapterUses(_)
            | Self::Need { .. }
            | Self::EndpointReportRequest(_)
            | Self::RosterUpdate { .. }
            | Self::Records(_)
            | Self::TopicEnd { .. }
            | Self::ProofRequest { .. }
            | Self::Proof { .. }
            | Self::QuotaLease { .. }
            | Self::QuotaGrants { .. }
            | Self::EndpointLimitsRequest
            | Self::BaseLoad
            | Self::LeaseReleased
            | Self::QuarantineDigests { .. } => false,
        }
    }
}

/// Lists the adapters of holdings.
pub(crate) fn copies(adapters: Vec<ModelAdapters>) -> Vec<Copy> {
    let copies = adapters.into_iter().flat_map(|holding| {
        let model = holding.model;
        holding.adapters.into_iter().map(move |(adapter, version)| {
            let key = Key {
                model: Arc::clone(&model),
                adapter,
            };
            Copy { key, version }
        })
    });
    copies.collect()
}

/// The socket for messages.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    /// The port of all instances.
    port: u16,
    parts: Mutex<Reassembler>,
}

impl PeerSocket {
    /// Opens the socket on an address whose port all instances use.
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
            return self.send_datagram(&bytes, to);
        }
        for part in parts::split(&bytes, MAX_DATAGRAM_BYTES) {
            self.send_datagram(&part, to);
        }
    }

    fn send_datagram(&self, bytes: &[u8], to: &[IpAddr]) {
        metrics::datagrams(to.len(), bytes.len());
        for ip in to {
            // A full socket loses a message, as the network may.
            if let Err(error) = self.socket.try_send_to(bytes, (*ip, self.port).into()) {
                spdlog::debug!("message_lost to={} cause=\"{}\"", ip, error);
            }
        }
    }

    /// Waits for the next datagram; `None` if it could not be read, or is not the last part of a message.
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
