//! Relative links between the documentation pages have existing targets.

use std::path::{Path, PathBuf};

/// Collects the Markdown files under `folder`.
fn collect_pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

#[test]
fn relative_links_have_existing_targets() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut pages = vec![root.join("README.md"), root.join("sdk/python/README.md")];
    collect_pages(&root.join("docs"), &mut pages);
    let mut broken = Vec::new();
    for page in pages {
        let text = std::fs::read_to_string(&page).unwrap();
        for part in text.split("](").skip(1) {
            let Some((target, _)) = part.split_once(')') else {
                continue;
            };
            let target = target.split('#').next().unwrap_or_default();
            let is_external = target.contains("://") || target.is_empty();
            if !is_external && !page.with_file_name(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
