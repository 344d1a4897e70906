//! Limits on callers' requests that the leader sends to the entries that have asked for them.
//!
//! The configuration is in the ledger as the operator sent it. The limits are derived from its text,
//! which may have megabytes, so they are derived once for each text and not for each entry that asks:
//! after an election all entries ask at the same time. An entry gets them again only if they differ,
//! since most configurations change only queues.

use std::hash::Hash;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::message::RequestLimits;

/// Function that derives the limits from the text of a configuration. The text is the operator's, so
/// the function must accept any.
pub type LimitsReader = fn(&str) -> RequestLimits;

/// Limits in force and the sessions that have asked for them; `S` identifies a session.
#[derive(Clone, Debug)]
pub struct LimitsFeed<S> {
    /// Text that the limits were derived from.
    text: Option<Arc<str>>,
    limits: Option<RequestLimits>,
    /// Number of the request with which each session has asked.
    subscribers: IndexMap<S, u64>,
}

impl<S> Default for LimitsFeed<S> {
    fn default() -> Self {
        Self {
            text: None,
            limits: None,
            subscribers: IndexMap::new(),
        }
    }
}

impl<S: Copy + Eq + Hash> LimitsFeed<S> {
    /// Derives the limits if the text is a new one, and returns whether they have changed. The empty text
    /// means that there is no configuration yet.
    pub fn update(&mut self, text: &Arc<str>, read: LimitsReader) -> bool {
        let is_known = self
            .text
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, text));
        if is_known || text.is_empty() {
            return false;
        }
        self.text = Some(Arc::clone(text));
        let limits = Some(read(text));
        let has_changed = self.limits != limits;
        self.limits = limits;
        has_changed
    }

    /// Adds a session, or replaces the number of its request.
    pub fn subscribe(&mut self, session: S, call_id: u64) {
        self.subscribers.insert(session, call_id);
    }

    /// Removes the sessions that are closed.
    pub fn retain_open(&mut self, is_open: impl Fn(S) -> bool) {
        self.subscribers.retain(|session, _| is_open(*session));
    }

    /// Limits in force; none before the first configuration.
    pub fn limits(&self) -> Option<RequestLimits> {
        self.limits
    }

    /// Sessions that have asked, with the numbers of their requests.
    pub fn subscribers(&self) -> impl Iterator<Item = (S, u64)> + '_ {
        self.subscribers.iter().map(|(session, id)| (*session, *id))
    }
}
