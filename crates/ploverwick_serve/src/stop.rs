//! A channel that stops tasks when it is closed.

use tokio::sync::watch;

/// Stops every task that waits for a matching [`StopSignal`] when dropped.
#[derive(Debug)]
pub struct StopGuard {
    _sender: watch::Sender<()>,
}

/// A signal that fires when its [`StopGuard`] is dropped.
#[derive(Debug, Clone)]
pub struct StopSignal {
    receiver: watch::Receiver<()>,
}

/// Creates a channel that stops tasks when its [`StopGuard`] is dropped.
pub fn stop_channel() -> (StopGuard, StopSignal) {
    let (sender, receiver) = watch::channel(());
    (StopGuard { _sender: sender }, StopSignal { receiver })
}

impl StopSignal {
    /// Waits until the [`StopGuard`] is dropped.
    pub async fn stopped(&mut self) {
        // No value is ever sent, so this ends only when the channel is closed.
        while self.receiver.changed().await.is_ok() {}
    }

    /// Returns whether the [`StopGuard`] has been dropped.
    pub fn is_stopped(&self) -> bool {
        self.receiver.has_changed().is_err()
    }
}
