//! A daemon as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use ploverwick_demo::fleet::{Fleet, settings};
use ploverwick_names::{Domain, Instance};
use ploverwick_ports::roster::{InstanceEntry, State};
use rustix::process::{Pid, Signal, kill_process};

/// A daemon as a process of its own. It is killed when this is dropped.
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
    pub fn start(fleet: &Fleet, index: usize, further: &str) -> Self {
        let name = format!("entry-{}", index + 1);
        let text = settings(
            &name,
            "charguia",
            fleet.log_address(),
            fleet.roster_address(),
        );
        Self::spawn(name, &format!("{text}\n{further}"))
    }

    /// Starts the next life of a daemon, on the same ports.
    pub fn start_again(fleet: &Fleet, before: &Self, further: &str) -> Self {
        let name = before.name.clone();
        let text = settings(
            &name,
            "charguia",
            fleet.log_address(),
            fleet.roster_address(),
        )
        .replace(
            "callers = \"127.0.0.1:0\"",
            &format!("callers = \"{}\"", before.callers),
        )
        .replace(
            "peers = \"127.0.0.1:0\"",
            &format!("peers = \"{}\"", before.peers),
        )
        .replace(
            "admin = \"127.0.0.1:0\"",
            &format!("admin = \"{}\"", before.admin),
        );
        Self::spawn(name, &format!("{text}\n{further}"))
    }

    fn spawn(name: String, settings: &str) -> Self {
        let file = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
        std::fs::write(&file, settings).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ploverwick"))
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let out = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(out).lines();
        let mut address = |what: &str| -> SocketAddr {
            let line = lines.next().expect("there is a line").expect("it is text");
            let text = line.strip_prefix(what).expect("the line names the address");
            text.trim().parse().expect("it is an address")
        };
        Self {
            callers: address("callers"),
            peers: address("peers"),
            admin: address("admin"),
            name,
            child,
            file,
        }
    }

    /// Returns where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("the process has an id"), signal).expect("it is ours");
    }

    /// Stops the process, without it noticing.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets the process go on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to leave and returns its exit status.
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

/// Has the platform list the daemon.
pub async fn adopt(fleet: &mut Fleet, daemon: &Daemon) {
    let entry = InstanceEntry {
        name: Instance::new(&daemon.name).expect("the text is a name"),
        state: State::Live,
        failure_domain: Domain::new("charguia").expect("the text is a name"),
        peers: daemon.peers,
        admin: daemon.admin,
    };
    fleet
        .add_external(entry, daemon.callers)
        .await
        .expect("the list answers");
}
