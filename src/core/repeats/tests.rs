//! Tests of repeated requests: each way in which a message ends, is refused or is withdrawn while its repeat comes in.
use super::*;
use crate::core::test_forwarder::{configured, request, Forwarder, STARTED};
use crate::core::{Attempt, Input, ListDelivery, Output};
use crate::interface::{Nanos, Outcome};
use rstest::rstest;

/// Index of the class whose messages must not run twice.
const AT_MOST_ONCE_CLASS: usize = 2;
/// An index that no class has: the decision module refuses such a message.
const UNKNOWN_CLASS: usize = 99;
const STEP: f64 = 0.01;

fn start() -> Forwarder {
    Forwarder::start(ListDelivery::Delayed)
}

/// Returns a request for the message `m`.
fn submit(forwarder: &mut Forwarder) -> (MessageId, Input) {
    submit_class(forwarder, request("m", STARTED).class)
}

fn submit_class(forwarder: &mut Forwarder, class: usize) -> (MessageId, Input) {
    let context = RequestContext { class, ..request("m", STARTED) };
    let id = forwarder.core.next_id();
    (id, Input::Submitted { id, context })
}

/// Returns the answer to this request.
fn answer_to(request: MessageId, outputs: &[Output]) -> Option<Answer> {
    outputs.iter().find_map(|output| match output {
        Output::Answer { request: id, answer, .. } if *id == request => Some(*answer),
        _ => None,
    })
}

fn attempts(outputs: &[Output]) -> Vec<Attempt> {
    let calls = outputs.iter().filter_map(|output| match output {
        Output::Call(attempts) => Some(attempts.clone()),
        _ => None,
    });
    calls.flatten().collect()
}

fn is_rejected(answer: Option<Answer>) -> bool {
    matches!(answer, Some(Answer::Reject(_)))
}

fn ended(attempt: &Attempt, outcome: Outcome, over: bool) -> Input {
    Input::AttemptEnded { id: attempt.id, attempt: attempt.attempt, outcome, over, report: None }
}

/// Accepts the message `m` and returns its attempt, whose first byte is sent.
fn start_attempt(forwarder: &mut Forwarder, class: usize) -> Attempt {
    start_attempt_of(forwarder, RequestContext { class, ..request("m", STARTED) })
}

/// Accepts a message and returns its attempt, whose first byte is sent.
fn start_attempt_of(forwarder: &mut Forwarder, context: RequestContext) -> Attempt {
    let id = forwarder.core.next_id();
    let outputs = forwarder.step(vec![Input::Submitted { id, context }]);
    assert_eq!(answer_to(id, &outputs), Some(Answer::Accepted));
    let attempt = attempts(&outputs).pop().expect("an attempt");
    assert!(forwarder.core.may_send(forwarder.now, attempt.id, attempt.attempt));
    forwarder.now = forwarder.now + STEP;
    attempt
}

fn is_open(forwarder: &Forwarder) -> bool {
    let id = forwarder.core.pending.id_by_name("m");
    id.and_then(|id| forwarder.core.pending.get_open(id)).is_some()
}

/// Guards against lost messages (issue 57): of several clients that were told 202, one that had disconnected withdrew the message.
#[rstest]
#[case::the_first_of_two(2, &[0], true)]
#[case::the_repeat(2, &[1], true)]
#[case::both(2, &[0, 1], false)]
#[case::two_of_three(3, &[0, 1], true)]
#[case::all_of_three(3, &[2, 0, 1], false)]
#[case::the_only_one(1, &[0], false)]
fn a_message_is_withdrawn_only_with_its_last_client(
    #[case] copies: usize, #[case] gone: &[usize], #[case] is_kept: bool,
) {
    let mut forwarder = start();
    let (requests, inputs): (Vec<MessageId>, Vec<Input>) =
        (0..copies).map(|_| submit(&mut forwarder)).unzip();
    let outputs = forwarder.step(inputs);
    assert!(requests.iter().all(|id| answer_to(*id, &outputs) == Some(Answer::Accepted)), "{outputs:?}");
    let message_of = |request: MessageId| {
        outputs.iter().find_map(|output| match output {
            Output::Answer { request: id, message, .. } if *id == request => Some(*message),
            _ => None,
        })
    };
    let disconnects = gone.iter().filter_map(|copy| message_of(requests[*copy]));
    let disconnects: Vec<Input> = disconnects.map(Input::ClientDisconnected).collect();
    forwarder.step(disconnects);
    assert_eq!(is_open(&forwarder), is_kept);
    let attempt = attempts(&outputs).pop().expect("an attempt");
    assert_eq!(forwarder.core.may_send(forwarder.now, attempt.id, attempt.attempt), is_kept);
}

