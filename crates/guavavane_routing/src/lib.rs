//! Routing decisions: endpoint choice, retry budgets, hedging, ejection and load shedding.
//!
//! [`router::RequestRouter`] is the core of an entry. Its `step` takes one input (a request, a
//! reply, an announcement, the passing of time) and returns the actions to carry out. The router
//! does no I/O: time is passed in and its randomness is seeded, so that the same sequence of
//! inputs always gives the same actions.
//!
//! An attempt is one dispatch of a request to an endpoint; a hedge is a second attempt beside a
//! slow first one. A request is sent again only if each earlier attempt is proven not to have
//! run, or if the request is idempotent. The types of [`lifecycle::RequestLifecycle`] enforce this
//! rule.
//!
//! A request with an idempotency key, a keyed request, is dispatched only after control has
//! committed a claim of the key for the attempt, which then holds the claim. A claim is settled
//! with the answer, which is returned to later requests with the key, or released if its attempt
//! did not run.

pub mod admission;
pub mod budget;
pub mod choice;
pub mod claim;
pub mod ejection;
pub mod endpoint;
pub mod latency;
pub mod lifecycle;
pub mod request;
pub mod router;
pub mod service;
pub mod settings;
pub mod table;
pub mod timer;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::choice::ChoiceReason;
    pub use crate::choice::EndpointChooser;
    pub use crate::choice::RoutingDecision;
    pub use crate::choice::ScoredEndpoint;
    pub use crate::claim::ClaimTag;
    pub use crate::request::AttemptResult;
    pub use crate::request::CallerRequest;
    pub use crate::request::ClaimIntent;
    pub use crate::request::NotRunReason;
    pub use crate::request::RequestResult;
    pub use crate::router::RequestRouter;
    pub use crate::router::RouterAction;
    pub use crate::router::RouterInput;
    pub use crate::service::ServiceKey;
    pub use crate::settings::RoutingSettings;
    pub use crate::table::EndpointTable;
}
