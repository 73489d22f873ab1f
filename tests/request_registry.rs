//! Registration of requests and delivery of their commands.

use spanspur::api::RequestId;
use spanspur::runtime::request_registry::{Command, RequestRegistry};
use std::rc::Rc;

const ID: RequestId = RequestId(7);

#[test]
fn an_id_is_in_use_until_its_registration_is_dropped() {
    let registry = Rc::new(RequestRegistry::default());
    let registration = registry.register(ID).expect("the id is free");
    assert!(registry.register(ID).is_none());
    drop(registration);
    assert!(registry.register(ID).is_some());
}

#[test]
fn a_command_reaches_only_the_request_with_its_id() {
    let registry = Rc::new(RequestRegistry::default());
    let (_registration, mut commands) = registry.register(ID).expect("the id is free");
    let (_other, mut other_commands) = registry.register(RequestId(8)).expect("the id is free");
    registry.send_command(ID, Command::Migrate);
    assert_eq!(commands.try_recv(), Ok(Command::Migrate));
    assert!(other_commands.try_recv().is_err());
}

#[test]
fn a_command_for_a_request_that_has_ended_is_dropped() {
    let registry = Rc::new(RequestRegistry::default());
    drop(registry.register(ID));
    registry.send_command(ID, Command::Fail);
    let (_registration, mut commands) = registry.register(ID).expect("the id is free");
    assert!(commands.try_recv().is_err());
}

#[test]
fn a_request_is_pending_until_it_is_established() {
    let registry = Rc::new(RequestRegistry::default());
    let _registration = registry.register(ID).expect("the id is free");
    assert_eq!(
        (registry.pending(), registry.established()),
        (vec![ID], vec![])
    );
    registry.mark_established(ID);
    assert_eq!(
        (registry.pending(), registry.established()),
        (vec![], vec![ID])
    );
}