/// Guards against lost messages: a repeat whose client disconnected withdrew a message whose first client had its 202.
#[test]
fn a_repeat_in_a_later_step_does_not_withdraw_the_message_of_the_first_client() {
    let mut forwarder = start();
    let (_, first) = submit(&mut forwarder);
    forwarder.step(vec![first]);
    let (_, repeat) = submit(&mut forwarder);
    let outputs = forwarder.step(vec![repeat]);
    let [Output::Answer { message, answer: Answer::Accepted, .. }] = outputs[..] else {
        panic!("{outputs:?}")
    };
    forwarder.step(vec![Input::ClientDisconnected(message)]);
    assert!(is_open(&forwarder));
}

/// Guards against lost messages: the client of an earlier process counts, although this process never answered it.
#[test]
fn a_repeat_after_a_restart_does_not_withdraw_the_message_of_the_earlier_process() {
    let mut forwarder = start();
    let (_, first) = submit(&mut forwarder);
    forwarder.step(vec![first]);
    forwarder.restart(configured(1), ListDelivery::Delayed);
    let (id, repeat) = submit(&mut forwarder);
    let outputs = forwarder.step(vec![repeat]);
    assert_eq!(answer_to(id, &outputs), Some(Answer::Accepted));
    let message = forwarder.core.pending.id_by_name("m").expect("a pending message");
    forwarder.step(vec![Input::ClientDisconnected(message)]);
    assert!(is_open(&forwarder));
}

/// Guards against lost messages (issue 57): the message was withdrawn and its attempt had not ended yet, and a repeat was
/// answered with 202 for it.
#[test]
fn a_repeat_of_a_withdrawn_message_is_a_new_message() {
    let mut forwarder = start();
    let (first, input) = submit(&mut forwarder);
    let outputs = forwarder.step(vec![input]);
    let withdrawn = attempts(&outputs).pop().expect("an attempt");
    forwarder.step(vec![Input::ClientDisconnected(first)]);
    let (second, input) = submit(&mut forwarder);
    let mut outputs = forwarder.step(vec![input]);
    assert_eq!(answer_to(second, &outputs), Some(Answer::Accepted));
    assert!(!forwarder.core.may_send(forwarder.now, withdrawn.id, withdrawn.attempt));
    outputs.extend(forwarder.step(vec![ended(&withdrawn, Outcome::NotSent, false)]));
    let attempt = attempts(&outputs).into_iter().find(|attempt| attempt.id == second);
    let attempt = attempt.expect("an attempt of the new message");
    assert!(forwarder.core.may_send(forwarder.now, attempt.id, attempt.attempt));
    forwarder.step(vec![ended(&attempt, Outcome::Ok, false)]);
    assert!(forwarder.core.pending.is_empty());
    // A restart finds neither message again.
    forwarder.restart(configured(1), ListDelivery::Delayed);
    assert!(forwarder.core.pending.is_empty());
}

/// Guards against a second run: a withdrawn message that may have been sent is not accepted as a new one.
#[test]
fn a_repeat_of_a_withdrawn_message_is_rejected_while_it_may_run() {
    let mut forwarder = start();
    let attempt = start_attempt(&mut forwarder, AT_MOST_ONCE_CLASS);
    forwarder.core.complete(attempt.id, Completion::Withdrawn);
    let (id, repeat) = submit_class(&mut forwarder, AT_MOST_ONCE_CLASS);
    assert!(is_rejected(answer_to(id, &forwarder.step(vec![repeat]))));
}

/// Guards against a 202 for a message that the decision module refuses in the same step.
#[test]
fn a_repeat_in_the_step_in_which_the_message_is_refused_gets_the_same_answer() {
    let mut forwarder = start();
    let (first, input) = submit_class(&mut forwarder, UNKNOWN_CLASS);
    let (second, repeat) = submit_class(&mut forwarder, UNKNOWN_CLASS);
    let outputs = forwarder.step(vec![input, repeat]);
    assert!(is_rejected(answer_to(first, &outputs)), "{outputs:?}");
    assert_eq!(answer_to(second, &outputs), answer_to(first, &outputs));
    assert!(forwarder.core.pending.is_empty());
}

/// Guards against a 202 for a message that is not in the journal.
#[test]
fn a_repeat_in_the_step_in_which_the_journal_fails_is_rejected_like_its_first_copy() {
    let mut forwarder = start();
    forwarder.disk.fail_all();
    let (first, input) = submit(&mut forwarder);
    let (second, repeat) = submit(&mut forwarder);
    let outputs = forwarder.step(vec![input, repeat]);
    assert!(is_rejected(answer_to(first, &outputs)) && is_rejected(answer_to(second, &outputs)));
    assert!(forwarder.core.pending.is_empty());
}

/// Guards against a 202 for a message that ends in the same step, whose outcome then goes to nobody.
#[rstest]
#[case::delivered(Outcome::Ok, false, Some(Answer::Delivered))]
#[case::undeliverable(Outcome::Reset, false, Some(Answer::Failed))]
#[case::over_at_the_endpoint(Outcome::Skipped, true, None)]
fn a_repeat_in_the_step_in_which_the_message_ends_gets_its_outcome(
    #[case] outcome: Outcome, #[case] over: bool, #[case] expected: Option<Answer>,
) {
    let mut forwarder = start();
    let attempt = start_attempt(&mut forwarder, AT_MOST_ONCE_CLASS);
    let (id, repeat) = submit_class(&mut forwarder, AT_MOST_ONCE_CLASS);
    let outputs = forwarder.step(vec![repeat, ended(&attempt, outcome, over)]);
    match expected {
        Some(answer) => assert_eq!(answer_to(id, &outputs), Some(answer)),
        None => assert!(is_rejected(answer_to(id, &outputs)), "{outputs:?}"),
    }
}

