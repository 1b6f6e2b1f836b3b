//! Short sessions: mutual authentication alone, and reading a member's view of the fleet.
use super::{write_message, LocalIdentity, MessageReader, SILENCE_TIMEOUT};
use crate::fleet::view::FleetView;
use crate::peers::error::{CloseReason, RejectReason, SessionEnd};
use crate::peers::frame::Message;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{sleep, timeout};

/// Longest view that is accepted, in bytes: some 500 bytes a member, and as many departed members as present ones.
const MAX_VIEW_BYTES: usize = 4 << 20;

/// Whether a watcher wants another view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchControl {
    /// Ask again after the pause.
    Continue,
    /// End the session.
    Stop,
}

/// Exchanges hellos on a connection with mutual TLS, after which each side counts the other as authenticated.
///
/// # Errors
///
/// Why the session ended before both hellos were exchanged.
pub async fn authenticate<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity,
) -> Result<(), SessionEnd> {
    let (read_half, mut writer) = tokio::io::split(stream);
    write_message(&mut writer, &local.hello()).await?;
    let peer = MessageReader::new(read_half).hello(local).await?;
    local.mark_authenticated(&peer).await;
    Ok(())
}

/// Requests the peer's view of the fleet over and over, with `pause` between, until `on_view` says to stop.
///
/// # Errors
///
/// Why the session ended before that.
pub async fn watch_view<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity, mut on_view: impl FnMut(FleetView) -> WatchControl, pause: Duration,
) -> Result<(), SessionEnd> {
    let (read_half, mut writer) = tokio::io::split(stream);
    let mut reader = MessageReader::new(read_half);
    write_message(&mut writer, &local.hello()).await?;
    reader.hello(local).await?;
    loop {
        write_message(&mut writer, &Message::ViewRequest).await?;
        let Ok(text) = timeout(SILENCE_TIMEOUT, receive_view(&mut reader)).await else {
            return Err(CloseReason::Silent.into());
        };
        let view = serde_json::from_slice(&text?).map_err(RejectReason::InvalidView)?;
        match on_view(view) {
            WatchControl::Continue => sleep(pause).await,
            WatchControl::Stop => return Ok(()),
        }
    }
}

/// Collects the parts of one view. Observations that the peer publishes meanwhile are skipped.
async fn receive_view<R: AsyncRead + Unpin>(reader: &mut MessageReader<R>) -> Result<Vec<u8>, SessionEnd> {
    let mut text = Vec::new();
    loop {
        let Message::ViewPart { bytes, is_last } = reader.next().await? else { continue };
        text.extend(bytes);
        if text.len() > MAX_VIEW_BYTES {
            return Err(RejectReason::ViewTooLong.into());
        }
        if is_last {
            return Ok(text);
        }
    }
}
