//! A courier without messages keeps each change of the list on file as soon as it is in force: a kill may come at any time, and
//! discovery may be silent at the next start.

mod common;

use std::fs;
use std::thread;
use std::time::Duration;

use common::{wait_until, Courier, Endpoint, Platform, Reply};
use meadowhold::interface::Time;
use meadowhold_courier::memory::load;

const ALLOWANCE: u64 = 3_000_000;
/// Long enough for a change to reach the courier, and much shorter than a second.
const BETWEEN_CHANGES: Duration = Duration::from_millis(300);
const QUIET_TIME: Duration = Duration::from_millis(1200);

fn version_on_file(courier: &Courier) -> u64 {
    load(&courier.folder.path.join("state"), ALLOWANCE, Time::MAX / 2).map_or(0, |memory| memory.index)
}

fn version_of(platform: &Platform) -> u64 {
    platform.list_json()["index"].as_u64().unwrap()
}

fn platform_at(endpoint: &Endpoint) -> Platform {
    let platform = Platform::new();
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    platform
}

/// Guards against messages at the endpoint of another destination after a kill: of two changes within a second the later one
/// was not kept while no message was in hand.
#[test]
fn each_of_several_changes_within_a_second_is_on_file_without_messages() {
    let endpoint = Endpoint::new(&[]);
    let platform = platform_at(&endpoint);
    let mut courier = Courier::start(&platform, |_| {});
    wait_until("the first list", || version_on_file(&courier) == version_of(&platform));
    for _ in 0..3 {
        platform.set_entry("e2", endpoint.address, "single", 8, "SERVING");
        thread::sleep(BETWEEN_CHANGES);
        assert_eq!(version_on_file(&courier), version_of(&platform));
    }
    // The next process goes by the file: the endpoint's name is known, its destination has moved.
    platform.state.lock().unwrap().watches_silent = true;
    courier.kill();
    assert_eq!(version_on_file(&courier), version_of(&platform));
}

/// Guards against a list that is never kept because one write of it failed.
#[test]
fn a_list_whose_write_failed_is_written_again_without_another_change() {
    let endpoint = Endpoint::new(&[Reply::NoAnswer]);
    let platform = platform_at(&endpoint);
    let courier = Courier::start(&platform, |_| {});
    wait_until("the first list", || version_on_file(&courier) == version_of(&platform));
    let before = version_of(&platform);
    // Whatever pause there may be behind a write is over.
    thread::sleep(QUIET_TIME);
    let obstacle = courier.folder.path.join("state/memory.new");
    fs::create_dir(&obstacle).unwrap();
    platform.set_entry("e2", endpoint.address, "single", 8, "SERVING");
    // In force all the same: messages for the new destination are accepted.
    thread::sleep(BETWEEN_CHANGES);
    assert_eq!(version_on_file(&courier), before, "the write fails");
    let request = String::from_utf8(common::put("0", "a1", "again", "d=4000", b"hello")).unwrap();
    let answer = courier.client().request(request.replace("dest=7", "dest=8").as_bytes());
    assert_eq!(answer, "+OK", "the list is in force");
    fs::remove_dir(&obstacle).unwrap();
    wait_until("the list on file", || version_on_file(&courier) == version_of(&platform));
}
