//! A small deployment on loopback: the store, replicas and gateways, with the settings of DEPLOY.md.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use ploverwick_platform_standin::client;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};

use crate::record::{Random, Record, now_ms};

pub const ZONES: [&str; 3] = ["hall-charguia", "hall-ariana", "hall-lac"];
/// Traffic starts so long after the machines do.
pub const LEAD: Duration = Duration::from_secs(11);
/// How often a replica writes its entry, and how long an entry outlasts the last one.
const BEAT: Duration = Duration::from_millis(1_200);
const SILENCE: Duration = Duration::from_millis(3_600);
/// The port of the deploy file's `--metrics`.
const METRICS: u16 = 9_464;

/// A process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// A replica: what it is, and its process while it runs.
struct Replica {
    id: String,
    zone: String,
    address: String,
    settings: Value,
    process: Option<Process>,
    beats: u64,
    models: Value,
    last_beat: Option<Instant>,
    /// Whether its entry is in the store.
    is_listed: bool,
}

pub struct Deployment {
    pub store: Store,
    pub fronts: Vec<SocketAddr>,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    replicas: Arc<Mutex<Vec<Replica>>>,
    gateways: Vec<Process>,
    network: u8,
}

impl Deployment {
    pub async fn new(record: Arc<Record>) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("ploverwick-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let network = free_network()?;
        Ok(Self {
            store: Store::start().await?,
            fronts: Vec::new(),
            folder,
            record,
            replicas: Arc::default(),
            gateways: Vec::new(),
            network,
        })
    }

    /// Starts a replica in a zone, listed under `id`. `settings` is what its process is told besides.
    pub fn add_replica(&mut self, id: &str, zone: &str, settings: Value) -> Result<()> {
        let mut replicas = self.replicas.lock().expect("no holder of the lock panics");
        let address = format!("127.{}.64.{}:8082", self.network, replicas.len() + 1);
        TcpListener::bind(&address).context("the address of a replica is free")?;
        let mut replica = Replica {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            settings,
            process: None,
            beats: 0,
            models: json!([]),
            last_beat: None,
            is_listed: false,
        };
        replica.start(&self.folder)?;
        replicas.push(replica);
        Ok(())
    }

    /// Kills the replicas at these places, all at once, and starts them `down` later with new ids.
    pub async fn crash(&self, places: &[usize], down: Duration) -> Result<()> {
        {
            let mut replicas = self.replicas.lock().expect("no holder of the lock panics");
            for place in places {
                let replica = &mut replicas[*place];
                self.record.note(&format!("kill replica {}", replica.id));
                if let Some(process) = &mut replica.process {
                    process.0.kill()?;
                }
            }
            for place in places {
                replicas[*place].process = None;
            }
        }
        tokio::time::sleep(down).await;
        let mut replicas = self.replicas.lock().expect("no holder of the lock panics");
        for place in places {
            let old = &mut replicas[*place];
            let mut replica = Replica {
                id: format!("{}-again", old.id),
                zone: old.zone.clone(),
                address: old.address.clone(),
                settings: empty(&old.settings),
                process: None,
                beats: 0,
                models: json!([]),
                last_beat: None,
                is_listed: false,
            };
            replica.start(&self.folder)?;
            self.record.note(&format!("start replica {}", replica.id));
            replicas.push(replica);
        }
        Ok(())
    }

