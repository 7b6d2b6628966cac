//! Links between the pages lead somewhere.

use std::path::{Path, PathBuf};

fn pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

#[test]
fn links_between_pages_lead_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = vec![root.join("README.md"), root.join("sdk/python/README.md")];
    pages(&root.join("docs"), &mut found);
    let mut broken = Vec::new();
    for page in found {
        let text = std::fs::read_to_string(&page).unwrap();
        for part in text.split("](").skip(1) {
            let Some((target, _)) = part.split_once(')') else {
                continue;
            };
            let target = target.split('#').next().unwrap_or_default();
            let outside = target.contains("://") || target.is_empty();
            if !outside && !page.with_file_name(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
