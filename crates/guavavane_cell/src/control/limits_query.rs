//! Answers entries that ask for the limits on callers' requests, and tells them of changes.

use std::sync::Arc;

use super::engine::ControlEngine;
use super::input::CallOrigin;
use super::session::SessionId;
use crate::message::CallerReply;

impl ControlEngine {
    /// Answers an entry that asks for the limits, now if there is a configuration, and whenever they have
    /// changed.
    pub(super) fn serve_limits_query(&mut self, origin: CallOrigin) {
        if self.settings.read_limits.is_none() {
            return self.reply(origin, CallerReply::NoQueue);
        }
        self.publish_changed_limits();
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let sessions = &state.sessions;
        let feed = &mut state.limits_feed;
        feed.retain_open(|session| sessions.contains_key(&session));
        feed.subscribe(origin.session, origin.call_id);
        let limits = feed.limits();
        let reply = limits.map_or(CallerReply::Unavailable, CallerReply::Limits);
        self.reply(origin, reply);
    }

    /// Sends the limits to all entries that have asked for them, if they have changed.
    pub(super) fn publish_changed_limits(&mut self) {
        let Some(read_limits) = self.settings.read_limits else {
            return;
        };
        let text = self
            .quorum
            .read_local(|ledger| Arc::clone(ledger.catalog_text()));
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if !state.limits_feed.update(&text, read_limits) {
            return;
        }
        let Some(limits) = state.limits_feed.limits() else {
            return;
        };
        let subscribers: Vec<(SessionId, u64)> = state.limits_feed.subscribers().collect();
        tracing::info!(
            event = "limits_changed",
            ?limits,
            entries = subscribers.len()
        );
        for (session, call_id) in subscribers {
            self.reply(CallOrigin { session, call_id }, CallerReply::Limits(limits));
        }
    }
}