/// Guards against a 202 for a message whose callback may already be with the client: nothing would end it after that.
#[test]
fn a_repeat_of_a_deferred_message_is_rejected_until_its_callback_is_acknowledged() {
    // No attempt starts while the endpoint list is awaited, so the message reaches its deadline untried.
    let mut forwarder = Forwarder::start(ListDelivery::Immediate);
    let (message, id) = (forwarder.core.next_id(), forwarder.core.next_id());
    let context = RequestContext { deadline: STARTED + 0.1, ..request("m", STARTED) };
    forwarder.step(vec![Input::Submitted { id: message, context }]);
    forwarder.now = STARTED + 0.2;
    let repeat = Input::Submitted { id, context: request("m", forwarder.now) };
    let outputs = forwarder.step(vec![repeat]);
    let is_deferred = |output: &Output| matches!(output, Output::Callback(callback) if matches!(callback.completion, Completion::Deferred(_)));
    assert!(outputs.iter().any(is_deferred), "{outputs:?}");
    assert!(is_rejected(answer_to(id, &outputs)), "in the step in which the message ends");
    let (id, repeat) = submit(&mut forwarder);
    assert!(is_rejected(answer_to(id, &forwarder.step(vec![repeat]))), "while the callback is sent");
    let (id, repeat) = submit(&mut forwarder);
    let outputs = forwarder.step(vec![Input::CallbackAcknowledged(message), repeat]);
    assert_eq!(answer_to(id, &outputs), Some(Answer::Accepted), "a new message");
}

/// Guards against a 202 for a complete message whose result is no longer in the cache: its callback is acknowledged late.
#[test]
fn a_repeat_gets_the_outcome_for_as_long_as_the_callback_is_not_acknowledged() {
    let mut forwarder = start();
    let attempt = start_attempt(&mut forwarder, AT_MOST_ONCE_CLASS);
    forwarder.step(vec![ended(&attempt, Outcome::Reset, false)]);
    forwarder.now = forwarder.now + 60.0;
    forwarder.core.deduplication.expire(forwarder.now);
    let (id, repeat) = submit_class(&mut forwarder, AT_MOST_ONCE_CLASS);
    assert_eq!(answer_to(id, &forwarder.step(vec![repeat])), Some(Answer::Failed));
}

#[test]
fn a_different_message_of_the_same_name_is_rejected() {
    let mut forwarder = start();
    let (first, input) = submit(&mut forwarder);
    let (second, other) = submit_class(&mut forwarder, AT_MOST_ONCE_CLASS);
    let outputs = forwarder.step(vec![input, other]);
    assert_eq!(answer_to(first, &outputs), Some(Answer::Accepted));
    assert!(is_rejected(answer_to(second, &outputs)));
    let third = forwarder.core.next_id();
    let context = RequestContext { body: vec![8].into(), ..request("m", Nanos(0)) };
    let outputs = forwarder.step(vec![Input::Submitted { id: third, context }]);
    assert!(is_rejected(answer_to(third, &outputs)));
}

/// Accepts a message that must not run twice and delivers it.
fn deliver(forwarder: &mut Forwarder, name: &str) {
    let context = RequestContext { class: AT_MOST_ONCE_CLASS, ..request(name, forwarder.now) };
    let attempt = start_attempt_of(forwarder, context);
    forwarder.step(vec![ended(&attempt, Outcome::Ok, false)]);
}

/// Guards against a payout that ran twice (review/8): a repeat by an AS2 partner, which has the Message-ID of the first time, came after
/// the time in which repeats by the platform's clients are known.
#[rstest]
#[case::within_a_day(23.0 * 3600.0, Answer::Delivered)]
#[case::after_a_day(25.0 * 3600.0, Answer::Accepted)]
fn a_repeat_by_an_as2_partner_is_known_for_a_day(
    #[case] after_s: f64, #[case] expected: Answer, #[values(false, true)] restarts: bool,
) {
    const NAME: &str = "as2:bank:<payout-1@bank>";
    let mut forwarder = start();
    deliver(&mut forwarder, NAME);
    if restarts {
        forwarder.restart(configured(1), ListDelivery::Delayed);
    }
    forwarder.now = forwarder.now + after_s;
    // A completion removes what has expired.
    deliver(&mut forwarder, "another");
    let context = RequestContext { class: AT_MOST_ONCE_CLASS, ..request(NAME, forwarder.now) };
    let id = forwarder.core.next_id();
    let outputs = forwarder.step(vec![Input::Submitted { id, context }]);
    assert_eq!(answer_to(id, &outputs), Some(expected));
}
