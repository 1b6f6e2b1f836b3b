//! Client sessions that only authenticate both sides, or that read a member's view of the fleet.
use super::{write_message, LocalIdentity, MessageReader, SILENCE_TIMEOUT};
use crate::fleet::view::FleetView;
use crate::peers::error::{CloseReason, RejectReason, SessionEnd};
use crate::peers::frame::Message;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{sleep, timeout};

/// Longest accepted view, in bytes: about 500 bytes for each member, and as many departed members as present ones.
const MAX_VIEW_BYTES: usize = 4 << 20;

/// Whether a watch continues after a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchControl {
    /// Requests the view again after the pause.
    Continue,
    /// Ends the session.
    Stop,
}

/// Exchanges hellos over mutual TLS. Each side then marks the other as authenticated.
///
/// # Errors
///
/// Returns the reason if the session ends before both hellos are exchanged.
pub async fn authenticate<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity,
) -> Result<(), SessionEnd> {
    let (read_half, mut writer) = tokio::io::split(stream);
    write_message(&mut writer, &local.hello()).await?;
    let peer = MessageReader::new(read_half).read_hello(local).await?;
    local.mark_authenticated(&peer).await;
    Ok(())
}

/// Requests the peer's view of the fleet repeatedly, with a `pause` between requests, until `on_view` returns
/// `WatchControl::Stop`.
///
/// # Errors
///
/// Returns the reason if the session ends before that.
pub async fn watch_view<S: AsyncRead + AsyncWrite>(
    stream: S, local: &LocalIdentity, mut on_view: impl FnMut(FleetView) -> WatchControl, pause: Duration,
) -> Result<(), SessionEnd> {
    let (read_half, mut writer) = tokio::io::split(stream);
    let mut reader = MessageReader::new(read_half);
    write_message(&mut writer, &local.hello()).await?;
    reader.read_hello(local).await?;
    loop {
        write_message(&mut writer, &Message::ViewRequest).await?;
        let Ok(text) = timeout(SILENCE_TIMEOUT, receive_view(&mut reader)).await else {
            return Err(CloseReason::SilenceTimeout.into());
        };
        let view = serde_json::from_slice(&text?).map_err(RejectReason::InvalidView)?;
        match on_view(view) {
            WatchControl::Continue => sleep(pause).await,
            WatchControl::Stop => return Ok(()),
        }
    }
}

/// Reads the parts of one view. Skips observations that the peer publishes in between.
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
