//! The gRPC service for other daemons.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream::unfold;
use ploverwick_claims::Key;
use ploverwick_claims::partition::Holder;
use ploverwick_codes::Code;
use ploverwick_names::Request as RequestName;
use ploverwick_timeline::clock::Stamp;
use ploverwick_wire::{
    Ack, Chunk, ClaimAnswer, ClaimAsk, FetchAsk, Frame, Head, JoinAsk, Order, Peer, Probe,
    TableCopy, frame,
};
use tokio::sync::mpsc;
use tonic::{Request, Response, Status};

use crate::chain::IdempotencyKey;
use crate::commands::end_frame;
use crate::controllers::{claims, members, table};
use crate::idempotency;
use crate::node::Node;
use crate::response::{PART_CHANNEL_CAPACITY, Part};

/// Handles calls from other daemons.
pub(crate) struct Service {
    pub(crate) node: Arc<Node>,
}

type Frames = Pin<Box<dyn Stream<Item = Result<Frame, Status>> + Send>>;

/// Creates a response stream that ends after the end frame, even if a sender is still open.
fn frames(receiver: mpsc::Receiver<Frame>) -> Response<Frames> {
    let stream = unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        let frame = receiver.recv().await?;
        let ends = matches!(frame.part, Some(frame::Part::End(_)));
        Some((Ok(frame), (!ends).then_some(receiver)))
    });
    Response::new(Box::pin(stream))
}

#[tonic::async_trait]
impl Peer for Service {
    type RunStream = Frames;
    type JoinStream = Frames;

    async fn run(&self, request: Request<Order>) -> Result<Response<Frames>, Status> {
        let order = request.into_inner();
        self.node.recorder.clock().observe(Stamp(order.stamp));
        Ok(frames(self.node.endpoint_tasks.submit(order).await))
    }

    async fn claim(&self, request: Request<ClaimAsk>) -> Result<Response<ClaimAnswer>, Status> {
        let message = request.into_inner();
        if message.partition >= self.node.settings.claims.partitions {
            return Err(Status::invalid_argument("no such partition"));
        }
        let outcome = claims::decide(&self.node, &message).await;
        Ok(Response::new(claims::to_wire(outcome)))
    }

    async fn join(&self, request: Request<JoinAsk>) -> Result<Response<Frames>, Status> {
        let message = request.into_inner();
        let key = Key::from_bytes(&message.key)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let holder = RequestName::new(&message.request)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (sender, receiver) = mpsc::channel(PART_CHANNEL_CAPACITY);
        tokio::spawn(join(
            Arc::clone(&self.node),
            key,
            holder,
            message.resume_after,
            sender,
        ));
        Ok(frames(receiver))
    }

    async fn beat(&self, request: Request<Probe>) -> Result<Response<Ack>, Status> {
        let answered = members::answer_probe(&self.node, request.into_inner()).await;
        let unknown = || Status::failed_precondition("the probe's protocol is not understood");
        answered.map(Response::new).ok_or_else(unknown)
    }

    async fn fetch(&self, request: Request<FetchAsk>) -> Result<Response<TableCopy>, Status> {
        let have = request.into_inner().have;
        Ok(Response::new(table::copy(&self.node, have)))
    }
}

/// Copies the cached response for an idempotency key to a peer.
async fn join(
    node: Arc<Node>,
    key: Key,
    request: RequestName,
    after: u64,
    sender: mpsc::Sender<Frame>,
) {
    let response = node
        .responses
        .get(&key)
        .filter(|response| response.request == request);
    let Some(response) = response else {
        let (code, message) = missing_response(&node, key, request);
        let _ = sender.send(end_frame(code, &message, None)).await;
        return;
    };
    let (parts, mut receiver) = mpsc::channel(PART_CHANNEL_CAPACITY);
    let reader = tokio::spawn(async move { response.read(after, parts).await });
    while let Some(part) = receiver.recv().await {
        if sender.send(to_frame(part)).await.is_err() {
            break;
        }
    }
    reader.abort();
}

fn missing_response(node: &Arc<Node>, key: Key, request: RequestName) -> (Code, String) {
    if !request.as_str().starts_with(&node.request_prefix()) {
        let message = "the request belongs to an earlier life of this instance";
        return (Code::OutcomeUnknown, message.to_owned());
    }
    let holder = Holder {
        request,
        life: node.life.clone(),
    };
    // The creation time matters only for claims, not for forfeiting them.
    let idempotency_key = IdempotencyKey { key, made_ms: 0 };
    let verdict = idempotency::missing_response(node, &holder, idempotency_key);
    (verdict.code(), verdict.message().to_owned())
}

fn to_frame(part: Part) -> Frame {
    let part = match part {
        Part::Head(head) => frame::Part::Head(Head {
            status: u32::from(head.status),
            content_type: head.content_type,
            model: head.model.unwrap_or_default(),
            incarnation: 0,
        }),
        Part::Data(data, last_event) => frame::Part::Chunk(Chunk { data, last_event }),
        Part::End(verdict) => {
            return end_frame(verdict.code(), verdict.message(), verdict.hint());
        }
    };
    Frame { part: Some(part) }
}
