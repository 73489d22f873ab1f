//! The balancer on real sockets.

fn main() {}
