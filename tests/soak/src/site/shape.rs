//! The size of a deployment: its boxes, services, servers and requests.

use std::str::FromStr;
use std::time::Duration;

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Its name.
    pub name: &'static str,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of data centres over which boxes and servers are spread.
    pub data_centres: usize,
    /// Number of servers of each service.
    pub servers: [usize; 3],
    /// Requests that a server works on at the same time.
    pub slots: usize,
    /// Requests that wait at a server before it refuses more.
    pub queue: usize,
    /// The kinds of requests, one for each service.
    pub classes: [Class; 3],
}

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Name of the service, and first segment of the path.
    pub service: &'static str,
    /// Name of the route class in the configuration.
    pub route_class: &'static str,
    /// Weight when callers draw a class.
    pub weight: u32,
    /// Typical time that a server works on a request.
    pub work: Duration,
    /// Timeout of the route.
    pub timeout: Duration,
    /// How long callers wait.
    pub deadline: Duration,
    /// Typical length of a request body.
    pub body_bytes: usize,
    /// Length of the longest request body.
    pub max_body_bytes: usize,
    /// Length of the longest response body.
    pub max_response_bytes: usize,
    /// Whether callers keep their connections.
    pub keeps_connections: bool,
}

/// The name of a shape is unknown.
#[derive(Debug, thiserror::Error)]
#[error("unknown shape {0:?}; use `exams`, `admissions` or `lessons`")]
pub struct UnknownShape(String);

impl Class {
    /// Whether a request of the class must run at most once.
    pub fn is_once_only(&self) -> bool {
        self.route_class == "once_only"
    }
}

impl FromStr for Shape {
    type Err = UnknownShape;

    fn from_str(name: &str) -> Result<Self, UnknownShape> {
        match name {
            "exams" => Ok(exams()),
            "admissions" => Ok(admissions()),
            "lessons" => Ok(lessons()),
            _ => Err(UnknownShape(name.to_owned())),
        }
    }
}

fn exams() -> Shape {
    Shape {
        name: "exams",
        boxes: 36,
        data_centres: 3,
        servers: [9, 16, 6],
        slots: 3,
        queue: 12,
        classes: [
            read(26, ms(320), ms(2400), ms(5000)),
            once_only(63, ms(240), ms(2900), ms(6000), 1_200),
            download(10, ms(190), ms(2400), ms(5000)),
        ],
    }
}

fn admissions() -> Shape {
    Shape {
        name: "admissions",
        boxes: 40,
        data_centres: 4,
        servers: [9, 19, 8],
        slots: 4,
        queue: 16,
        classes: [
            read(30, ms(410), ms(1900), ms(4000)),
            once_only(77, ms(310), ms(2400), ms(5000), 300),
            download(10, ms(240), ms(1900), ms(4000)),
        ],
    }
}

fn lessons() -> Shape {
    Shape {
        name: "lessons",
        boxes: 36,
        data_centres: 3,
        servers: [10, 15, 6],
        slots: 2,
        queue: 8,
        classes: [
            read(31, ms(210), ms(1000), ms(2000)),
            Class {
                keeps_connections: true,
                ..once_only(57, ms(160), ms(1200), ms(2500), 4_000)
            },
            download(11, ms(130), ms(700), ms(1500)),
        ],
    }
}

fn read(weight: u32, work: Duration, timeout: Duration, deadline: Duration) -> Class {
    Class {
        service: "reads",
        route_class: "read",
        weight,
        work,
        timeout,
        deadline,
        body_bytes: 0,
        max_body_bytes: 0,
        max_response_bytes: 2_400,
        keeps_connections: false,
    }
}

fn once_only(
    weight: u32,
    work: Duration,
    timeout: Duration,
    deadline: Duration,
    body_bytes: usize,
) -> Class {
    Class {
        service: "orders",
        route_class: "once_only",
        body_bytes,
        max_body_bytes: 6 * body_bytes,
        ..read(weight, work, timeout, deadline)
    }
}

fn download(weight: u32, work: Duration, timeout: Duration, deadline: Duration) -> Class {
    Class {
        service: "archive",
        route_class: "download",
        max_response_bytes: 540_000,
        keeps_connections: true,
        ..read(weight, work, timeout, deadline)
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
