//! docs/EVENTS.md lists every event, with its number, name and meaning, and nothing else.

use std::path::Path;

use eelgrassdyke_core::event::Code;

/// The page that the catalogue in the code makes.
fn page() -> String {
    let mut page = String::from(
        "# Events\n\n\
         Every decision that a process logs is one of these numbered events. In the log each is a line of\n\
         JSON, as docs/OPERATIONS.md shows; `eelgrassctl timeline` shows the events of all processes in\n\
         causal order, `eelgrassctl trace` those of one request. Write this page anew after a change of\n\
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
fn the_catalogue_in_the_docs_is_the_one_in_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    if std::env::var_os("EVENTS").is_some_and(|value| value == "write") {
        std::fs::write(&path, page()).unwrap();
    }
    let held = std::fs::read_to_string(&path).unwrap();
    assert_eq!(held, page(), "write docs/EVENTS.md anew, as it says");
}

#[test]
fn numbers_rise_and_read_back() {
    assert!(Code::ALL.is_sorted_by(|a, b| u16::from(*a) < u16::from(*b)));
    for code in Code::ALL {
        assert_eq!(Code::try_from(u16::from(*code)), Ok(*code));
    }
    assert!(Code::try_from(1).is_err());
}
