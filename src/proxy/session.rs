//! An established connection as the balancer knows it: what its backend says on it, and how it ends.

use crate::api::{AttemptEnded, Event, Outcome, Request, ServerId};
use crate::protocol::client::Said;
use crate::proxy::reply_tracker::ReplyTracker;
use crate::runtime::Runtime;
use crate::transfer::EstablishedConnection;
use std::rc::Rc;

/// What is known of an established connection.
pub struct Session {
    runtime: Rc<Runtime>,
    request: Request,
    server: ServerId,
    attempt: u32,
    /// The lines sent to the backend and its replies.
    pub replies: ReplyTracker,
    /// The backend has reported a figure on this connection.
    has_reported: bool,
    announced_outcome: Option<Outcome>,
    end_notified: bool,
}

impl Session {
    /// Continues from what is known of the connection.
    pub fn new(runtime: Rc<Runtime>, connection: &EstablishedConnection) -> Self {
        Self {
            runtime,
            request: connection.request,
            server: connection.server,
            attempt: connection.attempt,
            replies: ReplyTracker::new(connection),
            has_reported: connection.has_reported,
            announced_outcome: None,
            end_notified: false,
        }
    }

    /// What another process needs to continue, with nothing in the buffers.
    pub fn save(&self) -> EstablishedConnection {
        let mut connection = EstablishedConnection::new(self.request, self.server, self.attempt);
        connection.has_reported = self.has_reported;
        self.replies.save(&mut connection);
        connection
    }

    /// The runtime that it belongs to.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Handles one line of the backend, its end included.
    pub fn handle_backend_line(&mut self, line: &[u8]) {
        tracing::trace!(
            request = %self.request.id,
            server = %self.server,
            line = %String::from_utf8_lossy(line),
            oldest_unanswered = ?self.replies.oldest_unanswered_age(),
            "line from backend"
        );
        match Said::parse(line) {
            Said::Load(figure) => self.report_figure(figure),
            Said::Bye => self.announced_outcome = Some(Outcome::Success),
            Said::Move => self.announced_outcome = Some(Outcome::Cancelled),
            Said::Reply => self.report_reply(),
        }
    }

    fn report_figure(&mut self, figure: f64) {
        let first = !std::mem::replace(&mut self.has_reported, true);
        self.runtime
            .report_figure(self.request.id, self.server, figure, first);
    }

    fn report_reply(&mut self) {
        if let Some(time) = self.replies.take_reply() {
            self.runtime
                .report_message_time(self.server, time.as_secs_f64());
        }
    }

    /// Whether the backend has announced how it ends the connection.
    pub fn is_end_announced(&self) -> bool {
        self.announced_outcome.is_some()
    }

    /// Whether the balancer has been told that the connection is over.
    pub fn is_end_notified(&self) -> bool {
        self.end_notified
    }

    /// Tells the balancer that the backend has ended the connection: as announced, else by a reset.
    pub fn notify_backend_end(&mut self) {
        self.notify_end(self.announced_outcome.unwrap_or(Outcome::Reset));
    }

    /// Tells the balancer, once, that the backend's side is over.
    pub fn notify_end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.end_notified, true) {
            return;
        }
        let (id, server) = (self.request.id, self.server);
        tracing::debug!(request = %id, %server, ?outcome, "connection ended");
        self.runtime.handle_event(Event::AttemptEnded(AttemptEnded {
            id,
            attempt: self.attempt,
            server,
            outcome,
            settled: true,
        }));
    }

    /// Tells the balancer, once, that the client's side is over.
    pub fn notify_client_end(&mut self) {
        if std::mem::replace(&mut self.end_notified, true) {
            return;
        }
        let (id, server) = (self.request.id, self.server);
        tracing::debug!(request = %id, %server, "client disconnected");
        self.runtime.handle_event(Event::ClientDisconnected(id));
    }
}
