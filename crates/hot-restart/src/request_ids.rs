//! Claims of request ids: while two processes of a balancer serve clients, neither may serve an id that the other serves.
//! Each asks the other before it serves a request.
//!
//! [`ClaimTable`] is the state of one process for one link. It relies on the order of the link: an answer arrives before
//! any claim that the other process makes after it.

use std::collections::HashMap;

/// A request id, as it is on the link.
pub type RequestId = u64;

/// The role of a process on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The older process. If both processes claim an id at the same time, it is granted to this one.
    Predecessor,
    /// The newer process.
    Successor,
}

/// A claim that has been sent and not been ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Claim {
    number: u64,
    granted: bool,
}

/// The claims that this process has made on a link.
#[derive(Debug)]
pub struct ClaimTable {
    role: Role,
    claims: HashMap<RequestId, Claim>,
    next_number: u64,
}

impl ClaimTable {
    /// Creates a table without claims.
    pub fn new(role: Role) -> Self {
        Self {
            role,
            claims: HashMap::new(),
            next_number: 0,
        }
    }

    /// Begins a claim and returns its number, or `None` if this process already claims the id for another request.
    pub fn begin(&mut self, id: RequestId) -> Option<u64> {
        if self.claims.contains_key(&id) {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let granted = false;
        self.claims.insert(id, Claim { number, granted });
        Some(number)
    }

    /// Records that the other process has granted a claim. Ignored if the claim has ended meanwhile.
    pub fn record_grant(&mut self, number: u64) {
        let mut claims = self.claims.values_mut();
        if let Some(claim) = claims.find(|claim| claim.number == number) {
            claim.granted = true;
        }
    }

    /// Ends a claim: the request is registered in this process, or is not served.
    pub fn end(&mut self, id: RequestId) {
        self.claims.remove(&id);
    }

    /// Decides a claim of the other process. `registered_here` tells whether this process serves a request with the id.
    pub fn decide(&self, id: RequestId, registered_here: bool) -> bool {
        if registered_here {
            return false;
        }
        match self.claims.get(&id) {
            None => true,
            Some(claim) if claim.granted => false,
            // Both processes claim the id, and neither has an answer.
            Some(_) => self.role == Role::Successor,
        }
    }
}
