//! Child processes.

use std::io;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// A child process, which is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process(Child);

impl Process {
    pub(crate) fn spawn(command: &mut Command) -> io::Result<Self> {
        Ok(Self(command.kill_on_drop(true).spawn()?))
    }

    pub(crate) fn child(&mut self) -> &mut Child {
        &mut self.0
    }

    /// Sends a signal, if the process has not ended.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self.0.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // It may have ended meanwhile.
            kill_process(pid, signal).ok();
        }
    }

    /// Kills the process and waits until it has ended.
    pub(crate) async fn kill(mut self) {
        drop(self.0.kill().await);
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn ended(mut self) {
        drop(self.0.wait().await);
    }
}
