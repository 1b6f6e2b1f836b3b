//! Tests of `gossip`.
use super::*;

/// A node may stop while commands are queued, and further commands may follow. None of them may block.
#[tokio::test]
async fn commands_to_a_stopped_node_fail_without_blocking() {
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
