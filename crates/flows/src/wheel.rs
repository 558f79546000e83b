//! When to look at a flow again: a hierarchical timer wheel (Varghese and Lauck, 1987) through the flows themselves.
//! To set, move or take out a timer costs the same at any number of flows and allocates nothing.

use crate::api::Millis;
use crate::list::{Chain, List};
use crate::table::Flow;

/// The grain of the wheel: a flow is looked at up to one tick late.
pub const TICK: Millis = 50.0;
const BITS: u32 = 6;
const CELLS: u64 = 1 << BITS;
const LEVELS: u32 = 4;
/// Nothing is due later than this, 9.7 days; it is looked at then and set again.
const SPAN: u64 = 1 << (BITS * LEVELS);
/// In no cell.
pub const OUT: u16 = u16::MAX;

/// All timers.
#[derive(Debug)]
pub struct Wheel {
    cells: Vec<List>,
    /// Which cells of each level hold anything.
    held: [u64; LEVELS as usize],
    tick: u64,
}

impl Wheel {
    /// An empty wheel that stands at this time.
    pub fn new(now: Millis) -> Wheel {
        let cells = vec![List::EMPTY; (CELLS * u64::from(LEVELS)) as usize];
        Wheel { cells, held: [0; LEVELS as usize], tick: (now / TICK) as u64 }
    }

    /// Sets the timer of a flow, which had one or not.
    pub fn set(&mut self, flows: &mut [Flow], at: u32, due: Millis) {
        self.unset(flows, at);
        // Rounded up: never early.
        let due = if due.is_finite() { (due / TICK).ceil().max(0.0) as u64 } else { u64::MAX };
        let due = due.clamp(self.tick + 1, self.tick + SPAN - 1);
        self.enter(flows, at, due);
    }

    fn enter(&mut self, flows: &mut [Flow], at: u32, due: u64) {
        let away = due.saturating_sub(self.tick).max(1);
        let level = (63 - away.leading_zeros()) / BITS;
        let cell = (due >> (BITS * level)) & (CELLS - 1);
        let number = u64::from(level) * CELLS + cell;
        self.held[level as usize] |= 1 << cell;
        let flow = &mut flows[at as usize];
        (flow.due, flow.cell) = (due, number as u16);
        self.cells[number as usize].push(flows, Chain::Timer, at);
    }

    /// Takes the timer of a flow out, if it has one.
    pub fn unset(&mut self, flows: &mut [Flow], at: u32) {
        let number = std::mem::replace(&mut flows[at as usize].cell, OUT);
        if number == OUT {
            return;
        }
        let list = &mut self.cells[usize::from(number)];
        list.remove(flows, Chain::Timer, at);
        if list.len() == 0 {
            self.held[usize::from(number) / CELLS as usize] &= !(1 << (u64::from(number) % CELLS));
        }
    }

    /// Lets time pass, one tick at a time up to now: the next flow that is due, with its timer taken out. To be
    /// called until nothing is due.
    pub fn next_due(&mut self, flows: &mut [Flow], now: Millis) -> Option<u32> {
        let until = (now / TICK) as u64;
        loop {
            let list = self.cells[(self.tick & (CELLS - 1)) as usize];
            if let Some(at) = list.first() {
                self.unset(flows, at);
                return Some(at);
            }
            if self.tick >= until {
                return None;
            }
            if self.held.iter().all(|held| *held == 0) {
                self.tick = until;
                return None;
            }
            self.tick += 1;
            for level in 1..LEVELS {
                if self.tick & ((1 << (BITS * level)) - 1) != 0 {
                    break;
                }
                self.cascade(flows, level);
            }
        }
    }

    /// What one cell of a level holds goes to the level below.
    fn cascade(&mut self, flows: &mut [Flow], level: u32) {
        let cell = (self.tick >> (BITS * level)) & (CELLS - 1);
        let number = (u64::from(level) * CELLS + cell) as usize;
        while let Some(at) = self.cells[number].first() {
            let due = flows[at as usize].due;
            self.unset(flows, at);
            if due <= self.tick {
                // Due in this very tick: its cell is looked at next.
                let cell = self.tick & (CELLS - 1);
                self.held[0] |= 1 << cell;
                flows[at as usize].cell = cell as u16;
                self.cells[cell as usize].push(flows, Chain::Timer, at);
            } else {
                self.enter(flows, at, due);
            }
        }
    }

    /// When there may be something to do next; `None` if no timer is set.
    pub fn next_wake(&self) -> Option<Millis> {
        if self.held.iter().all(|held| *held == 0) {
            return None;
        }
        let here = self.tick & (CELLS - 1);
        let ahead = self.held[0].rotate_right(here as u32);
        let away = if ahead != 0 { u64::from(ahead.trailing_zeros()) } else { CELLS };
        // Upper levels come down when the lowest has been round.
        Some((self.tick + away.min(CELLS - here)) as Millis * TICK)
    }
}
