//! Tests of `gossip`.
use super::*;

/// A node ends at any moment, with commands before, while and after it does.
#[tokio::test]
async fn a_handle_of_a_stopped_node_reports_that_and_never_waits() {
    let (handle, channels) = FleetHandle::new();
    let waiting = tokio::spawn({
        let handle = handle.clone();
        async move { handle.view().await }
    });
    while channels.commands.is_empty() {
        tokio::task::yield_now().await;
    }
    drop(channels);
    assert!(matches!(waiting.await.expect("no panic"), Err(FleetError::Stopped)));
    assert!(matches!(handle.view().await, Err(FleetError::Stopped)));
    handle.drain().await;
    handle.leave().await;
}
