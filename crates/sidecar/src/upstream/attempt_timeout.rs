//! When an attempt times out. While an upload is forwarded, this depends on when its client wrote the last byte.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::UpstreamEvent;
use crate::messages::{AttemptInfo, EventSink};
use crate::request_bound::{RequestState, bound};
use crate::transfer::upload::{Upload, UploadState};

/// How often an upload is checked for the end of its client's writing.
const CLIENT_PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// Returns when an attempt has timed out. For an upload the timeout counts from the upload's last byte, and
/// changes of the upload's state are reported to the driver.
pub async fn wait_until_attempt_times_out(
    attempt: &AttemptInfo,
    upload: Option<&Upload>,
    events: &EventSink<UpstreamEvent>,
) {
    let until = bound(RequestState::Sent(attempt.times())).at;
    let Some(upload) = upload else { return sleep_until(until).await };
    let timeout = until.saturating_duration_since(Instant::now());
    let report = |state| events.send(UpstreamEvent::UploadStateChanged(*attempt, state));
    if upload.state() == UploadState::Receiving {
        report(UploadState::Receiving);
    }
    let state = tokio::select! {
        biased;
        state = upload.wait_until_settled() => state,
        () = wait_until_upload_times_out(attempt, upload, report) => return,
    };
    match state {
        UploadState::Complete(received_at) => {
            report(state);
            // The client may have written its last byte long before the upstream took it.
            sleep_until(upload_bound(attempt, upload).min(received_at + timeout)).await;
        }
        // The incomplete body ends the exchange.
        UploadState::Receiving | UploadState::Written | UploadState::Failed(_) => {
            std::future::pending().await
        }
    }
}

/// Returns when the time of a client may have passed that was not seen to write during it. An upload whose
/// upstream takes no bytes is not read, so its end may wait in the kernel.
async fn wait_until_upload_times_out(
    attempt: &AttemptInfo,
    upload: &Upload,
    report: impl Fn(UploadState) -> bool,
) {
    while Instant::now() < upload_bound(attempt, upload) {
        sleep_until(upload_bound(attempt, upload).min(Instant::now() + CLIENT_PROGRESS_INTERVAL)).await;
        let before = upload.state();
        upload.observe_client();
        if upload.state() != before {
            report(upload.state());
        }
    }
}

/// The time bound of an attempt that forwards an upload.
fn upload_bound(attempt: &AttemptInfo, upload: &Upload) -> Instant {
    let last_incomplete_at = upload.last_incomplete_at();
    let client_timeout = attempt.client_timeout;
    bound(RequestState::Uploading { last_incomplete_at, client_timeout }).at
}
