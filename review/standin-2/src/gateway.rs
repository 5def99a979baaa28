//! The project's gateways as separate processes, started with the command of the deploy file.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const ZONES: [&str; 3] = ["uy-sur-a", "uy-sur-b", "uy-sur-c"];

/// A process that ends with this value.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Notes a process for `run.sh`, which ends those that are left.
pub fn note_pid(folder: &Path, pid: u32) {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join("pids"));
    let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Option<Process>,
    settings: PathBuf,
    program: PathBuf,
    folder: PathBuf,
}

impl Gateway {
    /// Writes the settings file. `store` is the address of the platform's store.
    pub fn new(
        index: usize,
        zone: &'static str,
        ip: Ipv4Addr,
        store: SocketAddr,
        program: &Path,
        folder: &Path,
    ) -> Self {
        let name = format!("front-{zone}-{index}");
        let settings = folder.join(format!("{name}.conf"));
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("zones.{zone}=uy-sur\n"))
            .collect();
        let text = format!(
            "node_name={name}\nrole=gateway\nmachine_class=front\nserves=front\nip={ip}\nzone={zone}\nregion=uy-sur\n{zones}\
             listen.front={ip}:8149\nlisten.ready={ip}:8141\ninner_port_range=7380,7395\nbootstrap=true\nfault_counted=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\nbeat_interval_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\nfault_tolerance.machines=2\n\
             fault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n\
             bounds.stable_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\n\
             bounds.max_stretch_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.budget_min_retries=52\nbounds.recovery_s=12\nbounds.pass_ms=120\nbounds.again_s=0\n\
             bounds.fencing_required=true\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.ceiling_window_s=5\n\
             bounds.origin_rate_overshoot=1.1\nbounds.version_ms=5000\nplatform.address={store}\nplatform.form=log\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.parts={parts}\nplatform.append_ms=2.0\n\
             platform.part_mb_s=20.0\nplatform.read_mb_s=80.0\nplatform.record_bytes=262144\nplatform.call_bytes=2097152\n\
             platform.keep_s=300\nplatform.part_mb=200\nplatform.ttl_min_ms=1000\n",
            parts = crate::store::PARTS,
        );
        std::fs::write(&settings, text).expect("write the settings");
        Self {
            name,
            front: (ip, 8149).into(),
            ready: (ip, 8141).into(),
            process: None,
            settings,
            program: program.to_owned(),
            folder: folder.to_owned(),
        }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::create(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(&self.program)
            .args(["--metrics", "9464"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("PLOVERWICK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_pid(&self.folder, child.id());
        self.process = Some(Process(child));
        Ok(())
    }

    pub async fn is_ready(&self) -> bool {
        let ask = async {
            let mut stream = TcpStream::connect(self.ready).await.ok()?;
            let request =
                b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            stream.write_all(request).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            answer.starts_with("HTTP/1.1 200").then_some(())
        };
        matches!(
            tokio::time::timeout(Duration::from_secs(1), ask).await,
            Ok(Some(()))
        )
    }
}
