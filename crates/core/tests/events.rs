//! docs/EVENTS.md is identical to the page generated from the event catalogue.

use std::path::Path;

use eelgrassdyke_core::event::Code;

/// Generates docs/EVENTS.md from the catalogue.
fn generate_page() -> String {
    let mut page = String::from(
        "# Events\n\n\
         Every decision that a process logs is one of these numbered events. In the log each is a line of\n\
         JSON, as docs/OPERATIONS.md shows; `eelgrassctl timeline` shows the events of all processes in\n\
         causal order, `eelgrassctl trace` those of one request. Regenerate this page after a change of\n\
         the catalogue:\n\
         `EVENTS=write cargo test -p eelgrassdyke-core --test events`.\n\n\
         | number | name | meaning |\n|---:|---|---|\n",
    );
    for code in Code::ALL {
        let number = u16::from(*code);
        page.push_str(&format!(
            "| {number} | {} | {} |\n",
            code.as_str(),
            code.description()
        ));
    }
    page
}

#[test]
fn docs_page_matches_the_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    if std::env::var_os("EVENTS").is_some_and(|value| value == "write") {
        std::fs::write(&path, generate_page()).unwrap();
    }
    let actual = std::fs::read_to_string(&path).unwrap();
    assert_eq!(
        actual,
        generate_page(),
        "docs/EVENTS.md is out of date; regenerate it as described there"
    );
}

#[test]
fn numbers_are_ascending_and_convert_back() {
    assert!(Code::ALL.is_sorted_by(|a, b| u16::from(*a) < u16::from(*b)));
    for code in Code::ALL {
        assert_eq!(Code::try_from(u16::from(*code)), Ok(*code));
    }
    assert!(Code::try_from(1).is_err());
}
