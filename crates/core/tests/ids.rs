//! Identifiers parse back from their text form, and invalid names are refused.

use eelgrassdyke_core::id::{AttemptId, Error, RequestId, Team};
use test_case::test_case;

#[test_case("hobart-salons")]
#[test_case("a")]
#[test_case("region/x:1._")]
fn valid_name_round_trips(text: &str) {
    let team: Team = text.parse().unwrap();
    assert_eq!(team.to_string(), text);
}

#[test_case("" => Error::Empty)]
#[test_case("two words" => Error::InvalidCharacter(' '))]
#[test_case("caf\u{e9}" => Error::InvalidCharacter('\u{e9}'))]
fn invalid_name_is_refused(text: &str) -> Error {
    text.parse::<Team>().unwrap_err()
}

#[test]
fn request_id_round_trips() {
    let text = "entry-1/17/4";
    let request: RequestId = text.parse().unwrap();
    assert_eq!(request.to_string(), text);
    assert_eq!(
        AttemptId { request, number: 2 }.to_string(),
        "entry-1/17/4#2"
    );
}
