//! Which header values are limits of a server, and which of its responses counts.

use std::time::{Duration, Instant};

use wingspur_protocol::{InvalidServerLimit, parse_server_limit};
use wingspur_state::{ServerLimitChange, ServerLimits};

#[test]
fn only_plain_decimal_numbers_are_limits() {
    let readable: [(&[&str], Option<f64>); 10] = [
        (&[], None),
        (&["0"], Some(0.0)),
        (&["1"], Some(1.0)),
        (&["1.6"], Some(1.6)),
        (&[" 20 "], Some(20.0)),
        (&["0.25"], Some(0.25)),
        (&[".5"], Some(0.5)),
        (&["3", "1.5"], Some(1.5)),
        (&["many", "2"], Some(2.0)),
        (&["100000000000000000000"], Some(1e20)),
    ];
    for (values, expected) in readable {
        let read = parse_server_limit(values.iter().map(|value| value.as_bytes()));
        assert_eq!(read, Ok(expected), "{values:?}");
    }
    let unreadable = [
        "", " ", ".", "-1", "+1", "1e3", "NaN", "inf", "1,5", "1.2.3", "0x10", "1 2",
        "1;w=5", "\u{661}", "none",
    ];
    for value in unreadable {
        let read = parse_server_limit([value.as_bytes()]);
        assert_eq!(read, Err(InvalidServerLimit), "{value:?}");
    }
    let long = [b'9'; 400];
    assert_eq!(parse_server_limit([&long[..]]), Err(InvalidServerLimit));
    assert_eq!(
        parse_server_limit([&[0xff, b'1'][..]]),
        Err(InvalidServerLimit)
    );
}

#[test]
fn the_newest_answer_says_whether_there_is_a_limit() {
    let start = Instant::now();
    let mut limits = ServerLimits::default();
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(limits.receive_response(7, None, at(0)), None);
    let named = limits.receive_response(7, Some(1.5), at(10));
    let expected = ServerLimitChange {
        server: 7,
        before: None,
        per_s: Some(1.5),
        at: at(10),
    };
    assert_eq!(named, Some(expected));
    assert_eq!(
        limits.receive_response(7, Some(1.5), at(20)),
        None,
        "no change"
    );
    assert_eq!(limits.limit(7), Some(1.5));
    assert_eq!(limits.limit(8), None);
    let ended = limits
        .receive_response(7, None, at(30))
        .expect("the limit has ended");
    assert_eq!((ended.before, ended.per_s), (Some(1.5), None));
    assert_eq!(limits.limit(7), None);
    limits.receive_response(9, Some(0.0), at(40));
    assert_eq!(limits.limit(9), Some(0.0), "zero is a limit as well");
    limits.forget(9);
    assert_eq!(limits.limit(9), None);
}
