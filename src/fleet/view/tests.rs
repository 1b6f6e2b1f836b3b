//! Tests of `view`.
use super::*;

#[test]
fn the_table_has_a_line_a_member_and_the_json_reads_back() {
    let line = Line {
        name: "n1".into(),
        address: "127.0.0.1:1".into(),
        life: 7,
        state: State::ShutOut,
        for_secs: 300.0,
        heard_secs_ago: Some(0.25),
        counts: true,
        facts_secs_old: None,
        zone: String::new(),
        version: String::new(),
        config: "0".into(),
        epoch: 0,
        list: 0,
        started: 0,
        side: Side::Unknown,
    };
    let view = View {
        of: "n0".into(),
        digest: "00ff".into(),
        agreed: false,
        side: Side::Minority,
        counted: 2,
        out_of_reach: 3,
        last_agreed: 5,
        members: vec![line],
    };
    let table = view.table();
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[1].starts_with("n1    127.0.0.1:1  shut-out  5m   0.2s"), "{table}");
    assert!(lines[2]
        .contains("not agreed, digest 00ff, 2 counted, 3 out of reach, last agreed on 5, side: minority"));
    let text = serde_json::to_string(&view).expect("json");
    assert_eq!(serde_json::from_str::<View>(&text).expect("json"), view);
}