    /// Starts the gateways, `count` in each zone, with the operator's configuration, and waits until they are ready.
    pub async fn start(&mut self, config: &Value, count: usize) -> Result<()> {
        spawn_beats(Arc::clone(&self.replicas), self.store.clone());
        self.store.configure(config);
        let (front, ready, inner) = (
            free_port(self.network)?,
            free_port(self.network)?,
            free_port(self.network)?,
        );
        let mut readies = Vec::new();
        for (number, zone) in ZONES.iter().enumerate() {
            for place in 1..=count {
                let ip = format!("127.{}.{}.{place}", self.network, number + 1);
                let name = format!("front-{zone}-{place}");
                let settings = settings(
                    &name,
                    zone,
                    &ip,
                    (front, ready, inner),
                    self.store.address(),
                );
                let path = self.folder.join(format!("{name}.conf"));
                fs::write(&path, settings)?;
                let log = File::create(self.folder.join(format!("{name}.log")))?;
                let child = Command::new("target/release/ploverwick-gateway")
                    .args(["--metrics", &METRICS.to_string()])
                    .env("PLOVERWICK_BOOT", &path)
                    .stdin(Stdio::null())
                    .stdout(log.try_clone()?)
                    .stderr(log)
                    .spawn()
                    .context("start target/release/ploverwick-gateway")?;
                self.gateways.push(Process(child));
                self.fronts.push(format!("{ip}:{front}").parse()?);
                readies.push(format!("{ip}:{ready}").parse()?);
            }
        }
        let begun = Instant::now();
        for ready in readies {
            while !client::is_ready(ready).await.unwrap_or(false) {
                if begun.elapsed() > Duration::from_secs(8) {
                    bail!("a gateway is not ready within 8 s");
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        tokio::time::sleep(LEAD.saturating_sub(begun.elapsed())).await;
        Ok(())
    }

    /// Ends all processes, adds what the replicas wrote to the record, and returns it, line by line.
    pub fn stop(mut self) -> Result<Vec<String>> {
        self.gateways.clear();
        let mut replicas = self.replicas.lock().expect("no holder of the lock panics");
        let mut lines = Vec::new();
        for replica in replicas.iter_mut() {
            replica.process = None;
            let text = fs::read_to_string(log_path(&self.folder, &replica.id))?;
            self.record.append(&text);
            lines.extend(text.lines().map(str::to_owned));
        }
        // The gateways' own logs stay in the temporary folder only if they are asked for.
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder)?;
        } else {
            println!("logs in {}", self.folder.display());
        }
        Ok(lines)
    }
}

impl Replica {
    fn start(&mut self, folder: &Path) -> Result<()> {
        let mut settings = self.settings.clone();
        settings["id"] = self.id.clone().into();
        settings["address"] = self.address.clone().into();
        settings["log"] = log_path(folder, &self.id).display().to_string().into();
        File::create(log_path(folder, &self.id))?;
        let child = Command::new(std::env::current_exe()?)
            .args(["replica", &settings.to_string()])
            .stdin(Stdio::null())
            .spawn()
            .context("start a replica")?;
        self.process = Some(Process(child));
        Ok(())
    }

    /// Returns whether its process has ended by itself.
    fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|process| matches!(process.0.try_wait(), Ok(Some(_))))
    }

    fn entry(&mut self) -> Value {
        self.beats += 1;
        // What it holds, as of its last report.
        if let Ok(models) = reported_models(&self.address) {
            self.models = models;
        }
        let models = &self.models;
        json!({
            "service": self.settings["service"], "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.settings["slots"], "state": "ready", "cold_left_ms": 0, "seq": self.beats, "models": models,
        })
    }
}

/// Returns the settings of a replica that starts again, which is empty.
fn empty(settings: &Value) -> Value {
    let mut settings = settings.clone();
    settings["is_empty"] = true.into();
    settings["adapters"] = json!([]);
    settings
}

/// Returns what a replica reports that it holds.
fn reported_models(address: &str) -> Result<Value> {
    let wait = Duration::from_millis(100);
    let mut stream = TcpStream::connect_timeout(&address.parse()?, wait)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(b"GET /api/report HTTP/1.1\r\nHost: replica\r\nConnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let count = stream.read(&mut buffer)?;
        answer.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&answer);
        if let Some((_, body)) = text.split_once("\r\n\r\n")
            && let Ok(report) = serde_json::from_str::<Value>(body)
        {
            return Ok(report["models"].clone());
        }
        if count == 0 {
            bail!("no report");
        }
    }
}

fn log_path(folder: &Path, id: &str) -> PathBuf {
    folder.join(format!("{id}.log"))
}

