//! Command-line flags and environment variables of the entry, not yet parsed.

use bpaf::Bpaf;

/// Routes requests of callers to endpoints, and commands of operators to control.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(entry_options), version)]
pub struct RawSettings {
    /// Cell that the entry belongs to
    #[bpaf(env("GUAVAVANE_CELL"), argument("NUMBER"), fallback("1".to_owned()))]
    pub cell: String,
    /// Data centre of the entry
    #[bpaf(env("GUAVAVANE_DATA_CENTRE"), argument("NAME"))]
    pub data_centre: String,
    /// Environment of requests that name none; needed only if several environments define the
    /// service
    #[bpaf(env("GUAVAVANE_ENVIRONMENT"), argument("NAME"))]
    pub environment: Option<String>,
    /// Address at which callers are served
    #[bpaf(env("GUAVAVANE_CALLER_LISTEN"), argument("IP:PORT"))]
    pub caller_listen: String,
    /// Address at which operators are served
    #[bpaf(env("GUAVAVANE_OPERATOR_LISTEN"), argument("IP:PORT"))]
    pub operator_listen: String,
    /// Address at which announcements of agents are received
    #[bpaf(env("GUAVAVANE_CALL_LISTEN"), argument("IP:PORT"))]
    pub call_listen: String,
    /// Address at which agents reach --call-listen; the bound address if not given
    #[bpaf(env("GUAVAVANE_CALL_ADVERTISE"), argument("IP:PORT"))]
    pub call_advertise: Option<String>,
    /// Addresses of the control replicas, separated by commas
    #[bpaf(env("GUAVAVANE_CONTROL"), argument("IP:PORT,..."))]
    pub control: String,
    /// UDP address that metrics are sent to
    #[bpaf(env("GUAVAVANE_METRICS"), argument("IP:PORT"))]
    pub metrics: Option<String>,
    /// Maximum size of the body of a request, in bytes
    #[bpaf(env("GUAVAVANE_BODY_BYTES"), argument("BYTES"), fallback("1048576".to_owned()))]
    pub body_bytes: String,
    /// Maximum total size of path, header names and values of a request, in bytes
    #[bpaf(env("GUAVAVANE_HEADER_BYTES"), argument("BYTES"), fallback("16384".to_owned()))]
    pub header_bytes: String,
    /// Maximum number of connections of callers; each may occupy a thread
    #[bpaf(env("GUAVAVANE_CONNECTIONS"), argument("COUNT"), fallback("1024".to_owned()))]
    pub connections: String,
    /// Time after which a caller's connection without a request is closed, in milliseconds
    #[bpaf(env("GUAVAVANE_IDLE_MS"), argument("MS"), fallback("75000".to_owned()))]
    pub idle_ms: String,
    /// Maximum time for a caller to send a request, and to receive a response, in milliseconds
    #[bpaf(env("GUAVAVANE_RECEIVE_MS"), argument("MS"), fallback("15000".to_owned()))]
    pub receive_ms: String,
    /// Maximum number of requests in flight
    #[bpaf(env("GUAVAVANE_REQUESTS"), argument("COUNT"), fallback("1024".to_owned()))]
    pub requests: String,
    /// Maximum number of requests of one service that wait for an endpoint
    #[bpaf(env("GUAVAVANE_QUEUE"), argument("COUNT"), fallback("512".to_owned()))]
    pub queue: String,
    /// Maximum number of known endpoints
    #[bpaf(env("GUAVAVANE_ENDPOINTS"), argument("COUNT"), fallback("16384".to_owned()))]
    pub endpoints: String,
    /// Maximum number of idempotency keys in use
    #[bpaf(env("GUAVAVANE_CLAIMS"), argument("COUNT"), fallback("1024".to_owned()))]
    pub claims: String,
    /// Number of threads that send claims to control
    #[bpaf(env("GUAVAVANE_CLAIM_THREADS"), argument("COUNT"), fallback("32".to_owned()))]
    pub claim_threads: String,
    /// Maximum number of announcements that wait to be applied
    #[bpaf(env("GUAVAVANE_ANNOUNCEMENTS"), argument("COUNT"), fallback("4096".to_owned()))]
    pub announcements: String,
    /// Time after SIGTERM for which new requests are still accepted, in milliseconds
    #[bpaf(env("GUAVAVANE_DRAIN_WAIT_MS"), argument("MS"), fallback("5000".to_owned()))]
    pub drain_wait_ms: String,
    /// Maximum wait for requests in flight after --drain-wait-ms, in milliseconds
    #[bpaf(env("GUAVAVANE_DRAIN_LIMIT_MS"), argument("MS"), fallback("60000".to_owned()))]
    pub drain_limit_ms: String,
    /// Maximum time between two polls of control, in milliseconds
    #[bpaf(env("GUAVAVANE_POLL_MS"), argument("MS"), fallback("500".to_owned()))]
    pub poll_ms: String,
    /// Timeout of a call to one control replica, in milliseconds
    #[bpaf(env("GUAVAVANE_CONTROL_LIMIT_MS"), argument("MS"), fallback("500".to_owned()))]
    pub control_limit_ms: String,
    /// Time without control after which a starting entry serves by announcements alone, in
    /// milliseconds
    #[bpaf(env("GUAVAVANE_VIEW_WAIT_MS"), argument("MS"), fallback("10000".to_owned()))]
    pub view_wait_ms: String,
    /// Timeout of requests while no document is known, in milliseconds
    #[bpaf(env("GUAVAVANE_REQUEST_TIMEOUT_MS"), argument("MS"), fallback("5000".to_owned()))]
    pub request_timeout_ms: String,
}
