//! Tests of `config_error`.
use super::*;

#[test]
fn places_in_lists_are_written_one_way() {
    assert_eq!(brackets("settings.classes.0.name"), "settings.classes[0].name");
    assert_eq!(brackets("settings.reporting.?.names"), "settings.reporting.names");
    assert_eq!(any_place("settings.classes[12].name"), "settings.classes[].name");
    assert_eq!(any_place("a[1].b[2]"), "a[].b[]");
}