/// Writes the replicas' entries as long as they run, and removes those of replicas that are silent.
fn spawn_beats(replicas: Arc<Mutex<Vec<Replica>>>, store: Store) {
    let mut random = Random::new(now_ms());
    tokio::spawn(async move {
        loop {
            {
                let mut replicas = replicas.lock().expect("no holder of the lock panics");
                for replica in replicas.iter_mut() {
                    if replica.has_ended() {
                        replica.process = None;
                    }
                    // Between 1,100 and 1,300 ms, so that the replicas' entries don't expire at one moment.
                    let pause = BEAT + Duration::from_millis(random.next_below(200))
                        - Duration::from_millis(100);
                    let is_due = replica.last_beat.is_none_or(|at| at.elapsed() >= pause);
                    if replica.process.is_some() && is_due {
                        let entry = replica.entry();
                        store.list(&replica.id, &entry);
                        replica.last_beat = Some(Instant::now());
                        replica.is_listed = true;
                    }
                    let is_silent = replica.last_beat.is_some_and(|at| at.elapsed() >= SILENCE);
                    if replica.is_listed && replica.process.is_none() && is_silent {
                        store.unlist(&replica.id);
                        replica.is_listed = false;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}

/// Finds a network 127.N.0.0 whose fixed ports are free: that of the metrics and that of the first replica.
fn free_network() -> Result<u8> {
    let first = std::process::id() % 200;
    let mut candidates = (0..200).map(|n| 20 + ((first + n) % 200) as u8);
    let is_free = |network: &u8| {
        let fixed = [
            format!("127.{network}.1.1:{METRICS}"),
            format!("127.{network}.64.1:8082"),
        ];
        fixed
            .iter()
            .all(|address| TcpListener::bind(address).is_ok())
    };
    candidates.find(is_free).context("no network is free")
}

/// Finds a port that is free at all addresses, and the one after it too.
fn free_port(network: u8) -> Result<u16> {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().expect("no holder of the lock panics");
    for _ in 0..500 {
        *next += 2;
        let port = 10_000 + (u16::from(network) * 37 + *next) % 15_000;
        let is_free = |port: u16| {
            TcpListener::bind(("0.0.0.0", port)).is_ok()
                && UdpSocket::bind(("0.0.0.0", port)).is_ok()
        };
        if is_free(port) && is_free(port + 1) {
            return Ok(port);
        }
    }
    bail!("no port is free")
}

/// Returns the settings of a gateway, as DEPLOY.md shows them.
fn settings(name: &str, zone: &str, ip: &str, ports: (u16, u16, u16), store: SocketAddr) -> String {
    let (front, ready, inner) = ports;
    let inner_end = inner + 1;
    let zones = ZONES
        .map(|zone| format!("zones.{zone}=tunis-north\n"))
        .concat();
    format!(
        "node_name={name}\nrole=gateway\nmachine_class=front\nserves=front\nip={ip}\nzone={zone}\nregion=tunis-north\n{zones}\
         listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\ninner_port_range={inner},{inner_end}\nseeds=\n\
         bootstrap=true\nfault_counted=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
         limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\n\
         beat_interval_ms=1200\ncontracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
         fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n\
         bounds.addr_reuse_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n\
         bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\n\
         bounds.max_stretch_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
         bounds.budget_min_retries=52\nbounds.recovery_s=12\nbounds.pass_ms=120\nbounds.again_s=0\n\
         bounds.fencing_required=true\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.ceiling_window_s=5\n\
         bounds.origin_rate_overshoot=1.1\nbounds.version_ms=5000\nplatform.address={store}\nplatform.form=log\n\
         platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.parts=1\nplatform.append_ms=2.0\n\
         platform.part_mb_s=20.0\nplatform.read_mb_s=80.0\nplatform.record_bytes=262144\nplatform.call_bytes=2097152\n\
         platform.keep_s=300\nplatform.part_mb=200\nplatform.ttl_min_ms=1000\n"
    )
}

/// Returns the spans of a trouble: `length` at the start of each period, from now on.
pub fn spans(period: Duration, length: Duration, total: Duration) -> Vec<(u64, u64)> {
    let (start, period, length) = (
        now_ms(),
        period.as_millis() as u64,
        length.as_millis() as u64,
    );
    let count = total.as_millis() as u64 / period;
    (0..count)
        .map(|n| (start + n * period, start + n * period + length))
        .collect()
}
