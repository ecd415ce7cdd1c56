//! Which parts of a request determine its fingerprint, so that resends are recognised.

use wingspur_state::{RequestFingerprint, RequestParts};

const REQUEST: RequestParts<'_> = RequestParts {
    method: "POST",
    host: "site.example",
    target: "/exam/7?page=2",
    caller: b"school-4",
    body: b"answers",
    body_bytes: Some(7),
};

#[test]
fn each_part_of_a_request_tells_it_from_others() {
    let variants = [
        RequestParts {
            method: "PUT",
            ..REQUEST
        },
        RequestParts {
            host: "site.exampl",
            target: "e/exam/7?page=2",
            ..REQUEST
        },
        RequestParts {
            target: "/exam/7?page=3",
            ..REQUEST
        },
        RequestParts {
            caller: b"school-5",
            ..REQUEST
        },
        RequestParts {
            body: b"Answers",
            ..REQUEST
        },
        RequestParts {
            caller: b"school-4a",
            body: b"nswers",
            ..REQUEST
        },
        RequestParts {
            body_bytes: None,
            ..REQUEST
        },
    ];
    let own = RequestFingerprint::of(&REQUEST);
    assert_eq!(own, RequestFingerprint::of(&REQUEST));
    for variant in variants {
        assert_ne!(own, RequestFingerprint::of(&variant), "{variant:?}");
    }
}
