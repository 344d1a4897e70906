//! Bounded store of the answers that revocations and duplicate requests may still ask for.

use indexmap::IndexMap;

use guavavane_protocol::prelude::HttpResponse;
use guavavane_protocol::prelude::RequestAttempt;

/// Answers of ended attempts, bounded in number and bytes.
///
/// Space for an answer of maximum size is reserved before an attempt runs, so that the answer can
/// always be stored. A stored answer stays complete until its retention time ends; none is removed
/// earlier to make space.
#[derive(Debug)]
pub(crate) struct AnswerStore {
    answers: IndexMap<RequestAttempt, HttpResponse>,
    stored_bytes: usize,
    /// Attempts that run with space reserved for their answer.
    reserved: usize,
    answers_max: usize,
    total_max_bytes: usize,
    answer_max_bytes: usize,
}

impl AnswerStore {
    pub(crate) fn new(answers_max: usize, total_max_bytes: usize, answer_max_bytes: usize) -> Self {
        Self {
            answers: IndexMap::new(),
            stored_bytes: 0,
            reserved: 0,
            answers_max,
            total_max_bytes,
            answer_max_bytes,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    pub(crate) fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Whether another answer of maximum size fits beside the stored and reserved ones.
    pub(crate) fn has_room(&self) -> bool {
        let bytes = self.stored_bytes + (self.reserved + 1) * self.answer_max_bytes;
        self.answers.len() + self.reserved < self.answers_max && bytes <= self.total_max_bytes
    }

    pub(crate) fn reserve(&mut self) {
        self.reserved += 1;
    }

    pub(crate) fn release_reservation(&mut self) {
        self.reserved -= 1;
    }

    /// Stores an answer in the space of one reservation.
    pub(crate) fn store(&mut self, attempt: RequestAttempt, answer: HttpResponse) {
        self.release_reservation();
        self.stored_bytes += answer_bytes(&answer);
        self.answers.insert(attempt, answer);
    }

    pub(crate) fn get(&self, attempt: &RequestAttempt) -> Option<&HttpResponse> {
        self.answers.get(attempt)
    }

    pub(crate) fn remove(&mut self, attempt: &RequestAttempt) {
        if let Some(answer) = self.answers.swap_remove(attempt) {
            self.stored_bytes -= answer_bytes(&answer);
        }
    }
}

/// Size of an answer in bytes: header names, header values and body.
pub fn answer_bytes(answer: &HttpResponse) -> usize {
    let headers: usize = answer
        .headers
        .iter()
        .map(|field| field.name.len() + field.value.len())
        .sum();
    headers + answer.body.len()
}
