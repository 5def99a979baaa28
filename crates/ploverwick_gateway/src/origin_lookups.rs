//! The lookups of stream origins that wait for replies of other instances.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Mutex, MutexGuard};

use ploverwick_endpoints::lookup::Reply;
use tokio::sync::mpsc;

/// The replies to a lookup, with the instance that sent each.
pub(crate) type Replies = mpsc::UnboundedReceiver<(IpAddr, Reply)>;

/// The lookups that wait for replies.
#[derive(Debug)]
pub(crate) struct OriginLookups(Mutex<State>);

#[derive(Debug)]
struct State {
    pending: HashMap<u64, mpsc::UnboundedSender<(IpAddr, Reply)>>,
    next_id: u64,
}

impl OriginLookups {
    /// Numbers the lookups from `first_id`, which differs between the processes of an instance, so that none takes replies
    /// to an earlier one.
    pub(crate) fn new(first_id: u64) -> Self {
        Self(Mutex::new(State {
            pending: HashMap::new(),
            next_id: first_id,
        }))
    }

    /// Starts a lookup. It ends when the returned guard is dropped.
    pub(crate) fn start(&self) -> (LookupGuard<'_>, Replies) {
        let (sender, replies) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id = id.wrapping_add(1);
        state.pending.insert(id, sender);
        (LookupGuard { lookups: self, id }, replies)
    }

    /// Passes a reply to its lookup. A reply to a lookup that has ended is dropped.
    pub(crate) fn handle_reply(&self, id: u64, from: IpAddr, reply: Reply) {
        if let Some(sender) = self.lock().pending.get(&id) {
            // The lookup may end at the same time.
            sender.send((from, reply)).ok();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

/// Ends a lookup when dropped.
#[derive(Debug)]
pub(crate) struct LookupGuard<'a> {
    lookups: &'a OriginLookups,
    /// Identifies the lookup in messages.
    pub(crate) id: u64,
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.lookups.lock().pending.remove(&self.id);
    }
}
