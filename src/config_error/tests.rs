//! Tests of `config_error`.
use super::*;

#[test]
fn keys_show_list_indices_in_brackets() {
    assert_eq!(with_brackets("settings.classes.0.name"), "settings.classes[0].name");
    assert_eq!(with_brackets("settings.reporting.?.names"), "settings.reporting.names");
    assert_eq!(without_indices("settings.classes[12].name"), "settings.classes[].name");
    assert_eq!(without_indices("a[1].b[2]"), "a[].b[]");
}
