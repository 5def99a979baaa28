//! A channel whose closing ends tasks.

use tokio::sync::watch;

/// Ends every task that holds a matching [`Stop`], once this is dropped.
#[derive(Debug)]
pub struct Stopper {
    _sender: watch::Sender<()>,
}

/// Waits for its [`Stopper`] to be dropped.
#[derive(Debug, Clone)]
pub struct Stop {
    receiver: watch::Receiver<()>,
}

/// Makes a channel whose closing ends tasks.
pub fn stop() -> (Stopper, Stop) {
    let (sender, receiver) = watch::channel(());
    (Stopper { _sender: sender }, Stop { receiver })
}

impl Stop {
    /// Returns once the [`Stopper`] is dropped.
    pub async fn stopped(&mut self) {
        // Nothing is ever sent, so a change can only be the closing.
        while self.receiver.changed().await.is_ok() {}
    }

    /// Says whether the [`Stopper`] is dropped.
    pub fn is_stopped(&self) -> bool {
        self.receiver.has_changed().is_err()
    }
}
