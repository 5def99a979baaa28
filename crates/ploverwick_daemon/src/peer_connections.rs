//! Connections to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use ploverwick_wire::PeerClient;
use tonic::transport::{Channel, Endpoint};

use crate::lock::lock;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval of keep-alive pings, and the timeout for their acknowledgement.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// The maximum size of a message between daemons. The largest one is a whole table.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Connections by address, opened on first use.
#[derive(Debug, Default)]
pub(crate) struct PeerConnections {
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl PeerConnections {
    /// Returns a connected client of the daemon at `address`.
    ///
    /// # Errors
    /// Returns an error if no connection can be opened. Nothing was sent then.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
    ) -> Result<PeerClient<Channel>, tonic::transport::Error> {
        let known = lock(&self.open).get(&address).cloned();
        let channel = match known {
            Some(channel) => channel,
            None => self.connect(address).await?,
        };
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, tonic::transport::Error> {
        let channel = Endpoint::from_shared(format!("http://{address}"))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true)
            .connect()
            .await?;
        lock(&self.open).insert(address, channel.clone());
        Ok(channel)
    }

    /// Removes a connection on which a call failed, so that the next call opens a new one.
    pub(crate) fn remove(&self, address: SocketAddr) {
        lock(&self.open).remove(&address);
    }
}
