//! The sends that one server has not answered.

use std::collections::VecDeque;

use crate::state::OutstandingSend;

/// Sends in the order of their numbers. Those that have ended stay as gaps until all before them have ended,
/// which the longest deadline bounds.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutstandingSends {
    queue: VecDeque<(u64, Option<OutstandingSend>)>,
    count: usize,
}

/// Room for so many is kept when none is out.
const SENDS_KEPT: usize = 32;

impl OutstandingSends {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Under a number above all before.
    pub fn push(&mut self, number: u64, sent: OutstandingSend) {
        self.queue.push_back((number, Some(sent)));
        self.count += 1;
    }

    pub fn remove(&mut self, number: u64) -> Option<OutstandingSend> {
        let at = self.queue.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        let sent = self.queue.get_mut(at)?.1.take()?;
        self.count -= 1;
        while self.queue.front().is_some_and(|(_, sent)| sent.is_none()) {
            self.queue.pop_front();
        }
        if self.queue.is_empty() && self.queue.capacity() > SENDS_KEPT {
            self.queue = VecDeque::new();
        }
        Some(sent)
    }

    pub fn get(&self, number: u64) -> Option<OutstandingSend> {
        let at = self.queue.binary_search_by_key(&number, |(number, _)| *number).ok()?;
        self.queue.get(at)?.1
    }

    pub fn oldest(&self) -> Option<(u64, &OutstandingSend)> {
        self.queue.front().and_then(|(number, sent)| Some((*number, sent.as_ref()?)))
    }

    /// The latest first.
    pub fn iter_newest_first(&self) -> impl Iterator<Item = (u64, &OutstandingSend)> {
        self.queue.iter().rev().filter_map(|(number, sent)| Some((*number, sent.as_ref()?)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::ClassId;

    #[test]
    fn sends_end_in_any_order_and_leave_nothing() {
        let sent = |at| OutstandingSend { class: ClassId(0), sent: at, depth: 1.0, wait: 1.0 };
        let mut sends = OutstandingSends::default();
        (0..100).for_each(|number| sends.push(2 * number, sent(number as f64)));
        assert!(sends.remove(7).is_none(), "no such send");
        (1..100).rev().for_each(|number| assert!(sends.remove(2 * number).is_some()));
        assert_eq!((sends.len(), sends.oldest().map(|(number, _)| number)), (1, Some(0)));
        assert!(sends.remove(2).is_none(), "it has ended");
        assert!(sends.remove(0).is_some());
        assert!(sends.is_empty() && sends.queue.is_empty() && sends.queue.capacity() <= SENDS_KEPT);
    }
}
