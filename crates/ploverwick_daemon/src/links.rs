//! Connections to other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use ploverwick_wire::PeerClient;
use tonic::transport::{Channel, Endpoint};

use crate::lock::lock;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// The largest message between daemons: a whole table.
const MAX_MESSAGE: usize = 64 << 20;

/// Connections by address, made when first needed.
#[derive(Debug, Default)]
pub(crate) struct Links {
    open: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Links {
    /// Returns a client of the daemon at `address`, connected.
    ///
    /// # Errors
    /// Fails if there is no connection and none can be made; nothing was sent then.
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
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE))
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

    /// Drops a connection on which a call failed, so that the next call makes a new one.
    pub(crate) fn forget(&self, address: SocketAddr) {
        lock(&self.open).remove(&address);
    }
}
