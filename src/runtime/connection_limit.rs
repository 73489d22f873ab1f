//! The descriptors that clients may take. When they run out, those that have not said what they want, or have
//! their answer already, give way to the others, the longest there first.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Descriptors kept for what is not a client's or its backend's, and for those that are being closed.
const SPARE: usize = 40;
/// Of these, clients that are turned away and may still speak.
const LINGERING: usize = 8;
/// What a client takes that waits for nothing but its own words or its end.
const IDLE: usize = 1;
/// What a client takes that is served: its own descriptor and its backend's.
const SERVED: usize = 2;

/// Who holds descriptors.
#[derive(Default)]
pub struct ConnectionLimit {
    held: Cell<usize>,
    lingering: Cell<usize>,
    /// One for each client that may be sent away; those whose other end is gone are out of date.
    idle: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// A spare descriptor, until it is dropped.
pub struct Lingering<'a>(&'a Cell<usize>);

impl Drop for Lingering<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A client's part of the room, until it is dropped.
pub struct ConnectionPermit {
    room: Rc<ConnectionLimit>,
    held: usize,
    /// Says when the client has to go; `None` while it is served.
    evict: Option<oneshot::Receiver<()>>,
}

impl ConnectionLimit {
    /// A place for a client that has said nothing yet; `None` if all room is taken by clients that are served.
    pub fn enter(self: &Rc<Self>, sockets: usize) -> Option<ConnectionPermit> {
        self.enter_of(sockets.saturating_sub(SPARE).max(SERVED))
    }

    /// A spare descriptor for one that is turned away; `None` where too many of them are taken.
    pub fn linger(&self) -> Option<Lingering<'_>> {
        let lingering = &self.lingering;
        (lingering.get() < LINGERING).then(|| {
            lingering.set(lingering.get() + 1);
            Lingering(lingering)
        })
    }

    /// The descriptors that are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// The place of a client that comes from another process of this balancer, whatever the room.
    pub fn take(self: &Rc<Self>, served: bool) -> ConnectionPermit {
        let mut place = ConnectionPermit {
            room: self.clone(),
            held: if served { SERVED } else { IDLE },
            evict: None,
        };
        self.held.set(self.held.get() + place.held);
        if !served {
            place.idle();
        }
        place
    }

    /// A place among so many descriptors.
    pub fn enter_of(self: &Rc<Self>, limit: usize) -> Option<ConnectionPermit> {
        let mut place = ConnectionPermit {
            room: self.clone(),
            held: 0,
            evict: None,
        };
        place.grow_to(IDLE, limit).then(|| {
            place.idle();
            place
        })
    }
}

impl ConnectionPermit {
    /// From here on the client is served and stays, unless all room is taken by others that do.
    pub fn serve(&mut self, sockets: usize) -> bool {
        self.evict = None;
        self.grow_to(SERVED, sockets.saturating_sub(SPARE).max(SERVED))
    }

    /// From here on the client may be sent away.
    pub fn idle(&mut self) {
        let held = &self.room.held;
        held.set(held.get() - (self.held - IDLE));
        self.held = IDLE;
        let (evict, evicted) = oneshot::channel();
        self.evict = Some(evicted);
        let mut idle = self.room.idle.borrow_mut();
        while idle.front().is_some_and(oneshot::Sender::is_closed) {
            idle.pop_front();
        }
        idle.push_back(evict);
    }

    /// Waits until the client has to go.
    pub async fn evicted(&mut self) {
        match &mut self.evict {
            Some(evicted) => drop(evicted.await),
            None => std::future::pending().await,
        }
    }

    fn grow_to(&mut self, wanted: usize, limit: usize) -> bool {
        let room = &self.room;
        let more = wanted.saturating_sub(self.held);
        if room.held.get() + more > limit {
            // The one that leaves gives its descriptor back a moment later: the spare ones bridge that.
            let mut idle = room.idle.borrow_mut();
            let gone = std::iter::from_fn(|| idle.pop_front()).find_map(|one| one.send(()).ok());
            if gone.is_none() {
                return false;
            }
        }
        room.held.set(room.held.get() + more);
        self.held += more;
        true
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.room.held.set(self.room.held.get() - self.held);
    }
}
