//! Answers that are kept whole until their retention period ends.

use indexmap::IndexMap;

use guavavane_protocol::prelude::HttpAnswer;
use guavavane_protocol::prelude::RequestAttempt;

/// Bounded store of kept answers.
///
/// Room for the largest answer is reserved before an attempt runs, so that its answer can
/// always be kept.
#[derive(Debug)]
pub(crate) struct AnswerStore {
    answers: IndexMap<RequestAttempt, HttpAnswer>,
    held_bytes: usize,
    reserved: usize,
    answers_max: usize,
    store_max_bytes: usize,
    answer_max_bytes: usize,
}

impl AnswerStore {
    pub(crate) fn new(answers_max: usize, store_max_bytes: usize, answer_max_bytes: usize) -> Self {
        Self {
            answers: IndexMap::new(),
            held_bytes: 0,
            reserved: 0,
            answers_max,
            store_max_bytes,
            answer_max_bytes,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn has_room(&self) -> bool {
        let bytes = self.held_bytes + (self.reserved + 1) * self.answer_max_bytes;
        self.answers.len() + self.reserved < self.answers_max && bytes <= self.store_max_bytes
    }

    pub(crate) fn reserve(&mut self) {
        self.reserved += 1;
    }

    pub(crate) fn release(&mut self) {
        self.reserved -= 1;
    }

    /// Keeps an answer in place of a reservation.
    pub(crate) fn keep(&mut self, attempt: RequestAttempt, answer: HttpAnswer) {
        self.release();
        self.held_bytes += answer_bytes(&answer);
        self.answers.insert(attempt, answer);
    }

    pub(crate) fn get(&self, attempt: &RequestAttempt) -> Option<&HttpAnswer> {
        self.answers.get(attempt)
    }

    pub(crate) fn forget(&mut self, attempt: &RequestAttempt) {
        if let Some(answer) = self.answers.swap_remove(attempt) {
            self.held_bytes -= answer_bytes(&answer);
        }
    }
}

/// Bytes of an answer, headers included.
pub fn answer_bytes(answer: &HttpAnswer) -> usize {
    let headers: usize = answer
        .headers
        .iter()
        .map(|field| field.name.len() + field.value.len())
        .sum();
    headers + answer.body.len()
}
