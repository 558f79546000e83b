//! The four rules, checked over what happened. It shares no code with the module or the world: it is told facts in the
//! order in which they came about, and tells each break with the facts that prove it.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::engine::Nanos;

/// Something that came about, or a client's or server's view of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fact {
    /// A client's request came to a sidecar: its effect and for how long it waits.
    Asked {
        /// The request.
        request: u64,
        /// Whether running it twice does harm.
        harmful: bool,
        /// For how long a key is remembered, where it has one.
        window: Option<Nanos>,
        /// When the client gives up.
        deadline: Nanos,
    },
    /// An attempt went out.
    Sent {
        /// The request.
        request: u64,
        /// Which attempt.
        attempt: u64,
        /// Where to.
        server: usize,
        /// The sidecar.
        sidecar: usize,
    },
    /// An attempt was given up or has ended, as its sidecar sees it.
    Ended {
        /// The request.
        request: u64,
        /// Which attempt.
        attempt: u64,
    },
    /// A server has begun to run an attempt.
    Ran {
        /// The request.
        request: u64,
        /// Where.
        server: usize,
        /// The servers that share its memory of keys.
        group: usize,
    },
    /// The client was told.
    Answered {
        /// The request.
        request: u64,
        /// That trying again is harmless.
        refused: bool,
    },
    /// The client has gone without an answer: nothing more is owed.
    Left {
        /// The request.
        request: u64,
    },
    /// A sidecar was told that a server drains or is gone.
    ToldLeaving {
        /// The sidecar.
        sidecar: usize,
        /// The server.
        server: usize,
    },
    /// A server has started cold, with this capacity in milliseconds of work a millisecond once it is warm.
    Started {
        /// The server.
        server: usize,
        /// Its whole capacity.
        capacity: f64,
    },
    /// Work came to a server, in milliseconds.
    Came {
        /// The server.
        server: usize,
        /// How much.
        work: f64,
    },
}

/// What the rules' figures are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Nothing new to a draining server later than this.
    pub grace: Nanos,
    /// A cold server's first share of its capacity,
    pub cold_share: f64,
    /// when it has all of it,
    pub warm_up: Nanos,
    /// and how many times what it can do it may be sent
    pub multiple: f64,
    /// in any window of this length.
    pub window: Nanos,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Break {
    /// When it showed.
    pub at: Nanos,
    /// Which.
    pub rule: Rule,
    /// What proves it.
    pub proof: String,
}

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer in time, and nothing goes out after.
    OneAnswer,
    /// No effect twice; never two attempts out at once; no refusal of what may have run.
    NoEffectTwice,
    /// Nothing new to a draining server after the grace.
    DrainsKept,
    /// No cold server pushed over.
    ColdKept,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at as f64 / 1e9, self.rule, self.proof)
    }
}

#[derive(Debug, Default)]
struct Request {
    harmful: bool,
    window: Option<Nanos>,
    deadline: Nanos,
    /// Attempts that the sidecar has not ended.
    out: Vec<u64>,
    /// When and in which group it was first run.
    ran: Option<(Nanos, usize)>,
    answered: bool,
    refused: bool,
}

#[derive(Debug)]
struct ColdServer {
    started: Nanos,
    capacity: f64,
    came: VecDeque<(Nanos, f64)>,
    sum: f64,
    worst: f64,
}

/// Of each rule so many breaks are kept with their proofs; the others are counted.
const KEPT: usize = 20;

/// The judge of one day.
#[derive(Debug)]
pub struct Judge {
    figures: Figures,
    open: BTreeMap<u64, Request>,
    leaving: BTreeMap<(usize, usize), Nanos>,
    cold: BTreeMap<usize, ColdServer>,
    breaks: Vec<Break>,
    counts: BTreeMap<Rule, u64>,
    worst_surge: f64,
}

impl Judge {
    /// One that has heard nothing.
    pub fn new(figures: Figures) -> Judge {
        Judge {
            figures,
            open: BTreeMap::new(),
            leaving: BTreeMap::new(),
            cold: BTreeMap::new(),
            breaks: Vec::new(),
            counts: BTreeMap::new(),
            worst_surge: 0.0,
        }
    }

    fn tell(&mut self, at: Nanos, rule: Rule, proof: String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count as usize <= KEPT {
            self.breaks.push(Break { at, rule, proof });
        }
    }

    /// Takes in a fact.
    pub fn hear(&mut self, now: Nanos, fact: Fact) {
        match fact {
            Fact::Asked { request, harmful, window, deadline } => {
                let asked = Request { harmful, window, deadline, ..Request::default() };
                self.open.insert(request, asked);
            }
            Fact::Sent { request, attempt, server, sidecar } => {
                self.sent(now, request, attempt, server, sidecar)
            }
            Fact::Ended { request, attempt } => {
                if let Some(asked) = self.open.get_mut(&request) {
                    asked.out.retain(|out| *out != attempt);
                }
            }
            Fact::Ran { request, server, group } => self.ran(now, request, server, group),
            Fact::Answered { request, refused } => self.answered(now, request, refused),
            Fact::Left { request } => {
                let Some(asked) = self.open.get_mut(&request) else { return };
                if !asked.answered {
                    self.tell(
                        now,
                        Rule::OneAnswer,
                        format!("request {request} had no answer when its client left"),
                    );
                }
            }
            Fact::ToldLeaving { sidecar, server } => {
                self.leaving.entry((sidecar, server)).or_insert(now);
            }
            Fact::Started { server, capacity } => {
                let cold = ColdServer { started: now, capacity, came: VecDeque::new(), sum: 0.0, worst: 0.0 };
                self.cold.insert(server, cold);
            }
            Fact::Came { server, work } => self.came(now, server, work),
        }
    }

