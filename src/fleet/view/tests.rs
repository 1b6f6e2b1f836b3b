//! Tests of `view`.
use super::*;

#[test]
fn the_table_has_a_line_per_member_and_the_json_round_trips() {
    let member = MemberView {
        name: "n1".into(),
        address: "127.0.0.1:1".into(),
        incarnation: 7,
        state: MemberState::Superseded,
        state_age_secs: 300.0,
        last_contact_secs_ago: Some(0.25),
        counted: true,
        attributes_age_secs: None,
        zone: String::new(),
        version: String::new(),
        settings_digest: "0".into(),
        settings_epoch: 0,
        list_version: 0,
        started: 0,
        side: PartitionSide::Unknown,
    };
    let view = FleetView {
        observer: "n0".into(),
        digest: "00ff".into(),
        agreed: false,
        side: PartitionSide::Minority,
        counted: 2,
        out_of_reach: 3,
        last_agreed: 5,
        members: vec![member],
    };
    let table = view.table();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[1].starts_with("n1    127.0.0.1:1  shut-out  5m   0.2s"), "{table}");
    assert!(lines[2]
        .contains("not agreed, digest 00ff, 2 counted, 3 out of reach, last agreed on 5, side: minority"));
    let text = serde_json::to_string(&view).expect("json");
    assert_eq!(serde_json::from_str::<FleetView>(&text).expect("json"), view);
}
