//! Contract with the platform's workers and with endpoints, as JSON over HTTP.
//!
//! The worker runs each attempt under a lease that it enforces on its own clock: at lease expiry it
//! stops the attempt, and an expired lease can't be renewed. Orders are idempotent by task and
//! attempt. The worker refuses a fencing token below the highest one it has seen for the task, and
//! an order whose times count from a boot other than its current one.
//!
//! Endpoints announce themselves to the agent on their machine. They receive requests as plain HTTP
//! with [`endpoint::REQUEST_ID_HEADER`], which the answer must repeat.
//!
//! | Method and path on the worker | Body | Answer |
//! |---|---|---|
//! | `GET /worker` | | [`worker::WorkerFacts`] |
//! | `GET /attempts` | | [`worker::AttemptList`] |
//! | `POST /start` | [`worker::StartOrder`] | [`worker::OrderAnswer`] |
//! | `POST /renew` | [`worker::RenewOrder`] | [`worker::OrderAnswer`] |
//! | `POST /throttle` | [`worker::ThrottleOrder`] | [`worker::OrderAnswer`] |
//! | `POST /checkpoint` | [`worker::AttemptKey`] | [`worker::OrderAnswer`] |
//! | `POST /stop` | [`worker::AttemptKey`] | [`worker::OrderAnswer`] |
//! | `POST /forget` | [`worker::AttemptKey`] | [`worker::OrderAnswer`] |
//!
//! | Method and path on the agent | Body | Answer |
//! |---|---|---|
//! | `POST /announce` | [`endpoint::EndpointNotice`] | `204` |

pub mod client;
pub mod endpoint;
pub mod worker;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::client::ClientError;
    pub use crate::client::WorkerClient;
    pub use crate::endpoint::EndpointNotice;
    pub use crate::endpoint::EndpointReadiness;
    pub use crate::endpoint::DEADLINE_HEADER;
    pub use crate::endpoint::REQUEST_ID_HEADER;
    pub use crate::worker::AttemptKey;
    pub use crate::worker::AttemptList;
    pub use crate::worker::AttemptState;
    pub use crate::worker::AttemptStatus;
    pub use crate::worker::OrderAnswer;
    pub use crate::worker::RenewOrder;
    pub use crate::worker::StartOrder;
    pub use crate::worker::StartProgram;
    pub use crate::worker::ThrottleOrder;
    pub use crate::worker::UsageSample;
    pub use crate::worker::WorkerFacts;
}