    fn sent(&mut self, now: Nanos, request: u64, attempt: u64, server: usize, sidecar: usize) {
        let mut told = Vec::new();
        match self.open.get_mut(&request) {
            Some(asked) => {
                if asked.answered {
                    told.push((
                        Rule::OneAnswer,
                        format!("request {request} was answered, and attempt {attempt} went out"),
                    ));
                }
                if let Some(other) = asked.out.first() {
                    let text = format!("attempts {other} and {attempt} of request {request} are out at once");
                    told.push((Rule::NoEffectTwice, text));
                }
                asked.out.push(attempt);
            }
            None => told.push((
                Rule::OneAnswer,
                format!("attempt {attempt} is for request {request}, which is over"),
            )),
        }
        if let Some(since) =
            self.leaving.get(&(sidecar, server)).filter(|since| now > **since + self.figures.grace)
        {
            let late = (now - since) as f64 / 1e9;
            let text = format!(
                "sidecar {sidecar} sent attempt {attempt} to server {server} {late:.3} s after its leave"
            );
            told.push((Rule::DrainsKept, text));
        }
        told.into_iter().for_each(|(rule, text)| self.tell(now, rule, text));
    }

    fn ran(&mut self, now: Nanos, request: u64, server: usize, group: usize) {
        let Some(asked) = self.open.get_mut(&request) else { return };
        let Some((first, where_first)) = asked.ran else {
            asked.ran = Some((now, group));
            if asked.refused && (asked.harmful || asked.window.is_some()) {
                let text = format!("request {request} was refused, and runs at server {server} after that");
                self.tell(now, Rule::NoEffectTwice, text);
            }
            return;
        };
        let harm = match asked.window {
            Some(window) => group != where_first || now > first + window,
            None => asked.harmful,
        };
        if harm {
            let text = format!(
                "request {request} ran again at server {server}, {} ms later",
                (now - first) / 1_000_000
            );
            self.tell(now, Rule::NoEffectTwice, text);
        }
    }

    fn answered(&mut self, now: Nanos, request: u64, refused: bool) {
        let Some(asked) = self.open.get_mut(&request) else {
            return self.tell(now, Rule::OneAnswer, format!("request {request} is over, and is answered"));
        };
        let (twice, late) = (asked.answered, now > asked.deadline);
        let ran = refused && asked.ran.is_some() && (asked.harmful || asked.window.is_some());
        (asked.answered, asked.refused) = (true, refused);
        if twice {
            self.tell(now, Rule::OneAnswer, format!("request {request} is answered twice"));
        }
        if late {
            self.tell(now, Rule::OneAnswer, format!("request {request} is answered after its time"));
        }
        if ran {
            self.tell(now, Rule::NoEffectTwice, format!("request {request} has run, and is refused"));
        }
    }

    /// Nothing more can happen to a request: it is over, and no attempt of it is anywhere.
    pub fn over(&mut self, request: u64) {
        self.open.remove(&request);
    }

    fn came(&mut self, now: Nanos, server: usize, work: f64) {
        let Figures { cold_share, warm_up, multiple, window, .. } = self.figures;
        let Some(cold) = self.cold.get_mut(&server) else { return };
        let age = now - cold.started;
        if age >= warm_up {
            self.cold.remove(&server);
            return;
        }
        cold.came.push_back((now, work));
        cold.sum += work;
        while let Some((_, old)) = cold.came.front().copied().filter(|(at, _)| at + window < now) {
            cold.came.pop_front();
            cold.sum -= old;
        }
        let warmth = cold_share + (1.0 - cold_share) * age as f64 / warm_up as f64;
        let budget = multiple * cold.capacity * warmth * window as f64 / 1e6;
        let ratio = cold.sum / budget;
        let broken = ratio > 1.0 && cold.worst <= 1.0;
        cold.worst = cold.worst.max(ratio);
        self.worst_surge = self.worst_surge.max(ratio);
        if broken {
            let text =
                format!("server {server}, {} ms old, was sent {ratio:.2} of what it may be", age / 1_000_000);
            self.tell(now, Rule::ColdKept, text);
        }
    }

    /// Whether a cold server has been sent more than it may be: it falls over.
    pub fn fell(&self, server: usize) -> bool {
        self.cold.get(&server).is_some_and(|cold| cold.worst > 1.0)
    }

    /// The most that a cold server was sent, as a share of what it may be.
    pub fn worst_surge(&self) -> f64 {
        self.worst_surge
    }

    /// The breaks, the first of each rule with their proofs.
    pub fn breaks(&self) -> &[Break] {
        &self.breaks
    }

    /// How many there were, by rule.
    pub fn counts(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
