/**
 * Reads declared objects from YAML or JSON. An error names the file, the object, the field and what
 * was expected; then nothing is applied.
 * @module
 */
import * as fs from "node:fs/promises";
import * as yaml from "yaml";
import * as objects from "../contract/objects.js";

/** Every fault found in the files, a line each. */
export class FileError extends Error {
  override readonly name = "FileError";
  constructor(readonly faults: readonly string[]) {
    super(faults.join("\n"));
  }
}

/** The objects in a text; `file` names it in faults. Throws {@link FileError}. */
export function parse(text: string, file: string): readonly objects.Obj[] {
  const faults: string[] = [];
  const found: objects.Obj[] = [];
  for (const [i, doc] of yaml.parseAllDocuments(text).entries()) {
    if ("errors" in doc && doc.errors.length > 0) {
      faults.push(...doc.errors.map((e) => `${file}: ${e.message.split("\n")[0] ?? ""}`));
      continue;
    }
    const raw: unknown = "toJS" in doc ? doc.toJS() : null;
    if (raw === null) continue;
    for (const [j, one] of (Array.isArray(raw) ? raw : [raw]).entries()) {
      check(one, `${file}: ${label(one, i + j + 1)}`, found, faults);
    }
  }
  const seen = new Set<string>();
  for (const o of found) {
    const key = objects.keyOf(o);
    if (seen.has(key)) faults.push(`${file}: ${key} stands twice`);
    seen.add(key);
  }
  if (faults.length > 0) throw new FileError(faults);
  return found;
}

function label(raw: unknown, position: number): string {
  const o = raw as { kind?: unknown; metadata?: { name?: unknown } } | null;
  const kind = typeof o?.kind === "string" ? o.kind : "object";
  const name = o?.metadata?.name;
  return typeof name === "string" ? `${kind} ${name}` : `${kind} number ${position}`;
}

function check(raw: unknown, where: string, found: objects.Obj[], faults: string[]): void {
  const parsed = objects.schema.safeParse(raw);
  if (parsed.success) {
    found.push(parsed.data);
    return;
  }
  for (const issue of parsed.error.issues) {
    const field = issue.path.map(String).join(".");
    faults.push(`${where}: ${field === "" ? "the object" : field}: ${issue.message}`);
  }
}

/** The objects in some files, `-` being standard input. */
export async function read(paths: readonly string[]): Promise<readonly objects.Obj[]> {
  const all: objects.Obj[] = [];
  const faults: string[] = [];
  for (const path of paths) {
    try {
      all.push(...parse(await readOne(path), path));
    } catch (err) {
      if (err instanceof FileError) faults.push(...err.faults);
      else faults.push(`${path}: ${err instanceof Error ? err.message : "cannot be read"}`);
    }
  }
  if (faults.length > 0) throw new FileError(faults);
  return all;
}

async function readOne(path: string): Promise<string> {
  if (path !== "-") return fs.readFile(path, "utf8");
  const parts: Buffer[] = [];
  for await (const part of process.stdin as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts).toString();
}
