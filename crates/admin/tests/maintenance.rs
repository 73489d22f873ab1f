//! The servers under maintenance.

use spanspur_admin::maintenance::{
    EndpointOverride, MAX_ENTRIES, MaintenanceError, MaintenanceSet,
};

fn set_with_listed(ids: &[u64]) -> MaintenanceSet {
    let mut set = MaintenanceSet::default();
    ids.iter().for_each(|id| set.record_listed(*id));
    set
}

#[test]
fn a_server_drains_until_attached_and_then_counts_as_just_started_until_the_list_has_its_new_start()
{
    let mut set = set_with_listed(&[1]);
    assert_eq!(set.detach("b", 2, 5.0), Err(MaintenanceError::NeverListed));
    assert_eq!(set.attach("b", 2, 5.0), Err(MaintenanceError::NeverListed));
    assert_eq!(set.detach("a", 1, 10.0), Ok(true));
    assert_eq!(set.detach("a", 1, 11.0), Ok(false));
    assert!(set.override_for(1, 12.0, 13.0, 24.0).draining);
    assert_eq!(set.attach("a", 1, 20.0), Ok(true));
    assert_eq!(set.attach("a", 1, 21.0), Ok(false));
    let override_at = |listed_start, now| set.override_for(1, listed_start, now, 24.0);
    assert_eq!(
        override_at(0.0, 21.0),
        EndpointOverride {
            draining: false,
            started: 20.0
        }
    );
    assert_eq!(override_at(14.0, 21.0).started, 14.0);
    assert_eq!(override_at(0.0, 44.0).started, 0.0);
}

#[test]
fn merge_keeps_the_last_change_to_each_server() {
    let mut old_process = set_with_listed(&[1, 2]);
    old_process.detach("a", 1, 1.0).expect("listed");
    old_process.detach("b", 2, 1.0).expect("listed");
    let mut new_process = MaintenanceSet::parse(old_process.to_text().as_bytes()).expect("whole");
    new_process.attach("a", 1, 2.0).expect("known");
    old_process.attach("b", 2, 3.0).expect("listed");
    assert!(new_process.merge(&old_process) && old_process.merge(&new_process));
    assert!(!new_process.merge(&old_process) && !old_process.merge(&new_process));
    assert_eq!(
        (old_process.names().count(), new_process.names().count()),
        (0, 0)
    );
}

#[test]
fn truncated_files_are_rejected_and_a_newer_version_is_reported() {
    let mut set = set_with_listed(&[1, 7]);
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
    let mut parsed = MaintenanceSet::parse(text.as_bytes()).expect("whole");
    assert!(parsed.is_under_maintenance(1) && parsed.attach("g", 7, 2.0).is_ok());
}

#[test]
fn the_number_of_servers_under_maintenance_is_limited() {
    let mut set = set_with_listed(&(0..=MAX_ENTRIES as u64).collect::<Vec<_>>());
    let detach = |set: &mut MaintenanceSet, id: u64| set.detach(&format!("s-{id}"), id, id as f64);
    for id in 0..MAX_ENTRIES as u64 {
        assert_eq!(detach(&mut set, id), Ok(true));
    }
    let next_id = MAX_ENTRIES as u64;
    assert_eq!(detach(&mut set, next_id), Err(MaintenanceError::TooMany));
    set.attach("s-3", 3, 9e9).expect("known");
    assert_eq!(detach(&mut set, next_id), Ok(true));
    assert!(set.is_under_maintenance(2) && !set.is_under_maintenance(3));
}
