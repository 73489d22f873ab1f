//! The servers under maintenance.

use spanspur_admin::maintenance::{
    EndpointOverride, MAX_ENTRIES, MaintenanceError, MaintenanceSet,
};

fn listed(ids: &[u64]) -> MaintenanceSet {
    let mut set = MaintenanceSet::default();
    ids.iter().for_each(|id| set.record_listed(*id));
    set
}

#[test]
fn a_server_drains_until_attached_and_then_warms_up_until_the_list_names_a_newer_start() {
    let mut set = listed(&[1]);
    assert_eq!(set.detach("b", 2, 5.0), Err(MaintenanceError::NeverListed));
    assert_eq!(set.attach("b", 2, 5.0), Err(MaintenanceError::NeverListed));
    assert_eq!(set.detach("a", 1, 10.0), Ok(true));
    assert_eq!(set.detach("a", 1, 11.0), Ok(false));
    assert!(set.override_for(1, 12.0, 13.0, 24.0).draining);
    assert_eq!(set.attach("a", 1, 20.0), Ok(true));
    assert_eq!(set.attach("a", 1, 21.0), Ok(false));
    let back = |listed, now| set.override_for(1, listed, now, 24.0);
    assert_eq!(
        back(0.0, 21.0),
        EndpointOverride {
            draining: false,
            started: 20.0
        }
    );
    assert_eq!(back(14.0, 21.0).started, 14.0);
    assert_eq!(back(0.0, 44.0).started, 0.0);
}

#[test]
fn the_last_change_counts_whichever_process_made_it() {
    let mut old = listed(&[1, 2]);
    old.detach("a", 1, 1.0).expect("listed");
    old.detach("b", 2, 1.0).expect("listed");
    let mut new = MaintenanceSet::parse(old.to_text().as_bytes()).expect("whole");
    new.attach("a", 1, 2.0).expect("known");
    old.attach("b", 2, 3.0).expect("listed");
    assert!(new.merge(&old) && old.merge(&new));
    assert!(!new.merge(&old) && !old.merge(&new));
    assert_eq!((old.names().count(), new.names().count()), (0, 0));
}

#[test]
fn no_part_of_a_file_is_accepted_and_a_newer_version_is_named() {
    let mut set = listed(&[1, 7]);
    set.detach("a", 1, 1.0).expect("listed");
    let text = set.to_text();
    for end in 0..text.len() {
        assert!(
            MaintenanceSet::parse(&text.as_bytes()[..end]).is_err(),
            "{end}"
        );
    }
    let newer = text.replacen(" 1 ", " 2 ", 1);
    assert!(
        MaintenanceSet::parse(newer.as_bytes())
            .expect_err("newer")
            .to_string()
            .contains("version 2")
    );
    let mut read = MaintenanceSet::parse(text.as_bytes()).expect("whole");
    assert!(read.is_under_maintenance(1) && read.attach("g", 7, 2.0).is_ok());
}

#[test]
fn the_number_of_servers_under_maintenance_is_limited() {
    let mut set = listed(&(0..=MAX_ENTRIES as u64).collect::<Vec<_>>());
    let take = |set: &mut MaintenanceSet, id: u64| set.detach(&format!("s-{id}"), id, id as f64);
    for id in 0..MAX_ENTRIES as u64 {
        assert_eq!(take(&mut set, id), Ok(true));
    }
    let more = MAX_ENTRIES as u64;
    assert_eq!(take(&mut set, more), Err(MaintenanceError::TooMany));
    set.attach("s-3", 3, 9e9).expect("known");
    assert_eq!(take(&mut set, more), Ok(true));
    assert!(set.is_under_maintenance(2) && !set.is_under_maintenance(3));
}
