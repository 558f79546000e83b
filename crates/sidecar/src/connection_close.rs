//! What becomes of a client's connection when something wants it closed: one table for every reason. Pure.
//!
//! | reason | holds nothing | a head | a body | a request | and more behind it |
//! | --- | --- | --- | --- | --- | --- |
//! | idle for too long | shut | keep | after its answer | keep | keep |
//! | its head takes too long | keep | drop | keep | keep | keep |
//! | let go, being one of many that are quiet | shut | keep | keep | keep | keep |
//! | a newcomer needs its place | drop | drop | drop | after its answer | keep |
//! | the end has begun | shut | keep | after its answer | after its answer | keep |
//! | the end is near | drop | drop | drop | keep | keep |
//!
//! What it holds is asked for after one direct look into its socket: a request whose last byte is there has been taken,
//! whether or not it has been read.

/// Why a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing has come for too long.
    Idle,
    /// A head that has begun does not end.
    HeadOverdue,
    /// It is one of many that have been answered and are quiet.
    LetGo,
    /// Somebody who has just connected needs its place.
    MakeRoom,
    /// The instance ends, or is emptied.
    Ends,
    /// The instance ends in a moment: what is taken from now on could not be answered.
    EndIsNear,
}

/// What a connection holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionContents {
    /// Nothing that was begun.
    Nothing,
    /// A head that has begun.
    Head,
    /// A request whose body is still to come: not taken yet.
    Body,
    /// A request that was taken and has no answer, or one whose answer is not yet written to its last byte.
    Request,
    /// The same, with others pipelined behind it that were taken as well.
    Requests,
}

/// What becomes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseAction {
    /// It stays as it is.
    Keep,
    /// We end our writing, and read on for a moment.
    Shut,
    /// It is closed as it is: nobody could tell what it would have asked for.
    Drop,
    /// What it carries now is the last.
    AfterAnswer,
}

/// What becomes of a connection that is to be closed for this reason and holds that.
pub fn deed(reason: CloseReason, holds: ConnectionContents) -> CloseAction {
    match (reason, holds) {
        (CloseReason::Idle | CloseReason::LetGo | CloseReason::Ends, ConnectionContents::Nothing) => {
            CloseAction::Shut
        }
        (CloseReason::HeadOverdue, ConnectionContents::Head) => CloseAction::Drop,
        (
            CloseReason::MakeRoom | CloseReason::EndIsNear,
            ConnectionContents::Nothing | ConnectionContents::Head | ConnectionContents::Body,
        ) => CloseAction::Drop,
        (CloseReason::MakeRoom | CloseReason::Ends, ConnectionContents::Request) => CloseAction::AfterAnswer,
        (CloseReason::Idle | CloseReason::Ends, ConnectionContents::Body) => CloseAction::AfterAnswer,
        _ => CloseAction::Keep,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REASONS: [CloseReason; 6] = [
        CloseReason::Idle,
        CloseReason::HeadOverdue,
        CloseReason::LetGo,
        CloseReason::MakeRoom,
        CloseReason::Ends,
        CloseReason::EndIsNear,
    ];
    const HOLDS: [ConnectionContents; 5] = [
        ConnectionContents::Nothing,
        ConnectionContents::Head,
        ConnectionContents::Body,
        ConnectionContents::Request,
        ConnectionContents::Requests,
    ];

    #[test]
    fn what_was_taken_is_answered_whatever_wants_its_connection() {
        for reason in REASONS {
            let deed = deed(reason, ConnectionContents::Request);
            assert!(matches!(deed, CloseAction::Keep | CloseAction::AfterAnswer), "{reason:?}: {deed:?}");
            assert_eq!(
                super::deed(reason, ConnectionContents::Requests),
                CloseAction::Keep,
                "{reason:?}: the others would be lost"
            );
        }
    }

    #[test]
    fn only_a_newcomer_a_dead_head_or_the_very_end_ends_what_has_begun() {
        for (reason, holds) in REASONS.into_iter().flat_map(|reason| HOLDS.map(|holds| (reason, holds))) {
            let ends = matches!(deed(reason, holds), CloseAction::Shut | CloseAction::Drop);
            let begun = holds != ConnectionContents::Nothing;
            if ends && begun {
                let allowed = matches!(
                    reason,
                    CloseReason::MakeRoom | CloseReason::HeadOverdue | CloseReason::EndIsNear
                );
                assert!(allowed, "{reason:?}, {holds:?}");
            }
            if !begun && reason != CloseReason::HeadOverdue {
                assert!(ends, "{reason:?} closes what holds nothing");
            }
        }
    }
}
