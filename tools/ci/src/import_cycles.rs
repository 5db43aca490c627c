//! Finds import cycles between the files of one crate.
//!
//! Files that import each other can only be understood together.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fs,
    io,
    path::Path, //
};

use syn::{
    Item,
    ItemUse,
    UseTree,
    Visibility, //
};

/// Source texts by module path within the crate; the path of the crate root is empty.
type SourceTexts = BTreeMap<String, String>;

/// For each module, the other modules that it imports from.
type ImportGraph = BTreeMap<String, BTreeSet<String>>;

/// Reads the sources below a crate's `src` or `tests` folder.
pub(crate) fn read_sources(folder: &Path) -> io::Result<SourceTexts> {
    let mut sources = SourceTexts::new();
    read_folder(folder, "", &mut sources)?;
    Ok(sources)
}

fn read_folder(folder: &Path, module: &str, sources: &mut SourceTexts) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let Some(stem) = path.file_stem().and_then(|stem| stem.to_str()) else {
            continue;
        };
        let inner = child_module(module, stem);
        if path.is_dir() {
            read_folder(&path, &inner, sources)?;
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            let name = match stem {
                "lib" | "main" | "mod" => module.to_owned(),
                _ => inner,
            };
            sources.insert(name, fs::read_to_string(&path)?);
        }
    }
    Ok(())
}

/// Returns the modules that are part of cycles or lie between two, with their imports from each
/// other.
pub(crate) fn find_cycles(sources: &SourceTexts) -> syn::Result<ImportGraph> {
    let mut paths: BTreeMap<&str, Vec<UsedPath>> = BTreeMap::new();
    for (module, text) in sources {
        let file = syn::parse_file(text)?;
        paths.insert(module, used_paths(&file.items, module));
    }
    let re_exports = re_exports(sources, &paths);
    let mut graph = ImportGraph::new();
    for (module, used) in &paths {
        let found = used.iter().filter_map(|used| {
            let inner = find_module(sources, &used.path);
            let is_direct = inner.as_deref().is_some_and(|inner| !inner.is_empty());
            let name = used.path.last()?;
            let exported = re_exports.get(name.as_str()).cloned();
            if is_direct { inner } else { exported }
        });
        // The root only re-exports, and no module needs it to be understood.
        let imports = found.filter(|found| !found.is_empty() && found != module);
        if !module.is_empty() {
            graph.insert((*module).to_owned(), imports.collect());
        }
    }
    Ok(cycles_of(graph))
}

/// An imported path, relative to the crate root.
struct UsedPath {
    path: Vec<String>,
    is_public: bool,
}

/// Returns the paths within the crate that `items` import, those of inline modules included.
fn used_paths(items: &[Item], module: &str) -> Vec<UsedPath> {
    let mut paths = Vec::new();
    for item in items {
        match item {
            Item::Use(item) => paths.extend(paths_of(item, module)),
            Item::Mod(item) => {
                let inner = item.content.as_ref().map(|(_, items)| items.as_slice());
                paths.extend(used_paths(inner.unwrap_or_default(), module));
            }
            _ => {}
        }
    }
    paths
}

fn paths_of(item: &ItemUse, module: &str) -> Vec<UsedPath> {
    let mut leaves = Vec::new();
    collect_leaves(&item.tree, &mut Vec::new(), &mut leaves);
    let is_public = !matches!(item.vis, Visibility::Inherited);
    let own: Vec<String> = module.split("::").map(str::to_owned).collect();
    let from_root = |leaf: Vec<String>| {
        let (first, rest) = leaf.split_first()?;
        let base = match first.as_str() {
            "crate" => Vec::new(),
            "self" => own.clone(),
            "super" => own[..own.len().saturating_sub(1)].to_vec(),
            _ => return None,
        };
        let path = [base.as_slice(), rest].concat();
        Some(UsedPath { path, is_public })
    };
    leaves.into_iter().filter_map(from_root).collect()
}

fn collect_leaves(tree: &UseTree, before: &mut Vec<String>, leaves: &mut Vec<Vec<String>>) {
    let leaf = |name: &syn::Ident| {
        let mut leaf = before.clone();
        leaf.push(name.to_string());
        leaf
    };
    match tree {
        UseTree::Path(path) => {
            before.push(path.ident.to_string());
            collect_leaves(&path.tree, before, leaves);
            before.pop();
        }
        UseTree::Name(name) => leaves.push(leaf(&name.ident)),
        UseTree::Rename(name) => leaves.push(leaf(&name.ident)),
        UseTree::Glob(_) => leaves.push(before.clone()),
        UseTree::Group(group) => {
            for inner in &group.items {
                collect_leaves(inner, before, leaves);
            }
        }
    }
}

/// Maps each publicly re-exported name to the module that defines it.
fn re_exports(
    sources: &SourceTexts,
    paths: &BTreeMap<&str, Vec<UsedPath>>,
) -> BTreeMap<String, String> {
    let public = paths.values().flatten().filter(|used| used.is_public);
    let exported = public.filter_map(|used| {
        let name = used.path.last()?;
        let module = find_module(sources, &used.path)?;
        Some((name.clone(), module))
    });
    exported.filter(|(_, module)| !module.is_empty()).collect()
}

/// Returns the innermost module on `path`, or the root where none is on it.
fn find_module(sources: &SourceTexts, path: &[String]) -> Option<String> {
    let lengths = (0..=path.len()).rev();
    let mut modules = lengths.map(|length| path[..length].join("::"));
    modules.find(|module| sources.contains_key(module))
}

/// Removes modules without imports and modules that nothing imports until only cycles, and modules
/// between them, are left.
fn cycles_of(mut graph: ImportGraph) -> ImportGraph {
    loop {
        let imported: BTreeSet<String> = graph.values().flatten().cloned().collect();
        let before = graph.len();
        graph.retain(|module, imports| !imports.is_empty() && imported.contains(module));
        let left: BTreeSet<String> = graph.keys().cloned().collect();
        for imports in graph.values_mut() {
            imports.retain(|import| left.contains(import));
        }
        if graph.len() == before {
            return graph;
        }
    }
}

fn child_module(module: &str, name: &str) -> String {
    match module {
        "" => name.to_owned(),
        _ => format!("{module}::{name}"),
    }
}
