//! How a client connection is closed, by the reason for closing it and by its contents. Pure.
//!
//! | reason | nothing | head | body | request | pipelined requests |
//! | --- | --- | --- | --- | --- | --- |
//! | idle | shutdown | keep | close after answer | keep | keep |
//! | head overdue | keep | close now | keep | keep | keep |
//! | excess quiet | shutdown | keep | keep | keep | keep |
//! | eviction | close now | close now | close now | close after answer | keep |
//! | draining | shutdown | keep | close after answer | close after answer | keep |
//! | shutdown imminent | close now | close now | close now | keep | keep |
//!
//! The contents are determined after one direct read of the socket: a request whose last byte has reached the
//! socket has been accepted, whether or not it was read before.

/// Why a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// No traffic within the idle timeout.
    Idle,
    /// A request head has begun but was not completed in time.
    HeadOverdue,
    /// Too many connections that have carried requests are quiet.
    ExcessQuiet,
    /// A new connection needs the permit of this one.
    Eviction,
    /// The instance drains or is being evacuated.
    Draining,
    /// The instance is about to end: requests accepted from now on could not be answered.
    ShutdownImminent,
}

/// Which part of a request a connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionContents {
    /// No part of a request.
    Nothing,
    /// An incomplete request head.
    Head,
    /// A request whose body is incomplete: not accepted yet.
    Body,
    /// An accepted request whose answer has not been written completely.
    Request,
    /// An accepted request with others pipelined behind it that were accepted as well.
    PipelinedRequests,
}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseAction {
    /// The connection stays open.
    Keep,
    /// The write side is shut down, and reading goes on for a moment.
    Shutdown,
    /// The connection is closed at once. It holds no accepted request.
    CloseNow,
    /// The connection is closed after the answer to its current request.
    CloseAfterAnswer,
}

/// Looks up the action in the table of the module comment.
pub fn close_action(reason: CloseReason, contents: ConnectionContents) -> CloseAction {
    match (reason, contents) {
        (
            CloseReason::Idle | CloseReason::ExcessQuiet | CloseReason::Draining,
            ConnectionContents::Nothing,
        ) => CloseAction::Shutdown,
        (CloseReason::HeadOverdue, ConnectionContents::Head) => CloseAction::CloseNow,
        (
            CloseReason::Eviction | CloseReason::ShutdownImminent,
            ConnectionContents::Nothing | ConnectionContents::Head | ConnectionContents::Body,
        ) => CloseAction::CloseNow,
        (CloseReason::Eviction | CloseReason::Draining, ConnectionContents::Request) => {
            CloseAction::CloseAfterAnswer
        }
        (CloseReason::Idle | CloseReason::Draining, ConnectionContents::Body) => {
            CloseAction::CloseAfterAnswer
        }
        _ => CloseAction::Keep,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REASONS: [CloseReason; 6] = [
        CloseReason::Idle,
        CloseReason::HeadOverdue,
        CloseReason::ExcessQuiet,
        CloseReason::Eviction,
        CloseReason::Draining,
        CloseReason::ShutdownImminent,
    ];
    const CONTENTS: [ConnectionContents; 5] = [
        ConnectionContents::Nothing,
        ConnectionContents::Head,
        ConnectionContents::Body,
        ConnectionContents::Request,
        ConnectionContents::PipelinedRequests,
    ];

    #[test]
    fn accepted_request_is_answered_for_every_close_reason() {
        for reason in REASONS {
            let action = close_action(reason, ConnectionContents::Request);
            assert!(
                matches!(action, CloseAction::Keep | CloseAction::CloseAfterAnswer),
                "{reason:?}: {action:?}"
            );
            assert_eq!(
                close_action(reason, ConnectionContents::PipelinedRequests),
                CloseAction::Keep,
                "{reason:?}: pipelined requests would be lost"
            );
        }
    }

    #[test]
    fn begun_request_is_cut_off_only_by_eviction_an_overdue_head_or_imminent_shutdown() {
        for (reason, contents) in
            REASONS.into_iter().flat_map(|reason| CONTENTS.map(|contents| (reason, contents)))
        {
            let closes =
                matches!(close_action(reason, contents), CloseAction::Shutdown | CloseAction::CloseNow);
            let begun = contents != ConnectionContents::Nothing;
            if closes && begun {
                let allowed = matches!(
                    reason,
                    CloseReason::Eviction | CloseReason::HeadOverdue | CloseReason::ShutdownImminent
                );
                assert!(allowed, "{reason:?}, {contents:?}");
            }
            if !begun && reason != CloseReason::HeadOverdue {
                assert!(closes, "{reason:?} must close a connection that holds nothing");
            }
        }
    }
}
