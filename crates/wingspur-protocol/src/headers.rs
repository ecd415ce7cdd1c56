//! The names of the headers that callers, boxes and backend servers exchange.

/// The header names of one deployment, in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// The id of a request. A response that carries another id is not passed on to the
    /// caller; a server may leave the id out of its response.
    pub request_id: &'static str,
    /// The time left until the request's deadline, in milliseconds.
    pub deadline_ms: &'static str,
    /// A header that is in every response made by a server itself. `None` where servers
    /// set no such header.
    pub server_stamp: Option<&'static str>,
    /// The id of the server that a request is meant for; any other server answers 421.
    /// `None` where servers have no such header.
    pub expected_server_id: Option<&'static str>,
    /// A header by which a server states that it did not run the request. `None` where
    /// servers have no such header.
    pub not_executed: Option<&'static str>,
    /// The load of a server, in the format of `load_format`.
    pub load: &'static str,
    /// The format of the load header.
    pub load_format: LoadFormat,
    /// The requests per second that a server accepts from all boxes together. The limit
    /// holds for as long as the server's responses carry it. `None` where servers have no
    /// such header.
    pub server_limit: Option<&'static str>,
    /// The name of the client account of a request, sent to the server.
    pub account: &'static str,
    /// A header by which a server announces that it is draining. `None` where servers
    /// have no such header.
    pub draining: Option<&'static str>,
}

/// The format in which servers report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadFormat {
    /// The published ORCA format of `endpoint-load-metrics`.
    EndpointLoadMetrics,
    /// Requests running, requests waiting and slots, separated by commas.
    RunningWaitingSlots,
}

impl HeaderNames {
    /// The default header names of wingspur.
    pub const DEFAULT: Self = Self {
        request_id: "x-request-id",
        deadline_ms: "wingspur-deadline-ms",
        server_stamp: None,
        expected_server_id: None,
        not_executed: None,
        load: "endpoint-load-metrics",
        load_format: LoadFormat::EndpointLoadMetrics,
        server_limit: None,
        account: "wingspur-account",
        draining: Some("wingspur-draining"),
    };
}
