//! A small deployment on loopback addresses of its own.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::Client;
use crate::gateway::Gateway;
use crate::link::Link;
use crate::record::Record;
use crate::replica::Replica;
use crate::store::Store;

pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Where a case runs.
pub struct Place {
    /// Where `record.txt` is written.
    pub folder: PathBuf,
    /// A temporary folder.
    pub scratch: PathBuf,
    /// The gateway's program.
    pub program: PathBuf,
    pub has_trouble: bool,
}

/// Six gateways in three zones (3, 1 and 2), their store, and the way to it.
pub struct Deployment {
    pub store: Store,
    pub link: Link,
    pub gateways: Vec<Gateway>,
    pub record: Record,
    pub stop: Arc<AtomicBool>,
    base: [u8; 2],
}

impl Deployment {
    pub async fn start(place: &Place) -> Result<Self, Error> {
        let base = free_base()?;
        let record = Record::new();
        let store = Store::default();
        let link = Link::default();
        let address =
            |last: u8| -> SocketAddr { (Ipv4Addr::new(127, base[0], base[1], last), 8142).into() };
        store.clone().start(address(250)).await?;
        link.start(address(249), address(250)).await?;
        let zones = [
            "uy-sur-a", "uy-sur-a", "uy-sur-a", "uy-sur-b", "uy-sur-c", "uy-sur-c",
        ];
        let gateways = zones.iter().enumerate().map(|(index, zone)| {
            let ip = Ipv4Addr::new(127, base[0], base[1], u8::try_from(index).unwrap() + 1);
            Gateway::new(
                index + 1,
                zone,
                ip,
                address(249),
                &place.program,
                &place.scratch,
            )
        });
        let gateways = gateways.collect();
        Ok(Self {
            store,
            link,
            gateways,
            record,
            stop: Arc::default(),
            base,
        })
    }

    pub fn replica(&self, number: u8, service: &str, zone: &str, work: Duration) -> Replica {
        let address = self.replica_address(number);
        Replica::new(
            &format!("i-{:010x}", crate::client::scramble() >> 24),
            service,
            zone,
            address,
            work,
        )
    }

    pub fn replica_address(&self, number: u8) -> SocketAddr {
        (
            Ipv4Addr::new(127, self.base[0], self.base[1], 100 + number),
            8369,
        )
            .into()
    }

    /// Lets a replica write its entry about every 1.2 s, until `gone` is set.
    pub fn keep_listed(&self, replica: &Replica, gone: &Arc<AtomicBool>) {
        let (store, replica, gone) = (self.store.clone(), replica.clone(), Arc::clone(gone));
        tokio::spawn(async move {
            while !gone.load(std::sync::atomic::Ordering::Relaxed) {
                store.write("keyed.servers", &replica.id, &replica.entry());
                tokio::time::sleep(Duration::from_millis(1200)).await;
            }
        });
    }

    pub async fn start_gateways(&mut self) -> Result<(), Error> {
        for gateway in &mut self.gateways {
            gateway.start()?;
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        for gateway in &self.gateways {
            while !gateway.is_ready().await {
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready", gateway.name).into());
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        self.record.note("all gateways are ready");
        Ok(())
    }

    /// Starts clients of each gateway.
    pub fn start_clients(
        &self,
        count: usize,
        method: &'static str,
        path: &'static str,
        pause: Duration,
        deadline: Duration,
    ) {
        for gateway in &self.gateways {
            for _ in 0..count {
                let client = Client {
                    gateway: gateway.front,
                    name: gateway.name.clone(),
                    method,
                    host: "wuka97.example",
                    path,
                    body: if method == "POST" {
                        vec![b'b'; 600].into()
                    } else {
                        bytes::Bytes::new()
                    },
                    pause,
                    deadline,
                    record: self.record.clone(),
                    stop: Arc::clone(&self.stop),
                };
                tokio::spawn(client.run());
            }
        }
    }
}

/// Finds a range of loopback addresses on which the ports are free.
fn free_base() -> Result<[u8; 2], Error> {
    for _ in 0..50 {
        let number = crate::client::scramble();
        let base = [64 + (number % 128) as u8, (number >> 8) as u8];
        let is_free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, base[0], base[1], last), port)).is_ok()
        };
        let of_gateways = (1..=6).all(|last| {
            [8149, 8141, 7380, 7381, 9464]
                .iter()
                .all(|port| is_free(last, *port))
        });
        if of_gateways
            && is_free(249, 8142)
            && is_free(250, 8142)
            && (100..120).all(|last| is_free(last, 8369))
        {
            return Ok(base);
        }
    }
    Err("no free addresses".into())
}

/// A route of the configuration.
pub fn route(
    path: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    objective_ms: u64,
    attempts: u64,
) -> Value {
    json!({
        "name": path, "host": "wuka97.example", "path_prefix": path, "kind": kind, "timeout_ms": timeout_ms,
        "target_latency_ms": objective_ms, "priority": 2, "service": service, "max_attempts": attempts,
    })
}

/// A desired state.
pub fn config(version: u64, routes: &[Value], services: &[&str]) -> Vec<u8> {
    let services: Vec<Value> = services
        .iter()
        .map(|name| json!({"name": name, "health_path": "/health", "max_connections": 96}))
        .collect();
    let config = json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    });
    config.to_string().into_bytes()
}
