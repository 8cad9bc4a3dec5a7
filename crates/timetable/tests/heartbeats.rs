//! What an endpoint's heartbeat may hold of keys, and what is turned away.

use timetable::fleet::Beat;
use timetable::shards::KeyRange;
use trackbed::ids::{InstanceId, ZoneName};

fn read(more: &str) -> Result<Beat, &'static str> {
    let body = format!(
        r#"{{"service_name":"s","address":"10.0.0.1:80","zone":"z","version":"v1","capacity_slots":6,"lifecycle_state":"ready",
        "cold_remaining_s":0,"sequence":4{more}}}"#
    );
    Beat::read(InstanceId::new("i"), body.as_bytes(), None, &ZoneName::new("z"))
}

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange::new(first, last).unwrap()
}

#[test]
fn keys_held_and_released_are_read() {
    let beat = read("").unwrap();
    assert!(beat.holds.is_empty() && beat.released.is_empty());
    let beat = read(r#","holds":null,"released":[]"#).unwrap();
    assert!(beat.holds.is_empty() && beat.released.is_empty());
    let beat = read(r#","holds":[[0,4095,7],[4090,65535,9007199254740991]],"released":[[4096,8191,"5c0e"]]"#).unwrap();
    assert_eq!(beat.holds, [(range(0, 4095), 7), (range(4090, 65535), 9_007_199_254_740_991)]);
    assert_eq!(beat.released, [(range(4096, 8191), "5c0e".to_owned())]);
}

#[test]
fn rows_that_say_nothing_clear_are_turned_away_with_the_field_s_name() {
    let bad = [
        r#"[[0,65536,7]]"#,
        r#"[[5,4,7]]"#,
        r#"[[-1,4,7]]"#,
        r#"[[0,4]]"#,
        r#"[[0,4,"7"]]"#,
        r#"[0,4,7]"#,
        r#"{"0":4}"#,
        r#"[[0.5,4,7]]"#,
        r#""all""#,
    ];
    for rows in bad {
        let error = read(&format!(r#","holds":{rows}"#)).unwrap_err();
        assert!(error.starts_with("holds "), "{rows}: {error}");
    }
    for rows in [r#"[[0,4,7]]"#, r#"[[0,65536,"h"]]"#, r#"[[9,4,"h"]]"#] {
        let error = read(&format!(r#","released":{rows}"#)).unwrap_err();
        assert!(error.starts_with("released "), "{rows}: {error}");
    }
}
