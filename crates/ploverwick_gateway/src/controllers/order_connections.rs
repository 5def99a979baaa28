//! The connections on which orders are followed until they are complete.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::{Answer, Copy, Op, Order};
use tokio::time::Instant;

use crate::pool::Connection;

/// How long a connection is kept for the next poll of its order, which follows within 240 ms.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// What an order changes. It is the same each time that the order is sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subject {
    Base(Op, Arc<str>),
    Adapter(Op, Copy),
}

impl Subject {
    fn of(order: &Order) -> Self {
        match order.copy() {
            None => Self::Base(order.op, Arc::clone(&order.model)),
            Some(copy) => Self::Adapter(order.op, copy),
        }
    }
}

/// The connections to one endpoint, each of which carries one order.
///
/// All earlier answers on such a connection say that the order is in progress. A second copy of one of them is read as the
/// answer to a poll at worst, which is then repeated.
#[derive(Debug, Default)]
pub(super) struct OrderConnections(HashMap<Subject, (Connection, Instant)>);

impl OrderConnections {
    /// Takes the connection that carried an order before.
    pub(super) fn take(&mut self, order: &Order) -> Option<Connection> {
        self.0.retain(|_, (connection, used_at)| {
            used_at.elapsed() < MAX_IDLE && !connection.sender.is_closed()
        });
        let (connection, _) = self.0.remove(&Subject::of(order))?;
        connection.sender.is_ready().then_some(connection)
    }

    /// Keeps a connection while its order is in progress, and closes it otherwise.
    pub(super) fn keep(&mut self, order: &Order, answer: Answer, connection: Connection) {
        if answer == Answer::Accepted {
            let kept = (connection, Instant::now());
            self.0.insert(Subject::of(order), kept);
        }
    }
}
