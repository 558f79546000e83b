//! What a test upstream answers to one request: framing, size, pace, and where its first attempts break. A plan is drawn
//! once for each request; `scripted_upstream` follows it and `answer_audit` judges by it. Pure.

use std::fmt;
use std::time::Duration;

use oorandom::Rand64;

/// Answers up to this size can be held whole and tried again.
pub const SHORT_BYTES: usize = 64 << 10;
/// The longest body of a plan.
const LONGEST_BYTES: u64 = 400 << 10;
/// Bytes that have been written are left this long to be read before a reset would discard them.
const READ_BEFORE_RESET: Duration = Duration::from_millis(25);
/// Percent of the requests whose first attempts break.
const FAULTY_PERCENT: u64 = 25;
/// Percent of those on which the second attempt breaks as well.
const FAULTY_TWICE_PERCENT: u64 = 20;

/// How the end of an answer is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Framing {
    /// `Content-Length`.
    ContentLength,
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// Neither: the answer ends with its connection.
    CloseDelimited,
}

/// A place in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Nothing has been written.
    BeforeHead,
    /// Half of the head has been.
    InHead,
    /// The head has been.
    AfterHead,
    /// Half of the body has been.
    InBody,
    /// All has been but for what tells the end.
    BeforeEnd,
}

impl Part {
    /// All of them, in their order.
    pub const ALL: [Part; 5] =
        [Part::BeforeHead, Part::InHead, Part::AfterHead, Part::InBody, Part::BeforeEnd];
}

/// What goes wrong with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The connection is reset there.
    Reset(Part),
    /// It is closed there.
    Close(Part),
    /// It stays open there and says no more.
    Stall(Part),
    /// The body, of unknown length, goes on for as long as anyone reads.
    Endless,
    /// The same, a few bytes at a time: it stays short.
    Dribble,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Reset(part) => write!(f, "reset {part:?}"),
            Fault::Close(part) => write!(f, "close {part:?}"),
            Fault::Stall(part) => write!(f, "stall {part:?}"),
            Fault::Endless => f.write_str("endless"),
            Fault::Dribble => f.write_str("dribble"),
        }
    }
}

/// The size of an answer, as far as it decides what can be done about a broken one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Size {
    /// Up to `SHORT_BYTES`.
    Short,
    /// Longer.
    Long,
    /// No attempt that came to this request has an end.
    Endless,
}

/// One in so many long answers without a fault takes longer than its client's time, where that is short enough
const OUTLASTING: u64 = 6;
const MAX_OUTLASTED: Duration = Duration::from_millis(900);
/// by this much, in so many pieces: its first bytes are in time, and what an upstream gives is not to be cut off.
const OUTLASTS_BY: Duration = Duration::from_millis(900);
const OUTLASTING_PIECES: usize = 8;

/// What an upstream answers to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPlan {
    /// How its end is told.
    pub framing: Framing,
    /// The length of the body.
    pub body_bytes: usize,
    /// In how many pieces it is written,
    pub pieces: usize,
    /// with such a pause before each but the first.
    pub pause: Duration,
    /// How long the upstream works before it answers.
    pub work: Duration,
    /// What goes wrong,
    pub fault: Option<Fault>,
    /// with so many attempts; later ones are answered whole.
    pub faulty_attempts: u32,
}

/// One thing that an upstream does with its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Writes this.
    Write(Vec<u8>),
    /// Writes this time after time, until the other side closes.
    Repeat(Vec<u8>, Duration),
    /// Waits.
    Pause(Duration),
    /// Resets the connection.
    Reset,
    /// Closes it.
    Close,
    /// Says no more until the other side closes.
    Stall,
}

impl AnswerPlan {
    /// A short answer with its length, at once.
    pub fn plain(body_bytes: usize) -> AnswerPlan {
        AnswerPlan {
            framing: Framing::ContentLength,
            body_bytes,
            pieces: 1,
            pause: Duration::ZERO,
            work: Duration::from_millis(3),
            fault: None,
            faulty_attempts: 0,
        }
    }

    /// Any answer, whole within half of the client's time if nothing goes wrong; but for some that are long.
    pub fn draw(rng: &mut Rand64, timeout: Duration) -> AnswerPlan {
        let framings = [Framing::ContentLength, Framing::Chunked, Framing::CloseDelimited];
        let framing = framings[rng.rand_range(0..3) as usize];
        let short = SHORT_BYTES as u64;
        let body_bytes = match rng.rand_range(0..20) {
            0..9 => rng.rand_range(64..16 << 10),
            9..13 => rng.rand_range(16 << 10..short),
            13 => short,
            14 => short + 1,
            _ => rng.rand_range(short + 1..LONGEST_BYTES),
        } as usize;
        // Half of them slow, in pieces.
        let pieces = if rng.rand_range(0..2) == 0 { 1 } else { rng.rand_range(2..10) as usize };
        let most_pause_ms = (timeout.as_millis() as u64 / 2 / pieces as u64).clamp(6, 160);
        let pause = Duration::from_millis(if pieces == 1 { 0 } else { rng.rand_range(5..most_pause_ms) });
        let work = Duration::from_millis(rng.rand_range(1..12));
        let fault = (rng.rand_range(0..100) < FAULTY_PERCENT).then(|| Fault::draw(rng, framing));
        let twice = rng.rand_range(0..100) < FAULTY_TWICE_PERCENT;
        let faulty_attempts = if fault.is_none() { 0 } else { 1 + u32::from(twice) };
        let plan = AnswerPlan { framing, body_bytes, pieces, pause, work, fault, faulty_attempts };
        let may_outlast = plan.size() == Size::Long && fault.is_none() && timeout <= MAX_OUTLASTED;
        if may_outlast && rng.rand_range(0..OUTLASTING) == 0 { plan.outlasting(timeout) } else { plan }
    }

