//! The way to the store: a proxy whose open channels can go silent for good, while new ones work.

use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

struct Channel {
    opened: Instant,
    /// When it last carried a byte, in milliseconds after it was opened.
    active_ms: AtomicU64,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
    /// The socket to the gateway.
    socket: Mutex<Option<OwnedFd>>,
}

#[derive(Clone, Default)]
pub struct Link {
    channels: Arc<Mutex<Vec<Arc<Channel>>>>,
}

impl Link {
    pub async fn start(&self, address: SocketAddr, target: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let link = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                let link = link.clone();
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = client.set_nodelay(true);
                    let _ = server.set_nodelay(true);
                    let channel = Arc::new(Channel {
                        opened: Instant::now(),
                        active_ms: AtomicU64::new(0),
                        is_silent: AtomicBool::new(false),
                        is_closed: AtomicBool::new(false),
                        socket: Mutex::new(client.as_fd().try_clone_to_owned().ok()),
                    });
                    link.channels.lock().unwrap().push(Arc::clone(&channel));
                    let (client_read, client_write) = client.into_split();
                    let (server_read, server_write) = server.into_split();
                    let there = tokio::spawn(copy(client_read, server_write, Arc::clone(&channel)));
                    let back = tokio::spawn(copy(server_read, client_write, Arc::clone(&channel)));
                    let _ = tokio::join!(there, back);
                    channel.is_closed.store(true, Ordering::Relaxed);
                    *channel.socket.lock().unwrap() = None;
                });
            }
        });
        Ok(())
    }

    /// Stops forwarding, for good and without a reset, on the open channels that have carried nothing for `idle`. If `is_dead`,
    /// nothing that arrives on them from a gateway is acknowledged either. Returns
    /// their number and the number of the others.
    pub fn silence(&self, idle: Duration, is_dead: bool) -> (usize, usize) {
        let channels = self.channels.lock().unwrap();
        let open = channels
            .iter()
            .filter(|channel| !channel.is_closed.load(Ordering::Relaxed));
        let (mut silenced, mut spared) = (0, 0);
        for channel in open {
            let active = Duration::from_millis(channel.active_ms.load(Ordering::Relaxed));
            if channel.opened.elapsed().saturating_sub(active) >= idle {
                channel.is_silent.store(true, Ordering::Relaxed);
                if is_dead && let Some(socket) = &*channel.socket.lock().unwrap() {
                    // `ret #0` drops each packet that arrives, so that nothing is acknowledged either. Where the system
                    // allows no filter, the channel is silent and acknowledges.
                    let filter = [SockFilter::new(0x06, 0, 0, 0)];
                    if let Err(error) = SockRef::from(socket).attach_filter(&filter) {
                        eprintln!("no filter: {error}");
                    }
                }
                silenced += 1;
            } else {
                spared += 1;
            }
        }
        (silenced, spared)
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, channel: Arc<Channel>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = from.read(&mut buffer).await;
        if channel.is_silent.load(Ordering::Relaxed) {
            // Neither bytes nor the end pass any more.
            if matches!(count, Ok(0) | Err(_)) {
                return std::future::pending().await;
            }
            continue;
        }
        let elapsed = u64::try_from(channel.opened.elapsed().as_millis()).unwrap();
        channel.active_ms.store(elapsed, Ordering::Relaxed);
        match count {
            Ok(0) | Err(_) => {
                let _ = to.shutdown().await;
                return;
            }
            Ok(count) => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
        }
    }
}
