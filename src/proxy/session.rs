//! Reports to the balancer what happens on an established connection: the load reports and reply times of its backend,
//! and how the connection ends.

use crate::api::{AttemptEnded, Event, Outcome, Request, ServerId};
use crate::protocol::client::BackendLine;
use crate::proxy::reply_tracker::ReplyTracker;
use crate::runtime::Runtime;
use crate::transfer::EstablishedConnection;
use std::rc::Rc;

/// The state of an established connection that is independent of its sockets.
pub struct Session {
    runtime: Rc<Runtime>,
    request: Request,
    server: ServerId,
    attempt: u32,
    /// Matches the backend's replies to the lines sent to it.
    pub replies: ReplyTracker,
    /// Whether the backend has sent a `LOAD` report on this connection.
    has_reported: bool,
    /// The outcome of the end that the backend has announced with `BYE` or `MOVE`.
    announced_outcome: Option<Outcome>,
    end_notified: bool,
}

impl Session {
    /// Continues from the saved state of the connection.
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

    /// Saves the state that another process needs to continue. The buffers are left empty.
    pub fn save(&self) -> EstablishedConnection {
        let mut connection = EstablishedConnection::new(self.request, self.server, self.attempt);
        connection.has_reported = self.has_reported;
        self.replies.save(&mut connection);
        connection
    }

    /// The runtime that the connection belongs to.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Handles one line of the backend, including its terminator.
    pub fn handle_backend_line(&mut self, line: &[u8]) {
        tracing::trace!(
            request = %self.request.id,
            server = %self.server,
            line = %String::from_utf8_lossy(line),
            oldest_unanswered = ?self.replies.oldest_unanswered_age(),
            "line from backend"
        );
        match BackendLine::parse(line) {
            BackendLine::Load(value) => self.report_value(value),
            BackendLine::Bye => self.announced_outcome = Some(Outcome::Success),
            BackendLine::Move => self.announced_outcome = Some(Outcome::Cancelled),
            BackendLine::Reply => self.report_reply(),
        }
    }

    fn report_value(&mut self, value: f64) {
        let is_first = !std::mem::replace(&mut self.has_reported, true);
        self.runtime
            .report_value(self.request.id, self.server, value, is_first);
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

    /// Whether the end of the connection has been reported to the balancer.
    pub fn is_end_notified(&self) -> bool {
        self.end_notified
    }

    /// Reports to the balancer that the backend has ended the connection: with the announced outcome, else as a reset.
    pub fn notify_backend_end(&mut self) {
        self.notify_end(self.announced_outcome.unwrap_or(Outcome::Reset));
    }

    /// Reports the end of the connection to the balancer with this outcome, unless an end was already reported.
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
            is_final: true,
        }));
    }

    /// Reports to the balancer that the client has left, and remembers its request if a second execution does harm. Does
    /// nothing if an end was already reported.
    pub fn notify_departure(&mut self) {
        if !self.end_notified && !self.runtime.may_execute_twice(self.request.class) {
            self.runtime.remember_departed(self.request.id);
        }
        self.notify_client_end();
    }

    /// Reports to the balancer that the connection has no client here any more, because the client has disconnected or
    /// the successor has taken the connection over. Does nothing if an end was already reported.
    pub fn notify_client_end(&mut self) {
        if std::mem::replace(&mut self.end_notified, true) {
            return;
        }
        let (id, server) = (self.request.id, self.server);
        tracing::debug!(request = %id, %server, "client disconnected or transferred");
        self.runtime.handle_event(Event::ClientDisconnected(id));
    }
}