    /// The same in pieces that go on beyond a client's time.
    fn outlasting(self, timeout: Duration) -> AnswerPlan {
        let pause = (timeout + OUTLASTS_BY) / (OUTLASTING_PIECES as u32 - 1);
        AnswerPlan { pieces: OUTLASTING_PIECES, pause, ..self }
    }

    /// The size of the answer, with the fault that a client may have seen.
    pub fn size(&self) -> Size {
        match self.fault {
            Some(Fault::Endless | Fault::Dribble) => Size::Endless,
            _ if self.body_bytes <= SHORT_BYTES => Size::Short,
            _ => Size::Long,
        }
    }

    /// What an upstream does with an attempt, counted from 0.
    pub fn steps(&self, id: &str, attempt: u32) -> Vec<Step> {
        let mut steps = vec![Step::Pause(self.work)];
        let writes = self.writes(id);
        match self.fault.filter(|_| attempt < self.faulty_attempts) {
            None => {
                self.paced(writes, &mut steps);
                if self.framing == Framing::CloseDelimited {
                    steps.push(Step::Close);
                }
            }
            Some(Fault::Reset(part)) => {
                self.paced(cut(writes, part, self.framing), &mut steps);
                steps.extend([Step::Pause(READ_BEFORE_RESET), Step::Reset]);
            }
            Some(Fault::Close(part)) => {
                self.paced(cut(writes, part, self.framing), &mut steps);
                steps.push(Step::Close);
            }
            Some(Fault::Stall(part)) => {
                self.paced(cut(writes, part, self.framing), &mut steps);
                steps.push(Step::Stall);
            }
            Some(Fault::Endless) => {
                self.paced(cut(writes, Part::BeforeEnd, self.framing), &mut steps);
                steps.push(Step::Repeat(self.framed(&[b'e'; 2 << 10]), Duration::from_millis(10)));
            }
            Some(Fault::Dribble) => {
                self.paced(cut(writes, Part::AfterHead, self.framing), &mut steps);
                steps.push(Step::Repeat(self.framed(&[b'd'; 64]), Duration::from_millis(40)));
            }
        }
        steps
    }

    /// The writes of a whole answer: head, pieces, and what tells the end.
    fn writes(&self, id: &str) -> Vec<Vec<u8>> {
        let body = body_of(id, self.body_bytes);
        let head = match self.framing {
            Framing::ContentLength => format!("Content-Length: {}\r\n", body.len()),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::CloseDelimited => String::new(),
        };
        let mut writes = vec![format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes()];
        let piece_bytes = body.len().div_ceil(self.pieces.max(1)).max(1);
        writes.extend(body.chunks(piece_bytes).map(|piece| self.framed(piece)));
        if self.framing == Framing::Chunked {
            writes.push(b"0\r\n\r\n".to_vec());
        }
        writes
    }

    /// A piece of a body on the wire.
    fn framed(&self, piece: &[u8]) -> Vec<u8> {
        match self.framing {
            Framing::Chunked => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
            Framing::ContentLength | Framing::CloseDelimited => piece.to_vec(),
        }
    }

    /// Adds writes with the pauses between the pieces: none after the head.
    fn paced(&self, writes: Vec<Vec<u8>>, steps: &mut Vec<Step>) {
        for (number, write) in writes.into_iter().enumerate() {
            if number > 1 && !self.pause.is_zero() {
                steps.push(Step::Pause(self.pause));
            }
            steps.push(Step::Write(write));
        }
    }
}

impl Fault {
    fn draw(rng: &mut Rand64, framing: Framing) -> Fault {
        let part = Part::ALL[rng.rand_range(0..5) as usize];
        // A body of unknown length that is closed is whole to everyone.
        let looks_whole = framing == Framing::CloseDelimited && part >= Part::AfterHead;
        match rng.rand_range(0..20) {
            0 if framing != Framing::ContentLength => Fault::Endless,
            1 if framing != Framing::ContentLength => Fault::Dribble,
            0..5 => Fault::Stall(part),
            5..10 if !looks_whole => Fault::Close(part),
            _ => Fault::Reset(part),
        }
    }
}

/// The writes before a place in an answer.
fn cut(mut writes: Vec<Vec<u8>>, part: Part, framing: Framing) -> Vec<Vec<u8>> {
    let halve = |write: &mut Vec<u8>| write.truncate(write.len() / 2);
    match part {
        Part::BeforeHead => writes.clear(),
        Part::InHead => {
            writes.truncate(1);
            writes.first_mut().map(halve);
        }
        Part::AfterHead => writes.truncate(1),
        Part::InBody => {
            let pieces = writes.len() - 1;
            writes.truncate(2 + pieces / 2);
            writes.last_mut().map(halve);
        }
        Part::BeforeEnd => match framing {
            Framing::Chunked => drop(writes.pop()),
            Framing::ContentLength => drop(writes.last_mut().map(Vec::pop)),
            Framing::CloseDelimited => {}
        },
    }
    writes
}

/// The body that every upstream makes for a request: no other request has the same.
pub fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    let mut body = format!("ran {id}\n").into_bytes();
    let seed = id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let mut rng = Rand64::new(u128::from(seed));
    while body.len() < bytes {
        body.extend_from_slice(&rng.rand_u64().to_le_bytes());
    }
    body.truncate(bytes);
    body
}

#[cfg(test)]
mod tests;
