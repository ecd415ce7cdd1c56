//! The names of the headers that callers, boxes and backend servers exchange.

/// The header names of one deployment, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names a request; a server that repeats it in its answer is held to it.
    pub request_id: &'static str,
    /// Tells how many milliseconds are left for a request.
    pub deadline_ms: &'static str,
    /// Stands in every answer that a server made, where servers set one.
    pub server_stamp: Option<&'static str>,
    /// Names the run of a server that a request is for; others answer 421.
    pub expected_incarnation: Option<&'static str>,
    /// Says that a server did not run the request, where servers say so by a header.
    pub not_executed: Option<&'static str>,
    /// Tells a server's load.
    pub load: &'static str,
    /// How the load is written.
    pub load_form: LoadFormat,
    /// Names the requests a second that a server takes from all boxes together, for as long
    /// as its answers say so; none where servers name no such limit.
    pub server_limit: Option<&'static str>,
    /// Tells a server the client account of a request.
    pub account: &'static str,
    /// Says that a server is leaving, where servers say so by a header.
    pub draining: Option<&'static str>,
}

/// How servers write their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadFormat {
    /// The published JSON form of load reports.
    EndpointLoadMetrics,
    /// Requests running, requests waiting and slots, separated by commas.
    RunningWaitingSlots,
}

impl HeaderNames {
    /// The product's own names.
    pub const DEFAULT: Self = Self {
        request_id: "x-request-id",
        deadline_ms: "wingspur-deadline-ms",
        server_stamp: None,
        expected_incarnation: None,
        not_executed: None,
        load: "endpoint-load-metrics",
        load_form: LoadFormat::EndpointLoadMetrics,
        server_limit: None,
        account: "wingspur-account",
        draining: Some("wingspur-draining"),
    };
}
