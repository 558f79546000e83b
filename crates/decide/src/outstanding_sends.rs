//! The sends that one server has not answered.

use std::collections::VecDeque;

use crate::state::OutstandingSend;

/// Sends in the order of their numbers. A send that has ended leaves a gap until all earlier ones have ended,
/// so the length of the queue is bounded by the longest deadline.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutstandingSends {
    queue: VecDeque<(u64, Option<OutstandingSend>)>,
    count: usize,
}

/// A queue that becomes empty keeps its memory only up to this capacity.
const MAX_IDLE_CAPACITY: usize = 32;

impl OutstandingSends {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a send. Its number must be greater than all earlier ones.
    pub fn push(&mut self, number: u64, send: OutstandingSend) {
        self.queue.push_back((number, Some(send)));
        self.count += 1;
    }

    pub fn remove(&mut self, number: u64) -> Option<OutstandingSend> {
        let index = self.queue.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        let send = self.queue.get_mut(index)?.1.take()?;
        self.count -= 1;
        while self.queue.front().is_some_and(|(_, send)| send.is_none()) {
            self.queue.pop_front();
        }
        if self.queue.is_empty() && self.queue.capacity() > MAX_IDLE_CAPACITY {
            self.queue = VecDeque::new();
        }
        Some(send)
    }

    pub fn get(&self, number: u64) -> Option<OutstandingSend> {
        let index = self.queue.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        self.queue.get(index)?.1
    }

    pub fn oldest(&self) -> Option<(u64, &OutstandingSend)> {
        self.queue.front().and_then(|(number, send)| Some((*number, send.as_ref()?)))
    }

    pub fn iter_newest_first(&self) -> impl Iterator<Item = (u64, &OutstandingSend)> {
        self.queue.iter().rev().filter_map(|(number, send)| Some((*number, send.as_ref()?)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::ClassId;

    #[test]
    fn sends_removed_in_any_order_leave_the_queue_empty() {
        let send = |at| OutstandingSend { class: ClassId(0), sent: at, depth: 1.0, expected_latency: 1.0 };
        let mut sends = OutstandingSends::default();
        (0..100).for_each(|number| sends.push(2 * number, send(number as f64)));
        assert!(sends.remove(7).is_none(), "no send has this number");
        (1..100).rev().for_each(|number| assert!(sends.remove(2 * number).is_some()));
        assert_eq!((sends.len(), sends.oldest().map(|(number, _)| number)), (1, Some(0)));
        assert!(sends.remove(2).is_none(), "the send has ended");
        assert!(sends.remove(0).is_some());
        assert!(sends.is_empty() && sends.queue.is_empty() && sends.queue.capacity() <= MAX_IDLE_CAPACITY);
    }
}
