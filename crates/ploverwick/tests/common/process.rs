//! Runs daemons as separate processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use ploverwick_demo::fleet::{Fleet, settings};
use ploverwick_names::{Domain, Instance};
use ploverwick_ports::roster::{InstanceEntry, State};
use rustix::process::{Pid, Signal, kill_process};

/// A daemon in a separate process. Dropping it kills the process.
pub struct Daemon {
    name: String,
    child: Child,
    file: PathBuf,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on free ports.
    pub fn start(fleet: &Fleet, index: usize, extra_settings: &str) -> Self {
        let name = format!("entry-{}", index + 1);
        let text = settings(
            &name,
            "charguia",
            fleet.log_address(),
            fleet.roster_address(),
        );
        Self::spawn(name, &format!("{text}\n{extra_settings}"))
    }

    /// Starts the next incarnation of a daemon on the same ports.
    pub fn restart(fleet: &Fleet, previous: &Self, extra_settings: &str) -> Self {
        let name = previous.name.clone();
        let text = settings(
            &name,
            "charguia",
            fleet.log_address(),
            fleet.roster_address(),
        )
        .replace(
            "callers = \"127.0.0.1:0\"",
            &format!("callers = \"{}\"", previous.callers),
        )
        .replace(
            "peers = \"127.0.0.1:0\"",
            &format!("peers = \"{}\"", previous.peers),
        )
        .replace(
            "admin = \"127.0.0.1:0\"",
            &format!("admin = \"{}\"", previous.admin),
        );
        Self::spawn(name, &format!("{text}\n{extra_settings}"))
    }

    fn spawn(name: String, settings: &str) -> Self {
        let file = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
        std::fs::write(&file, settings).expect("write the settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ploverwick"))
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("start the daemon");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut lines = BufReader::new(stdout).lines();
        let mut read_address = |label: &str| -> SocketAddr {
            let line = lines
                .next()
                .expect("missing output line")
                .expect("output is not UTF-8");
            let address = line.strip_prefix(label).expect("unexpected output line");
            address.trim().parse().expect("invalid address")
        };
        Self {
            callers: read_address("callers"),
            peers: read_address("peers"),
            admin: read_address("admin"),
            name,
            child,
            file,
        }
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("invalid process id"), signal).expect("send the signal");
    }

    /// Suspends the process with SIGSTOP, which it cannot observe.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM, waits for the process to drain and returns its exit status.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.child.wait().ok()?.code()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Adds the daemon to the platform's roster.
pub async fn add_to_roster(fleet: &mut Fleet, daemon: &Daemon) {
    let entry = InstanceEntry {
        name: Instance::new(&daemon.name).expect("invalid name"),
        state: State::Live,
        failure_domain: Domain::new("charguia").expect("invalid name"),
        peers: daemon.peers,
        admin: daemon.admin,
    };
    fleet
        .add_external(entry, daemon.callers)
        .await
        .expect("update the roster");
}
