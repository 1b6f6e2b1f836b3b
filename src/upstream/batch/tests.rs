//! Tests of the results in the response to a batch.
use super::*;
use rstest::rstest;

/// Guards against a payout that ran twice: the last of two results for a message was believed.
#[rstest]
#[case::done_and_busy("m done\r\nm busy\r\n", Outcome::UnreadableAnswer)]
#[case::failed_and_used_up("m failed\r\nm used_up\r\n", Outcome::UnreadableAnswer)]
#[case::void_and_used_up("m void\r\nm used_up\r\n", Outcome::UnreadableAnswer)]
#[case::two_results_and_the_first_again("m done\r\nm busy\r\nm done\r\n", Outcome::UnreadableAnswer)]
#[case::the_same_result_twice("m done\r\nm done\r\n", Outcome::Ok)]
#[case::results_of_two_messages("m busy\r\nother done\r\n", Outcome::Rejected(None))]
fn contradictory_results_of_a_message_are_not_believed(#[case] body: &str, #[case] expected: Outcome) {
    let results = parse_results(body.as_bytes(), &HeaderMap::new());
    assert_eq!(results["m"].outcome, expected);
    assert!(!results["m"].is_message_over);
}

/// Guards against a lost message: a response that names a message which was not sent ended it.
#[test]
fn a_result_for_a_message_that_was_not_sent_is_ignored() {
    let mut results = HashMap::from([("unsent".to_string(), AttemptResult::from(Outcome::NotSent))]);
    add_results(&mut results, parse_results(b"unsent done\r\nsent done\r\n", &HeaderMap::new()));
    assert_eq!((results["unsent"].outcome, results["sent"].outcome), (Outcome::NotSent, Outcome::Ok));
}
