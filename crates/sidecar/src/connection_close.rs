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
pub enum Reason {
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
pub enum Holds {
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
pub enum Deed {
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
pub fn deed(reason: Reason, holds: Holds) -> Deed {
    match (reason, holds) {
        (Reason::Idle | Reason::LetGo | Reason::Ends, Holds::Nothing) => Deed::Shut,
        (Reason::HeadOverdue, Holds::Head) => Deed::Drop,
        (Reason::MakeRoom | Reason::EndIsNear, Holds::Nothing | Holds::Head | Holds::Body) => Deed::Drop,
        (Reason::MakeRoom | Reason::Ends, Holds::Request) => Deed::AfterAnswer,
        (Reason::Idle | Reason::Ends, Holds::Body) => Deed::AfterAnswer,
        _ => Deed::Keep,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const REASONS: [Reason; 6] =
        [Reason::Idle, Reason::HeadOverdue, Reason::LetGo, Reason::MakeRoom, Reason::Ends, Reason::EndIsNear];
    const HOLDS: [Holds; 5] = [Holds::Nothing, Holds::Head, Holds::Body, Holds::Request, Holds::Requests];

    #[test]
    fn what_was_taken_is_answered_whatever_wants_its_connection() {
        for reason in REASONS {
            let deed = deed(reason, Holds::Request);
            assert!(matches!(deed, Deed::Keep | Deed::AfterAnswer), "{reason:?}: {deed:?}");
            assert_eq!(
                super::deed(reason, Holds::Requests),
                Deed::Keep,
                "{reason:?}: the others would be lost"
            );
        }
    }

    #[test]
    fn only_a_newcomer_a_dead_head_or_the_very_end_ends_what_has_begun() {
        for (reason, holds) in REASONS.into_iter().flat_map(|reason| HOLDS.map(|holds| (reason, holds))) {
            let ends = matches!(deed(reason, holds), Deed::Shut | Deed::Drop);
            let begun = holds != Holds::Nothing;
            if ends && begun {
                let allowed = matches!(reason, Reason::MakeRoom | Reason::HeadOverdue | Reason::EndIsNear);
                assert!(allowed, "{reason:?}, {holds:?}");
            }
            if !begun && reason != Reason::HeadOverdue {
                assert!(ends, "{reason:?} closes what holds nothing");
            }
        }
    }
}
